import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, jobId, machineId, revision, teamName, wallClockMs } from "@umberfold/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { JobSpec, Resources } from "../../src/protocol/jobs.js";
import {
  type CandidateMachine,
  CandidateSelector,
  isPermitted,
  placementGroupKey,
} from "../../src/scheduling/placement.js";
import {
  type PreemptionCandidate,
  PreemptionSearch,
  type PreemptionSource,
} from "../../src/scheduling/preemption.js";
import { add, fits, fitsBeside, minimumOf, subtract } from "../../src/scheduling/resources.js";
import { moveProbability } from "../../src/scheduling/swarm.js";
import { encodeJobPage } from "../../src/storage/pages.js";
import { rangesCount } from "../../src/storage/ranges.js";
import {
  type AcceptedJob,
  type JobProgress,
  type LiveJob,
  waitingTaskCount,
} from "../../src/storage/records.js";
import { ShardJobs } from "../../src/storage/shard-jobs.js";

/** Indexes and searches that stand for passes over everything must decide as those passes do. */
const TEAMS = [
  { name: teamName("a"), cpus: 24, gpus: 0 },
  { name: teamName("b"), cpus: 0, gpus: 0 },
];
const IMAGES = ["i", "j"];
const ZONES = ["x", "y"];

const dice = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const unit = (): number => uniformFloat64(generator);
  const below = (n: number): number => Math.floor(unit() * n);
  const pick = <T>(items: readonly T[]): T => items[below(items.length)] as T;
  return { unit, below, pick };
};
type Dice = ReturnType<typeof dice>;

const needsOf = (cpus: number): Resources => ({ cpus, gpus: 0, ramGb: cpus * 3 });

const randomSpec = (d: Dice, id: string): JobSpec => ({
  id: jobId(id),
  jobClass: "c",
  team: d.pick(TEAMS).name,
  priority: d.pick(["high", "normal"] as const),
  taskCount: 1 + d.below(6),
  resources: needsOf(d.pick([1, 2, 4])),
  image: d.pick(IMAGES),
  imageGb: d.pick([1, 4]),
  machineTypes: d.pick([null, ["small"], ["large"]]),
  zone: d.pick([null, null, "x"]),
  zoneAffinity: d.unit() < 0.3,
  spreadAcrossZones: d.unit() < 0.3,
  spotAllowed: d.unit() < 0.7,
  expectedRunS: 10,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
});

/** What the index replaced: passes over all live jobs of the shard. */
const fullPass = (jobs: ReadonlyMap<string, LiveJob>) => {
  const ordered = [...jobs].filter(([, j]) => j.cancelledAt === null);
  ordered.sort(([, a], [, b]) => a.acceptedAt - b.acceptedAt);
  const used = new Map<string, number>();
  const within: string[] = [];
  const use = new Map<string, number>();
  for (const [id, j] of ordered) {
    const { cpus } = TEAMS.find((t) => t.name === j.spec.team) ?? { cpus: 0 };
    const sum = (used.get(j.spec.team) ?? 0) + j.spec.taskCount * j.spec.resources.cpus;
    used.set(j.spec.team, sum);
    if (cpus > 0 && sum <= cpus) within.push(id);
  }
  for (const j of jobs.values())
    if (j.open.length > 0)
      use.set(j.spec.team, (use.get(j.spec.team) ?? 0) + j.open.length * j.spec.resources.cpus);
  return {
    waiting: [...jobs].filter(([, j]) => waitingTaskCount(j) > 0).map(([id]) => id),
    cancelled: [...jobs].filter(([, j]) => j.cancelledAt !== null).map(([id]) => id),
    complete: [...jobs]
      .filter(([, j]) => j.cancelledAt === null && rangesCount(j.done) === j.spec.taskCount)
      .map(([id]) => id),
    needs: [...new Set([...jobs.values()].map((j) => j.spec.resources.cpus))],
    within,
    use: [...use],
  };
};

test("an index of a shard's jobs equals a pass over all of them, over random changes", () => {
  for (let seed = 1; seed <= 8; seed++) {
    const d = dice(seed);
    const accepted = new Map<string, AcceptedJob>();
    const work = new ShardJobs((id) => accepted.get(id));
    const pages = [new Map<ReturnType<typeof jobId>, JobProgress>(), new Map()];
    for (let step = 1; step <= 250; step++) {
      const id = jobId(`wk-${d.below(25)}`);
      const known = accepted.get(id);
      const page = pages[d.below(2)] as Map<typeof id, JobProgress>;
      if (known === undefined) {
        const spec = randomSpec(d, id);
        accepted.set(id, {
          spec,
          acceptedAt: wallClockMs(d.below(1e6) + step / 1000),
          cancelledAt: null,
          shard: null,
        });
      } else if (d.unit() < 0.1) accepted.set(id, { ...known, cancelledAt: wallClockMs(step) });
      else if (d.unit() < 0.15) {
        accepted.delete(id);
        for (const p of pages) p.delete(id);
      } else {
        // A job may move from one page to another with what it has open.
        for (const p of pages) p.delete(id);
        const open = Array.from({ length: d.below(known.spec.taskCount + 1) }, (_, index) => ({
          index,
          attempt: attemptNumber(step),
          machine: machineId(`m-${d.below(4)}`),
        }));
        const done = open.length === 0 && d.unit() < 0.5 ? [0, known.spec.taskCount - 1] : [];
        page.set(id, { done, open, nextAttempt: step });
      }
      work.jobChanged(id);
      for (const [n, p] of pages.entries())
        work.pageChanged(`now/work/0/${n}`, encodeJobPage(p), revision(step));
      const { index, jobs } = work;
      const expected = fullPass(jobs);
      const got = {
        waiting: [...index.waiting.keys()],
        cancelled: [...index.cancelled.keys()],
        complete: [...index.complete.keys()],
        needs: [...index.distinctResources()].map((n) => n.cpus),
        within: [...index.withinGuarantee(TEAMS)],
        use: [...index.teamUse()].map(([team, r]) => [team, r.cpus] as const),
      };
      for (const key of Object.keys(expected) as (keyof typeof expected)[])
        assert.deepEqual([...got[key]].sort(), [...expected[key]].sort(), `${key} ${seed}/${step}`);
      for (const [key, job] of index.waiting) assert.equal(job, jobs.get(key));
    }
  }
});

/** The same search over all machines, worked out anew for each task. */
const bestPlace = (
  spec: JobSpec,
  places: readonly CandidateMachine[],
  zones: ReadonlyMap<string, number>,
  hurryS: number,
): CandidateMachine | null => {
  const standing = (p: CandidateMachine): readonly number[] => {
    const late = !p.images.has(spec.image) && spec.imageGb > hurryS * p.fetchGbPerS;
    const after = moveProbability(
      add(p.use, spec.resources),
      p.capacity,
      minimumOf(p.smallestDemand, spec.resources),
    );
    return [
      p.competingShapes,
      Number(late),
      Number(p.isCostly),
      after,
      p.images.has(spec.image) ? 0 : 1,
      p.price,
    ];
  };
  const room = places.filter(
    (p) => fitsBeside(spec.resources, p.use, p.capacity) && isPermitted(spec, p, zones),
  );
  const ranked = room.map((p, at) => ({ p, key: [...standing(p), at] }));
  ranked.sort((a, b) => {
    const at = a.key.findIndex((x, i) => Math.abs(x - (b.key[i] ?? 0)) > 1e-9);
    return at < 0 ? 0 : (a.key[at] ?? 0) - (b.key[at] ?? 0);
  });
  return ranked[0]?.p ?? null;
};

test("selectors shared by like jobs choose as a search over all machines does", () => {
  let placed = 0;
  let bound = 0;
  for (let seed = 1; seed <= 30; seed++) {
    const d = dice(seed);
    const places = Array.from({ length: 12 }, (_, i): CandidateMachine => {
      const large = d.unit() < 0.5;
      return {
        id: machineId(`m-${i}`),
        type: large ? "large" : "small",
        zone: d.pick(ZONES),
        spot: d.unit() < 0.5,
        capacity: needsOf(large ? 16 : 8),
        use: needsOf(0),
        smallestDemand: needsOf(Number.POSITIVE_INFINITY),
        price: d.pick([1, 2, 3]),
        isCostly: d.unit() < 0.3,
        fetchGbPerS: d.pick([0.2, 1]),
        images: new Set(IMAGES.filter(() => d.unit() < 0.4)),
        competingShapes: large ? 2 : 1,
      };
    });
    const selectors = new Map<string, CandidateSelector>();
    for (let n = 0; n < 25; n++) {
      const spec = randomSpec(d, `wk-${n}`);
      const key = placementGroupKey(spec);
      const selector = selectors.get(key) ?? new CandidateSelector(spec, places);
      selectors.set(key, selector);
      const zones = new Map<string, number>();
      const hurryS = d.pick([Number.POSITIVE_INFINITY, 8, 2]);
      for (let task = 0; task < spec.taskCount; task++) {
        const place = selector.choose(zones, hurryS);
        assert.equal(place?.id, bestPlace(spec, places, zones, hurryS)?.id, `${seed} ${n}/${task}`);
        if (place === null) break;
        placed++;
        if (spec.zoneAffinity || spec.spreadAcrossZones) bound++;
        place.use = add(place.use, spec.resources);
        place.smallestDemand = minimumOf(place.smallestDemand, spec.resources);
        zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1);
      }
    }
  }
  assert.ok(placed > 500 && bound > 50, `${placed} ${bound}`);
});

const sources = (all: readonly PreemptionCandidate[]): readonly PreemptionSource[] =>
  all.map((c) => ({ candidate: () => c, version: () => 0 }));

/** Room made by sorting all victims of all machines anew for each task. */
const cheapestRoom = (needs: Resources, candidates: PreemptionCandidate[], mostS: number) => {
  let best: { at: number; victims: PreemptionCandidate["victims"]; lossS: number } | null = null;
  for (const [at, c] of candidates.entries()) {
    let free = c.free;
    let chosen: PreemptionCandidate["victims"][number][] = [];
    for (const v of [...c.victims].sort((a, b) => a.lossS - b.lossS)) {
      if (fits(needs, free)) break;
      free = add(free, v.resources);
      chosen.push(v);
    }
    if (!fits(needs, free)) continue;
    for (const v of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
      if (!fits(needs, subtract(free, v.resources))) continue;
      free = subtract(free, v.resources);
      chosen = chosen.filter((x) => x !== v);
    }
    const lossS = chosen.reduce((sum, v) => sum + v.lossS, 0);
    if (lossS <= mostS && lossS < (best?.lossS ?? Number.POSITIVE_INFINITY))
      best = { at, victims: chosen, lossS };
  }
  return best;
};

test("room made by preemption is what sorting all victims anew gives", () => {
  for (let seed = 1; seed <= 40; seed++) {
    const d = dice(seed);
    const needs = needsOf(d.pick([1, 2, 4]));
    const candidates = Array.from(
      { length: 6 },
      (_, m): PreemptionCandidate => ({
        id: machineId(`m-${m}`),
        free: needsOf(d.below(3)),
        victims: Array.from({ length: d.below(6) }, (_x, v) => ({
          task: `wk-${m}/${v}` as never,
          resources: needsOf(d.pick([1, 2, 4])),
          lossS: d.unit() * 20,
        })),
      }),
    );
    const search = new PreemptionSearch(needs, sources(candidates), 25);
    for (;;) {
      const want = cheapestRoom(needs, candidates, 25);
      const got = search.take();
      assert.equal(got?.machine, want === null ? undefined : candidates[want.at]?.id);
      if (want === null) break;
      assert.deepEqual(
        got?.victims.map((v) => v.task),
        want.victims.map((v) => v.task),
      );
      const c = candidates[want.at] as PreemptionCandidate;
      const freed = want.victims.reduce((sum, v) => add(sum, v.resources), c.free);
      const victims = c.victims.filter((v) => !want.victims.includes(v));
      candidates[want.at] = { id: c.id, free: subtract(freed, needs), victims };
    }
  }
});

test("a machine on which something happened is worked out again before it is chosen", () => {
  const task = (id: string, lossS: number) => ({ task: id as never, resources: needsOf(2), lossS });
  const cheap = { id: machineId("m-1"), free: needsOf(0), victims: [task("a", 1), task("b", 2)] };
  const dearer = { id: machineId("m-2"), free: needsOf(0), victims: [task("c", 5)] };
  let taken: PreemptionCandidate | undefined = cheap;
  let version = 0;
  const search = new PreemptionSearch(
    needsOf(2),
    [
      { candidate: () => taken, version: () => version },
      { candidate: () => dearer, version: () => 0 },
    ],
    25,
  );
  // What was stopped there for another job meanwhile must not be counted on again.
  taken = { ...cheap, victims: [task("b", 9)] };
  version++;
  assert.equal(search.take()?.victims[0]?.task, "c");
  assert.equal(search.take()?.victims[0]?.task, "b");
  assert.equal(search.take(), null);
});
