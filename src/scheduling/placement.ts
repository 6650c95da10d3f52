/**
 * Chooses machines for tasks: filter, score, choose.
 *
 * Filter: the protocol's rules on machine type, spot, zone and the job's other tasks (`isPermitted`),
 * and free capacity. Score: how many other resource shapes compete for the machine, whether it
 * fetches the image in time, whether it is costly, and the paper's move probability. Choose:
 * `CandidateSelector` takes the best of the machines that pass the filter.
 *
 * State: a selector caches what it computed of each machine until the machine's use changes. The
 * machines' use is changed by `addUse` alone while a round places tasks.
 */
import type { MachineId } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { add, fits, fitsRemainingCapacity, minimumOf } from "./resources.js";
import { moveProbability } from "./swarm.js";

/** A machine that may be given tasks in this round. */
export interface CandidateMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  /** What its open attempts take, with reservations for pending moves and preemptions. */
  usedResources: Resources;
  /** The smallest demand for each resource among its tasks; infinite where it has none. */
  smallestDemand: Resources;
  readonly price: number;
  /** Far more expensive per processor than the cheapest machines: left empty, to be returned. */
  readonly isCostly: boolean;
  readonly fetchGbPerS: number;
  /** Images in its cache. */
  readonly images: { readonly has: (image: string) => boolean };
  /** How many resource shapes could use its type (`countCompetingShapes`). */
  readonly competingShapes: number;
}

/** Open attempts of one job by zone, as `zoneAffinity` and `spreadAcrossZones` judge them. */
export type ZoneCounts = ReadonlyMap<string, number>;

/** The part of a job spec that decides which machines may run its tasks. */
type PlacementRules = Pick<
  JobSpec,
  "machineTypes" | "zone" | "spotAllowed" | "zoneAffinity" | "spreadAcrossZones" | "taskCount"
>;

/** The part of a machine that the placement rules look at. */
type MachineKind = Pick<CandidateMachine, "type" | "zone" | "spot">;

// Filter

/** The most tasks of a job spread across zones that may run in one zone: half, rounded up. */
export const maxTasksPerZone = (taskCount: number): number => Math.ceil(taskCount / 2);

/** The part of the protocol's `wrong_place` that does not depend on the job's other tasks. */
const permitsMachineKind = (rules: PlacementRules, machine: MachineKind): boolean => {
  if (machine.spot && !rules.spotAllowed) return false;
  if (rules.machineTypes !== null && !rules.machineTypes.includes(machine.type)) return false;
  return rules.zone === null || rules.zone === machine.zone;
};

/** The part that depends on the zones of the job's other tasks. */
const permitsZone = (rules: PlacementRules, zone: string, zones: ZoneCounts): boolean => {
  if (rules.zoneAffinity)
    for (const [other, count] of zones) if (count > 0 && other !== zone) return false;
  return !rules.spreadAcrossZones || (zones.get(zone) ?? 0) < maxTasksPerZone(rules.taskCount);
};

/**
 * Whether the protocol lets a task start on such a machine; otherwise it would be refused as
 * `wrong_place`. Judges machine type, spot, zone and the zones of the job's other tasks, but not
 * free capacity.
 */
export const isPermitted = (
  rules: PlacementRules,
  machine: MachineKind,
  zones: ZoneCounts,
): boolean => permitsMachineKind(rules, machine) && permitsZone(rules, machine.zone, zones);

/** Whether it depends on the zones of a job's other tasks where the next one may run. */
export const hasZoneRules = (rules: PlacementRules): boolean =>
  rules.zoneAffinity || rules.spreadAcrossZones;

// Score

/**
 * How many of the resource shapes fit a machine of this capacity. Types that few shapes can use are
 * filled first: otherwise tasks that fit nowhere else find the large machines full of small tasks.
 */
export const countCompetingShapes = (capacity: Resources, shapes: readonly Resources[]): number =>
  shapes.filter((shape) => fits(shape, capacity)).length;

/** The different resource shapes among these. */
export const distinctShapes = (all: Iterable<Resources>): readonly Resources[] => {
  const shapes = new Map<string, Resources>();
  for (const shape of all) shapes.set(`${shape.cpus}|${shape.gpus}|${shape.ramGb}`, shape);
  return [...shapes.values()];
};

/** What a selector computed of one machine, and the use that it computed it for. */
interface Candidate {
  readonly machine: CandidateMachine;
  readonly imageCached: boolean;
  /** Seconds that the machine takes to fetch the image, at most. */
  readonly fetchS: number;
  /** The use for which `hasCapacity` and `moveProbability` hold. */
  computedFor: Resources | undefined;
  hasCapacity: boolean;
  /** The move probability if the task were added. */
  moveProbability: number;
}

/** Smaller differences of move probabilities are ties. */
const PROBABILITY_TOLERANCE = 1e-9;

/**
 * The scores that don't depend on the machine's use: fewer competing shapes, then an image fetch
 * within the slack, then not costly. Negative if `a` is better.
 */
const compareFixedScores = (a: Candidate, b: Candidate, slackS: number): number =>
  a.machine.competingShapes - b.machine.competingShapes ||
  Number(a.fetchS > slackS) - Number(b.fetchS > slackS) ||
  Number(a.machine.isCostly) - Number(b.machine.isCostly);

/**
 * Bin packing, between machines with the same fixed scores: the lower move probability; of equal
 * ones the machine that has the image, then the cheaper one.
 */
const packsBetter = (a: Candidate, b: Candidate): boolean => {
  if (Math.abs(a.moveProbability - b.moveProbability) > PROBABILITY_TOLERANCE)
    return a.moveProbability < b.moveProbability;
  return a.imageCached !== b.imageCached ? a.imageCached : a.machine.price < b.machine.price;
};

// Choose

const groupKeys = new WeakMap<JobSpec, string>();

/**
 * Jobs with the same key may share a selector: they differ at most in the zones of their other tasks
 * and in their slack. The key holds the zone rules too. (A selector shared by jobs of which only one
 * was bound to a zone broke the rule.)
 */
export const placementGroupKey = (spec: JobSpec): string => {
  const cached = groupKeys.get(spec);
  if (cached !== undefined) return cached;
  const { resources, machineTypes, zone, spotAllowed, image, imageGb, zoneAffinity } = spec;
  // How far a job is spread across zones depends on its number of tasks.
  const spread = spec.spreadAcrossZones ? spec.taskCount : 0;
  const key = JSON.stringify([
    resources,
    machineTypes,
    zone,
    spotAllowed,
    image,
    imageGb,
    zoneAffinity,
    spread,
  ]);
  groupKeys.set(spec, key);
  return key;
};

/**
 * Chooses machines for the tasks of jobs with the same `placementGroupKey`.
 *
 * What it computes of a machine holds until the machine's use changes. So placing a large job array
 * costs one comparison for each task and machine, and the paper's formula only for machines that
 * were just given a task.
 */
export class CandidateSelector {
  readonly #candidates: readonly Candidate[];

  constructor(
    private readonly spec: JobSpec,
    machines: Iterable<CandidateMachine>,
  ) {
    const candidates: Candidate[] = [];
    for (const machine of machines) {
      if (!permitsMachineKind(spec, machine)) continue;
      const imageCached = machine.images.has(spec.image);
      candidates.push({
        machine,
        imageCached,
        fetchS: imageCached ? 0 : spec.imageGb / machine.fetchGbPerS,
        computedFor: undefined,
        hasCapacity: false,
        moveProbability: 0,
      });
    }
    this.#candidates = candidates;
  }

  /**
   * The machine for one more task, or null if none has capacity. `zones`: where the job's other
   * tasks are. `slackS`: seconds until the task must run. `excluded` machines are not considered.
   */
  choose(
    zones: ZoneCounts,
    slackS = Number.POSITIVE_INFINITY,
    excluded?: (machine: CandidateMachine) => boolean,
  ): CandidateMachine | null {
    const { spec } = this;
    const checkZones = hasZoneRules(spec);
    let best: Candidate | null = null;
    for (const candidate of this.#candidates) {
      // The cheapest test goes first: most machines can't be better than the best so far.
      const order = best === null ? 0 : compareFixedScores(candidate, best, slackS);
      if (order > 0 || !this.#hasCapacity(candidate)) continue;
      if (checkZones && !permitsZone(spec, candidate.machine.zone, zones)) continue;
      if (excluded?.(candidate.machine) === true) continue;
      if (best === null || order < 0 || packsBetter(candidate, best)) best = candidate;
    }
    return best?.machine ?? null;
  }

  /** Whether one more task fits; computes its move probability too if the use has changed. */
  #hasCapacity(candidate: Candidate): boolean {
    const { machine } = candidate;
    if (candidate.computedFor === machine.usedResources) return candidate.hasCapacity;
    const { resources } = this.spec;
    candidate.computedFor = machine.usedResources;
    candidate.hasCapacity = fitsRemainingCapacity(
      resources,
      machine.usedResources,
      machine.capacity,
    );
    if (candidate.hasCapacity)
      candidate.moveProbability = moveProbability(
        add(machine.usedResources, resources),
        machine.capacity,
        minimumOf(machine.smallestDemand, resources),
      );
    return candidate.hasCapacity;
  }
}

/** Counts one more task, or a reservation for one, as in use on a machine. */
export const addUsedResources = (machine: CandidateMachine, resources: Resources): void => {
  machine.usedResources = add(machine.usedResources, resources);
  machine.smallestDemand = minimumOf(machine.smallestDemand, resources);
};
