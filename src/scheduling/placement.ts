import type { MachineId } from "../protocol/ids.js";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { fits, fitsBeside, lesser, plus } from "./resources.js";
import { pheromone } from "./swarm.js";

/** A machine as placement sees it: use counts every open attempt and every pending move in. */
export interface Place {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  use: Resources;
  /** The smallest need of each resource that stands there; endless where nothing does. */
  least: Resources;
  readonly price: number;
  /** Costs much more for what it holds than the cheapest about: left empty, to be returned. */
  readonly dear: boolean;
  readonly fetchGbPerS: number;
  readonly images: { readonly has: (image: string) => boolean };
  readonly contenders: number;
}

/** Where a job's other open attempts stand, as `oneZone` and `apart` judge them. */
export type ZoneCounts = ReadonlyMap<string, number>;

/** At most half of the tasks, rounded up, in one zone. */
export const apartLimit = (tasks: number): number => Math.ceil(tasks / 2);

/** PROTOCOL's `wrong_place`: type, kind, zone, and the job's other tasks. */
export const permitted = (
  spec: JobSpec,
  place: { readonly type: string; readonly zone: string; readonly spot: boolean },
  zones: ZoneCounts,
): boolean => {
  if (place.spot && !spec.spotAllowed) return false;
  if (spec.types !== null && !spec.types.includes(place.type)) return false;
  if (spec.zone !== null && spec.zone !== place.zone) return false;
  if (spec.oneZone) for (const [zone, n] of zones) if (n > 0 && zone !== place.zone) return false;
  if (spec.apart && (zones.get(place.zone) ?? 0) >= apartLimit(spec.tasks)) return false;
  return true;
};

/**
 * How many of the needs that are about a machine of this capacity could serve. Types that few can
 * use are filled first, or tasks that fit nowhere else find the large machines full of small ones.
 */
export const contenders = (capacity: Resources, shapes: readonly Resources[]): number =>
  shapes.filter((needs) => fits(needs, capacity)).length;

/** The distinct needs among these. */
export const distinctNeeds = (all: Iterable<Resources>): readonly Resources[] => {
  const out = new Map<string, Resources>();
  for (const n of all) out.set(`${n.cpus}|${n.gpus}|${n.ramGb}`, n);
  return [...out.values()];
};

/** Whether fetching the image there takes longer than the task has until it should run. */
const fetchesTooLong = (
  spec: Pick<JobSpec, "image" | "imageGb">,
  p: Place,
  hurryS: number,
): boolean =>
  hurryS < Number.POSITIVE_INFINITY &&
  !p.images.has(spec.image) &&
  spec.imageGb > hurryS * p.fetchGbPerS;

/**
 * The feasible machine that the fewest other needs could use, of those the one with the lowest p
 * after; ties go to a cached image, then to the lowest price. Null if none has room.
 */
export const choosePlace = (
  spec: JobSpec,
  places: readonly Place[],
  zones: ZoneCounts,
  hurryS = Number.POSITIVE_INFINITY,
): Place | null => {
  let best: Place | null = null;
  let bestP = 0;
  /** What comes before p: what others need is spared, then what is too slow, then what costs much. */
  const worse = (a: Place, b: Place): number =>
    a.contenders - b.contenders ||
    Number(fetchesTooLong(spec, a, hurryS)) - Number(fetchesTooLong(spec, b, hurryS)) ||
    Number(a.dear) - Number(b.dear);
  for (const place of places) {
    if (best !== null && worse(place, best) > 0) continue;
    if (!fitsBeside(spec.needs, place.use, place.capacity)) continue;
    if (!permitted(spec, place, zones)) continue;
    const p = pheromone(
      plus(place.use, spec.needs),
      place.capacity,
      lesser(place.least, spec.needs),
    );
    if (best === null || worse(place, best) < 0 || p < bestP - 1e-9) {
      best = place;
      bestP = p;
      continue;
    }
    if (p > bestP + 1e-9) continue;
    const cached = place.images.has(spec.image);
    const bestCached = best.images.has(spec.image);
    if (cached !== bestCached ? cached : place.price < best.price) {
      best = place;
      bestP = Math.min(p, bestP);
    }
  }
  return best;
};

export const occupy = (place: Place, needs: Resources): void => {
  place.use = plus(place.use, needs);
  place.least = lesser(place.least, needs);
};
