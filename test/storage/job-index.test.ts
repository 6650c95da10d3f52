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

/** Indexes and searches that replace passes over everything must decide as those passes do. */
const TEAMS = [
  { name: teamName("a"), cpus: 24, gpus: 0 },
  { name: teamName("b"), cpus: 0, gpus: 0 },
];
const IMAGES = ["i", "j"];
const ZONES = ["x", "y"];

const randomSource = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const unit = (): number => uniformFloat64(generator);
  const below = (n: number): number => Math.floor(unit() * n);
  const pick = <T>(items: readonly T[]): T => items[below(items.length)] as T;
  return { unit, below, pick };
};
type RandomSource = ReturnType<typeof randomSource>;

const resourcesOf = (cpus: number): Resources => ({ cpus, gpus: 0, ramGb: cpus * 3 });

const randomSpec = (random: RandomSource, id: string): JobSpec => ({
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

test("a shard's job index equals a pass over all jobs after each of 2000 random changes", () => {
  for (let seed = 1; seed <= 8; seed++) {
    const random = randomSource(seed);
    const accepted = new Map<string, AcceptedJob>();
    const shardJobs = new ShardJobs((id) => accepted.get(id));
    const pages = [new Map<ReturnType<typeof jobId>, JobProgress>(), new Map()];
    for (let step = 1; step <= 250; step++) {
      const id = jobId(`wk-${random.below(25)}`);
      const known = accepted.get(id);
      const page = pages[random.below(2)] as Map<typeof id, JobProgress>;
      if (known === undefined) {
        const spec = randomSpec(random, id);
        accepted.set(id, {
          spec,
          acceptedAt: wallClockMs(random.below(1e6) + step / 1000),
          cancelledAt: null,
          shard: null,
        });
      } else if (random.unit() < 0.1)
        accepted.set(id, { ...known, cancelledAt: wallClockMs(step) });
      else if (random.unit() < 0.15) {
        accepted.delete(id);
        for (const p of pages) p.delete(id);
      } else {
        // A job may move from one page to another with what it has open.
        for (const p of pages) p.delete(id);
        const open = Array.from({ length: random.below(known.spec.taskCount + 1) }, (_, index) => ({
          index,
          attempt: attemptNumber(step),
          machine: machineId(`m-${random.below(4)}`),
        }));
        const done = open.length === 0 && random.unit() < 0.5 ? [0, known.spec.taskCount - 1] : [];
        page.set(id, { done, open, nextAttempt: step });
      }
      shardJobs.jobChanged(id);
      for (const [n, p] of pages.entries())
        shardJobs.pageChanged(`now/work/0/${n}`, encodeJobPage(p), revision(step));
      const { index, jobs } = shardJobs;
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

/** The same search over all machines, computed for each task. */
const bestCandidate = (
  spec: JobSpec,
  machines: readonly CandidateMachine[],
  zones: ReadonlyMap<string, number>,
  slackS: number,
): CandidateMachine | null => {
  const rankOf = (p: CandidateMachine): readonly number[] => {
    const late = !p.images.has(spec.image) && spec.imageGb > slackS * p.fetchGbPerS;
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
  const permitted = machines.filter(
    (p) => fitsBeside(spec.resources, p.use, p.capacity) && isPermitted(spec, p, zones),
  );
  const ranked = permitted.map((p, at) => ({ p, key: [...rankOf(p), at] }));
  ranked.sort((a, b) => {
    const at = a.key.findIndex((x, i) => Math.abs(x - (b.key[i] ?? 0)) > 1e-9);
    return at < 0 ? 0 : (a.key[at] ?? 0) - (b.key[at] ?? 0);
  });
  return ranked[0]?.p ?? null;
};

test("a selector shared by a placement group chooses as a search over all machines does", () => {
  let placed = 0;
  let bound = 0;
  for (let seed = 1; seed <= 30; seed++) {
    const random = randomSource(seed);
    const machines = Array.from({ length: 12 }, (_, i): CandidateMachine => {
      const large = random.unit() < 0.5;
      return {
        id: machineId(`m-${i}`),
        type: large ? "large" : "small",
        zone: random.pick(ZONES),
        spot: random.unit() < 0.5,
        capacity: resourcesOf(large ? 16 : 8),
        use: resourcesOf(0),
        smallestDemand: resourcesOf(Number.POSITIVE_INFINITY),
        price: random.pick([1, 2, 3]),
        isCostly: random.unit() < 0.3,
        fetchGbPerS: random.pick([0.2, 1]),
        images: new Set(IMAGES.filter(() => random.unit() < 0.4)),
        competingShapes: large ? 2 : 1,
      };
    });
    const selectors = new Map<string, CandidateSelector>();
    for (let n = 0; n < 25; n++) {
      const spec = randomSpec(random, `wk-${n}`);
      const key = placementGroupKey(spec);
      const selector = selectors.get(key) ?? new CandidateSelector(spec, machines);
      selectors.set(key, selector);
      const zones = new Map<string, number>();
      const slackS = random.pick([Number.POSITIVE_INFINITY, 8, 2]);
      for (let task = 0; task < spec.taskCount; task++) {
        const chosen = selector.choose(zones, slackS);
        assert.equal(
          chosen?.id,
          bestCandidate(spec, machines, zones, slackS)?.id,
          `${seed} ${n}/${task}`,
        );
        if (chosen === null) break;
        placed++;
        if (spec.zoneAffinity || spec.spreadAcrossZones) bound++;
        chosen.use = add(chosen.use, spec.resources);
        chosen.smallestDemand = minimumOf(chosen.smallestDemand, spec.resources);
        zones.set(chosen.zone, (zones.get(chosen.zone) ?? 0) + 1);
      }
    }
  }
  assert.ok(placed > 500 && bound > 50, `${placed} ${bound}`);
});

const sources = (all: readonly PreemptionCandidate[]): readonly PreemptionSource[] =>
  all.map((c) => ({ candidate: () => c, version: () => 0 }));

/** Preemption by sorting all victims of all machines for each task. */
const cheapestVictims = (needs: Resources, candidates: PreemptionCandidate[], maxLossS: number) => {
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
    if (lossS <= maxLossS && lossS < (best?.lossS ?? Number.POSITIVE_INFINITY))
      best = { at, victims: chosen, lossS };
  }
  return best;
};

test("preemption chooses the victims that sorting all victims for each task chooses", () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = randomSource(seed);
    const needs = resourcesOf(random.pick([1, 2, 4]));
    const candidates = Array.from(
      { length: 6 },
      (_, m): PreemptionCandidate => ({
        id: machineId(`m-${m}`),
        free: resourcesOf(random.below(3)),
        victims: Array.from({ length: random.below(6) }, (_x, v) => ({
          task: `wk-${m}/${v}` as never,
          resources: resourcesOf(random.pick([1, 2, 4])),
          lossS: random.unit() * 20,
        })),
      }),
    );
    const search = new PreemptionSearch(needs, sources(candidates), 25);
    for (;;) {
      const expected = cheapestVictims(needs, candidates, 25);
      const got = search.take();
      assert.equal(got?.machine, expected === null ? undefined : candidates[expected.at]?.id);
      if (expected === null) break;
      assert.deepEqual(
        got?.victims.map((v) => v.task),
        expected.victims.map((v) => v.task),
      );
      const c = candidates[expected.at] as PreemptionCandidate;
      const freed = expected.victims.reduce((sum, v) => add(sum, v.resources), c.free);
      const victims = c.victims.filter((v) => !expected.victims.includes(v));
      candidates[expected.at] = { id: c.id, free: subtract(freed, needs), victims };
    }
  }
});

test("a preemption candidate whose version changed is computed again before it is chosen", () => {
  const task = (id: string, lossS: number) => ({
    task: id as never,
    resources: resourcesOf(2),
    lossS,
  });
  const cheap = {
    id: machineId("m-1"),
    free: resourcesOf(0),
    victims: [task("a", 1), task("b", 2)],
  };
  const dearer = { id: machineId("m-2"), free: resourcesOf(0), victims: [task("c", 5)] };
  let taken: PreemptionCandidate | undefined = cheap;
  let version = 0;
  const search = new PreemptionSearch(
    resourcesOf(2),
    [
      { candidate: () => taken, version: () => version },
      { candidate: () => dearer, version: () => 0 },
    ],
    25,
  );
  // What was stopped there for another job meanwhile can't be stopped again.
  taken = { ...cheap, victims: [task("b", 9)] };
  version++;
  assert.equal(search.take()?.victims[0]?.task, "c");
  assert.equal(search.take()?.victims[0]?.task, "b");
  assert.equal(search.take(), null);
});
