/**
 * Computes how many task slots the jobs in the system need, by group, for fleet planning.
 *
 * Owns no state: the smoothed levels of the last computation come in, and the new ones go out. A
 * class whose objectives leave less time than a machine takes to boot needs slots for all tasks that
 * are in the system, and some more (`headroom`). One with time to spare needs as many as let its
 * backlog drain within a part of that time. Both are smoothed: a burst that is over before a machine
 * has booted is no reason to rent one.
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

/** Smoothed slot counts; keys are a group's key and a tier. */
type DemandLevels = ReadonlyMap<string, number>;

/** What the demand is computed from. */
export interface DemandInput extends DemandSource {
  /** Slots that urgent groups get beyond what they need, as a part of it. */
  readonly headroomFraction: number;
  /** Time constants of the smoothing, in seconds. */
  readonly riseTimeConstantS: number;
  readonly fallTimeConstantS: number;
  /** Factor on the demand bound, which takes work for perfectly divisible. */
  readonly capacityFactor: number;
  /** Seconds since the levels were computed. */
  readonly elapsedS: number;
  /** The levels of the last computation; a group that it didn't have starts unsmoothed. */
  readonly levels: DemandLevels;
}

/** The demand by group, the highest priority first, and the levels for the next computation. */
export interface Demand {
  readonly groups: readonly DemandGroup[];
  readonly levels: DemandLevels;
}

/** What a group demands beyond its running tasks, at these smoothed levels of slots. */
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

/** The slots that each group needs. */
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
