import type { MachineId } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { add, fits, fitsBeside, minimumOf } from "./resources.js";
import { moveProbability } from "./swarm.js";

/** A machine as placement sees it: use counts every open attempt and every pending move in. */
export interface CandidateMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  use: Resources;
  /** The smallest need of each resource that stands there; endless where nothing does. */
  smallestDemand: Resources;
  readonly price: number;
  /** Costs much more for what it holds than the cheapest about: left empty, to be returned. */
  readonly isCostly: boolean;
  readonly fetchGbPerS: number;
  readonly images: { readonly has: (image: string) => boolean };
  readonly competingShapes: number;
}

/** Where a job's other open attempts stand, as `oneZone` and `apart` judge them. */
export type ZoneCounts = ReadonlyMap<string, number>;

/** What of a job decides which machines may take its tasks. */
type PlacementRules = Pick<
  JobSpec,
  "machineTypes" | "zone" | "spotAllowed" | "zoneAffinity" | "spreadAcrossZones" | "taskCount"
>;

/** At most half of the tasks, rounded up, in one zone. */
export const maxTasksPerZone = (tasks: number): number => Math.ceil(tasks / 2);

/** The part of PROTOCOL's `wrong_place` that does not depend on the job's other tasks. */
const permittedAlone = (
  spec: PlacementRules,
  place: { readonly type: string; readonly zone: string; readonly spot: boolean },
): boolean => {
  if (place.spot && !spec.spotAllowed) return false;
  if (spec.machineTypes !== null && !spec.machineTypes.includes(place.type)) return false;
  return spec.zone === null || spec.zone === place.zone;
};

/** The part that depends on where the job's other tasks are. */
const permittedBeside = (spec: PlacementRules, zone: string, zones: ZoneCounts): boolean => {
  if (spec.zoneAffinity) for (const [other, n] of zones) if (n > 0 && other !== zone) return false;
  return !spec.spreadAcrossZones || (zones.get(zone) ?? 0) < maxTasksPerZone(spec.taskCount);
};

/** PROTOCOL's `wrong_place`: type, kind, zone, and the job's other tasks. */
export const isPermitted = (
  spec: PlacementRules,
  place: { readonly type: string; readonly zone: string; readonly spot: boolean },
  zones: ZoneCounts,
): boolean => permittedAlone(spec, place) && permittedBeside(spec, place.zone, zones);

/**
 * How many of the needs that are about a machine of this capacity could serve. Types that few can
 * use are filled first, or tasks that fit nowhere else find the large machines full of small ones.
 */
export const countCompetingShapes = (capacity: Resources, shapes: readonly Resources[]): number =>
  shapes.filter((needs) => fits(needs, capacity)).length;

/** The distinct needs among these. */
export const distinctShapes = (all: Iterable<Resources>): readonly Resources[] => {
  const out = new Map<string, Resources>();
  for (const n of all) out.set(`${n.cpus}|${n.gpus}|${n.ramGb}`, n);
  return [...out.values()];
};

/** Whether jobs place their tasks by rules that look at the job's other tasks. */
export const hasZoneRules = (spec: PlacementRules): boolean =>
  spec.zoneAffinity || spec.spreadAcrossZones;

const groupKeys = new WeakMap<JobSpec, string>();

/**
 * Jobs with the same key are alike for placement, but for where their other tasks are and how soon
 * they must run. (A selector shared by jobs of which only one was bound to a zone broke the rule.)
 */
export const placementGroupKey = (spec: JobSpec): string => {
  const known = groupKeys.get(spec);
  if (known !== undefined) return known;
  const {
    resources,
    machineTypes,
    zone,
    spotAllowed,
    image,
    imageGb,
    zoneAffinity,
    spreadAcrossZones,
  } = spec;
  // Jobs that are spread over zones are so by their number of tasks.
  const spread = spreadAcrossZones ? spec.taskCount : 0;
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

/** What a selector has worked out of one place, and the use that it was worked out for. */
interface Candidate {
  readonly place: CandidateMachine;
  readonly cached: boolean;
  /** The longest that its image's fetch takes there. */
  readonly fetchS: number;
  use: Resources | undefined;
  room: boolean;
  p: number;
}

/** Differences of p below this are ties. */
const P_TIE = 1e-9;

/**
 * Chooses machines for the tasks of jobs that are alike for placement. Of the feasible machines it
 * takes the one that the fewest other needs could use, then one that fetches the image in time, then
 * a cheap one, then the one with the lowest p after; ties go to a cached image, then to the price.
 *
 * What it works out of a machine stands until the machine's use changes, so that a large array costs
 * a comparison for each machine and task, and the paper's formula only for machines just changed.
 */
export class CandidateSelector {
  readonly #candidates: readonly Candidate[];

  constructor(
    private readonly spec: JobSpec,
    places: Iterable<CandidateMachine>,
  ) {
    const candidates: Candidate[] = [];
    for (const place of places) {
      if (!permittedAlone(spec, place)) continue;
      const cached = place.images.has(spec.image);
      const fetchS = cached ? 0 : spec.imageGb / place.fetchGbPerS;
      candidates.push({ place, cached, fetchS, use: undefined, room: false, p: 0 });
    }
    this.#candidates = candidates;
  }

  /** The machine for one more task, or null if none has room. `excluded` ones are passed over. */
  choose(
    zones: ZoneCounts,
    hurryS = Number.POSITIVE_INFINITY,
    excluded?: (place: CandidateMachine) => boolean,
  ): CandidateMachine | null {
    const { spec } = this;
    const binds = hasZoneRules(spec);
    let best: Candidate | null = null;
    for (const c of this.#candidates) {
      const before = best === null ? 0 : this.#compare(c, best, hurryS);
      if (before > 0 || !this.#hasRoom(c)) continue;
      if (binds && !permittedBeside(spec, c.place.zone, zones)) continue;
      if (excluded?.(c.place) === true) continue;
      if (best === null || before < 0 || betterWithin(c, best)) best = c;
    }
    return best?.place ?? null;
  }

  /** What comes before p: what others need is spared, then what is too slow, then what costs much. */
  #compare(a: Candidate, b: Candidate, hurryS: number): number {
    return (
      a.place.competingShapes - b.place.competingShapes ||
      Number(a.fetchS > hurryS) - Number(b.fetchS > hurryS) ||
      Number(a.place.isCostly) - Number(b.place.isCostly)
    );
  }

  #hasRoom(c: Candidate): boolean {
    const { place } = c;
    if (c.use === place.use) return c.room;
    const { resources } = this.spec;
    c.use = place.use;
    c.room = fitsBeside(resources, place.use, place.capacity);
    if (c.room)
      c.p = moveProbability(
        add(place.use, resources),
        place.capacity,
        minimumOf(place.smallestDemand, resources),
      );
    return c.room;
  }
}

/** Of two machines of the same standing: the lower p after, then the cached image, then the price. */
const betterWithin = (a: Candidate, b: Candidate): boolean => {
  if (Math.abs(a.p - b.p) > P_TIE) return a.p < b.p;
  return a.cached !== b.cached ? a.cached : a.place.price < b.place.price;
};

export const addUse = (place: CandidateMachine, needs: Resources): void => {
  place.use = add(place.use, needs);
  place.smallestDemand = minimumOf(place.smallestDemand, needs);
};
