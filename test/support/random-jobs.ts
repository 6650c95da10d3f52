/** Random jobs for tests that compare an index or a search with a pass over everything. */
import { jobId, teamName } from "@umberfold/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { JobSpec, Resources } from "../../src/protocol/jobs.js";

/** One team with a guarantee, one without. */
export const TEAMS = [
  { name: teamName("a"), cpus: 24, gpus: 0 },
  { name: teamName("b"), cpus: 0, gpus: 0 },
];
/** Images that jobs need and machines may have. */
export const IMAGES = ["i", "j"];
/** Zones of machines. */
export const ZONES = ["x", "y"];

/** Draws that follow from a seed alone. */
export const randomSource = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const unit = (): number => uniformFloat64(generator);
  const below = (n: number): number => Math.floor(unit() * n);
  const pick = <T>(items: readonly T[]): T => items[below(items.length)] as T;
  return { unit, below, pick };
};
/** See `randomSource`. */
export type RandomSource = ReturnType<typeof randomSource>;

/** Resources in proportion to processors. */
export const resourcesOf = (cpus: number): Resources => ({ cpus, gpus: 0, ramGb: cpus * 3 });

/** A job of few tasks with random placement rules. */
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
