/** Random jobs for tests that compare an index or a search with a full scan. */
import { jobId, teamName } from "@umberfold/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { JobSpec, Resources } from "../../src/protocol/jobs.js";

/** One team with a guarantee, one without. */
export const TEAMS = [
  { name: teamName("a"), cpus: 24, gpus: 0 },
  { name: teamName("b"), cpus: 0, gpus: 0 },
];
/** Container images that jobs require and machines may have cached. */
export const IMAGES = ["i", "j"];
/** Zones that machines are in. */
export const ZONES = ["x", "y"];

/**
 * A deterministic random source: `unit` draws a number from 0 to 1 (exclusive), `below` an integer
 * from 0 to `n` (exclusive), `pick` an element of a list.
 */
export const randomSource = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const unit = (): number => uniformFloat64(generator);
  const below = (n: number): number => Math.floor(unit() * n);
  const pick = <T>(items: readonly T[]): T => items[below(items.length)] as T;
  return { unit, below, pick };
};
/** The type of a source that `randomSource` returns. */
export type RandomSource = ReturnType<typeof randomSource>;

/** Resources without gpus, with 3 GB of memory per cpu. */
export const resourcesOf = (cpus: number): Resources => ({ cpus, gpus: 0, ramGb: cpus * 3 });

/** A job of 1 to 6 tasks with random resources and placement constraints. */
export const randomSpec = (random: RandomSource, id: string): JobSpec => ({
  id: jobId(id),
  jobClass: "c",
  team: random.pick(TEAMS).name,
  priority: random.pick(["high", "normal"] as const),
  taskCount: 1 + random.below(6),
  resources: resourcesOf(random.pick([1, 2, 4])),
  image: random.pick(IMAGES),
  imageGb: random.pick([1, 4]),
  machineTypes: random.pick([null, ["small"], ["large"]]),
  zone: random.pick([null, null, "x"]),
  zoneAffinity: random.unit() < 0.3,
  spreadAcrossZones: random.unit() < 0.3,
  spotAllowed: random.unit() < 0.7,
  expectedRunS: 10,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
});
