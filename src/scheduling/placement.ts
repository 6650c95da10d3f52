/**
 * Chooses machines for tasks in three steps: filter, score, choose.
 *
 * Filter: the protocol's rules on machine type, spot, zone and the job's other tasks
 * (`isPermitted`), and free capacity. Score: how many resource shapes compete for the machine,
 * whether it fetches the image in time, whether it is costly, and the move probability (see
 * `swarm.ts`). Choose: `CandidateSelector` returns the best of the machines that pass the filter.
 *
 * State: a selector caches its results for each machine until the machine's `usedResources` object
 * is replaced. A change must therefore always replace the object, as `addUsedResources` does.
 */
import type { MachineId } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { add, fits, fitsRemainingCapacity, minimumOf } from "./resources.js";
import { moveProbability } from "./swarm.js";

/** A machine on which a round may start tasks. */
export interface CandidateMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  /**
   * The resources of its open attempts, plus reservations for pending moves and preemptions. Each
   * change replaces the object: caches compare it by identity.
   */
  usedResources: Resources;
  /** The smallest demand for each resource among its tasks; infinite if it has no tasks. */
  smallestDemand: Resources;
  readonly price: number;
  /**
   * Whether it is far more expensive per processor than the cheapest machines. Such a machine is
   * filled last, so that it becomes empty and can be returned.
   */
  readonly isCostly: boolean;
  readonly fetchGbPerS: number;
  /** The images in its cache. */
  readonly images: { readonly has: (image: string) => boolean };
  /** Number of resource shapes that fit its type (`countCompetingShapes`). */
  readonly competingShapes: number;
}

/** Number of one job's open attempts by zone, for `zoneAffinity` and `spreadAcrossZones`. */
export type ZoneCounts = ReadonlyMap<string, number>;

/** The properties of a job spec that decide which machines may run its tasks. */
type PlacementRules = Pick<
  JobSpec,
  "machineTypes" | "zone" | "spotAllowed" | "zoneAffinity" | "spreadAcrossZones" | "taskCount"
>;

/** The properties of a machine that the placement rules depend on. */
type MachineKind = Pick<CandidateMachine, "type" | "zone" | "spot">;

// Filter

/**
 * The maximum number of tasks in one zone, for a job that is spread across zones: half of its
 * tasks, rounded up.
 */
export const maxTasksPerZone = (taskCount: number): number => Math.ceil(taskCount / 2);

/** The rules on machine type, spot and zone, which don't depend on the job's other tasks. */
const permitsMachineKind = (rules: PlacementRules, machine: MachineKind): boolean => {
  if (machine.spot && !rules.spotAllowed) return false;
  if (rules.machineTypes !== null && !rules.machineTypes.includes(machine.type)) return false;
  return rules.zone === null || rules.zone === machine.zone;
};

/** The rules that depend on the zones of the job's other tasks. */
const permitsZone = (rules: PlacementRules, zone: string, zones: ZoneCounts): boolean => {
  if (rules.zoneAffinity)
    for (const [other, count] of zones) if (count > 0 && other !== zone) return false;
  return !rules.spreadAcrossZones || (zones.get(zone) ?? 0) < maxTasksPerZone(rules.taskCount);
};

/**
 * Whether the protocol permits a task to start on a machine. A start on any other machine is a
 * violation that the protocol calls `wrong_place`. Checks machine type, spot, zone and the zones of
 * the job's other tasks, but not free capacity.
 */
export const isPermitted = (
  rules: PlacementRules,
  machine: MachineKind,
  zones: ZoneCounts,
): boolean => permitsMachineKind(rules, machine) && permitsZone(rules, machine.zone, zones);

/** Whether the zones in which a job's next task may run depend on the zones of its other tasks. */
export const hasZoneRules = (rules: PlacementRules): boolean =>
  rules.zoneAffinity || rules.spreadAcrossZones;

// Score

/**
 * The number of resource shapes that fit a machine of this capacity. Machines that few shapes fit
 * are filled first: otherwise small tasks fill the large machines, and tasks that fit only large
 * machines find no capacity.
 */
export const countCompetingShapes = (capacity: Resources, shapes: readonly Resources[]): number =>
  shapes.filter((shape) => fits(shape, capacity)).length;

/** The distinct resource shapes among these. */
export const distinctShapes = (all: Iterable<Resources>): readonly Resources[] => {
  const shapes = new Map<string, Resources>();
  for (const shape of all) shapes.set(`${shape.cpus}|${shape.gpus}|${shape.ramGb}`, shape);
  return [...shapes.values()];
};

/** Cached results for one machine, and the `usedResources` for which they were computed. */
interface Candidate {
  readonly machine: CandidateMachine;
  readonly imageCached: boolean;
  /** The maximum time that the machine takes to fetch the image, in seconds. */
  readonly fetchS: number;
  /** The machine's `usedResources` for which `hasCapacity` and `moveProbability` were computed. */
  computedFor: Resources | undefined;
  hasCapacity: boolean;
  /** The machine's move probability with the task added. */
  moveProbability: number;
}

/** Move probabilities that differ by at most this count as equal. */
const PROBABILITY_TOLERANCE = 1e-9;

/**
 * Compares the scores that don't depend on the machines' tasks: fewer competing shapes, then an
 * image fetch within the slack, then not costly. Negative if `a` is better.
 */
const compareFixedScores = (a: Candidate, b: Candidate, slackS: number): number =>
  a.machine.competingShapes - b.machine.competingShapes ||
  Number(a.fetchS > slackS) - Number(b.fetchS > slackS) ||
  Number(a.machine.isCostly) - Number(b.machine.isCostly);

/**
 * Whether `a` is better than `b` for bin packing, if their fixed scores are equal: the lower move
 * probability wins, then the machine that has the image in its cache, then the cheaper one.
 */
const packsBetter = (a: Candidate, b: Candidate): boolean => {
  if (Math.abs(a.moveProbability - b.moveProbability) > PROBABILITY_TOLERANCE)
    return a.moveProbability < b.moveProbability;
  return a.imageCached !== b.imageCached ? a.imageCached : a.machine.price < b.machine.price;
};

// Choose

const groupKeys = new WeakMap<JobSpec, string>();

/**
 * Jobs with the same key may share a selector: they differ at most in their slack and in the zones
 * of their other tasks, which are passed to each choice. The key includes the zone rules. (Without
 * them, a job with a zone rule shared the selector of a job without one, and the rule was
 * violated.)
 */
export const placementGroupKey = (spec: JobSpec): string => {
  const cached = groupKeys.get(spec);
  if (cached !== undefined) return cached;
  const { resources, machineTypes, zone, spotAllowed, image, imageGb, zoneAffinity } = spec;
  // The maximum number of tasks per zone of a spread job depends on its number of tasks.
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
 * The results for a machine are cached until its `usedResources` change. Placing a large job array
 * therefore costs one comparison for each task and machine, while the move probability is computed
 * only for machines that have received a task since.
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
   * Returns the best machine for one more task, or null if no permitted machine has capacity.
   * `zones`: the zones of the job's other tasks. `slackS`: seconds until the task must run.
   * Machines for which `excluded` returns true are not considered.
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
      // The cheapest check is first: it rules out most machines, which score below the best so far.
      const order = best === null ? 0 : compareFixedScores(candidate, best, slackS);
      if (order > 0 || !this.#hasCapacity(candidate)) continue;
      if (checkZones && !permitsZone(spec, candidate.machine.zone, zones)) continue;
      if (excluded?.(candidate.machine) === true) continue;
      if (best === null || order < 0 || packsBetter(candidate, best)) best = candidate;
    }
    return best?.machine ?? null;
  }

  /**
   * Whether one more task fits on the machine. If the machine's `usedResources` have changed,
   * computes this and the move probability anew.
   */
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

/** Adds the resources of one more task, or of a reservation for one, to a machine. */
export const addUsedResources = (machine: CandidateMachine, resources: Resources): void => {
  machine.usedResources = add(machine.usedResources, resources);
  machine.smallestDemand = minimumOf(machine.smallestDemand, resources);
};
