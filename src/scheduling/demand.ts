/**
 * Computes how many task slots the jobs in the system need, by group, for fleet planning.
 *
 * Owns no state: the smoothed levels of the last computation are an input, and the new ones a
 * result. A group whose objectives allow less time than a machine takes to boot (an urgent group)
 * needs slots for all of its tasks in the system, plus headroom for the next ones. Any other group
 * needs as many slots as finish its backlog within a fraction of its slack. Both are smoothed, so
 * that no machine is rented for a burst that is over before the machine has booted.
 */
import {
  type DemandSource,
  type DemandTier,
  DemandTotals,
  type GroupTotals,
  sharedFraction,
} from "./demand-totals.js";
import type { DemandGroup } from "./fleet-model.js";
import { smoothToward } from "./smoothing.js";

/** Smoothed slot counts. The key consists of a group's key and a tier. */
type DemandLevels = ReadonlyMap<string, number>;

/** The inputs of the demand computation. */
export interface DemandInput extends DemandSource {
  /** Additional slots for urgent groups, as a fraction of the desired ones. */
  readonly headroomFraction: number;
  /** Time constants with which smoothed levels follow a rise and a fall. */
  readonly riseTimeConstantS: number;
  readonly fallTimeConstantS: number;
  /** Factor on the demand bound, which is too low because it assumes perfectly divisible work. */
  readonly capacityFactor: number;
  /** Seconds since `levels` were computed. */
  readonly elapsedS: number;
  /** The levels of the last computation. A group without a level starts with its current demand. */
  readonly levels: DemandLevels;
}

/** The demand of all groups, highest priority first, and the levels for the next computation. */
export interface Demand {
  readonly groups: readonly DemandGroup[];
  readonly levels: DemandLevels;
}

/** A group's demand in addition to its running tasks, given its smoothed slot levels. */
const demandGroup = (
  totals: GroupTotals,
  requiredLevel: number,
  desiredLevel: number,
  headroom: number,
): DemandGroup => {
  const { resources, machineTypes, zone, spotAllowed, priority, urgent } = totals;
  const beyondRunning = (slots: number): number =>
    Math.max(0, Math.ceil(slots) - totals.openAttempts);
  return {
    resources,
    machineTypes,
    zone,
    spotAllowed,
    priority,
    urgent,
    waitingTasksByShard: totals.waitingTasksByShard,
    requiredSlots: beyondRunning(requiredLevel),
    desiredSlots: beyondRunning(
      urgent ? desiredLevel * (1 + headroom) : Math.max(desiredLevel, requiredLevel),
    ),
  };
};

/** Computes the slots that each group needs, and the new smoothed levels. */
export const computeDemand = (input: DemandInput): Demand => {
  const totals = new DemandTotals(input);
  for (const [id, job] of input.jobs) totals.add(id, job);
  const levels = new Map<string, number>();
  const smoothedLevel = (key: string, group: GroupTotals, tier: DemandTier): number => {
    const levelKey = `${key}|${tier}`;
    const current = group.slots[tier] * sharedFraction(group.pool, tier, input.capacityFactor);
    const last = input.levels.get(levelKey) ?? current;
    const level = smoothToward(
      last,
      current,
      input.elapsedS,
      input.riseTimeConstantS,
      input.fallTimeConstantS,
    );
    levels.set(levelKey, level);
    return level;
  };
  const groups = [...totals.finish()].map(([key, group]) => {
    const requiredLevel = smoothedLevel(key, group, "required");
    const desiredLevel = smoothedLevel(key, group, "desired");
    return demandGroup(group, requiredLevel, desiredLevel, input.headroomFraction);
  });
  return { groups: groups.sort((a, b) => a.priority - b.priority), levels };
};
