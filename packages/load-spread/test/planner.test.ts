/** Solver and greedy planner, and the fallback from one to the other. */
import assert from "node:assert/strict";
import test from "node:test";
import { shardId, type TeamName } from "@umberfold/ids";
import {
  consolidateTargets,
  greedyPlan,
  LoadSpreadPlanner,
  minimumShares,
  planCost,
  type SpanPlan,
  solvePlan,
  type TeamLoad,
} from "@umberfold/load-spread";
import { FULL_SHARE, stepSpan } from "@umberfold/spans";
import fc from "fast-check";
import {
  burst,
  HOME,
  MILLIONTH,
  millionths,
  OTHER,
  owners,
  plan,
  planned,
  ROUNDING,
  SEED,
  SETTINGS,
  shardLoad,
  spanOf,
  TEAM,
  THIRD,
  teamLoad,
} from "./fixtures.js";

/** Asserts that a plan keeps every minimum and divides the whole. */
const checkPlan = (load: TeamLoad, spanPlan: SpanPlan | undefined): void => {
  assert.ok(spanPlan !== undefined && load.span !== undefined);
  let targets = 0;
  let weights = 0;
  const minimums = minimumShares(load, load.span, SETTINGS.minShare);
  for (const [shard, { target, weight }] of spanPlan) {
    targets += target;
    weights += weight;
    assert.ok(target >= (minimums.get(shard) ?? 0) - ROUNDING, `${target} in ${shard}`);
    assert.ok(weight >= SETTINGS.minShare * FULL_SHARE - ROUNDING);
  }
  assert.ok(targets <= FULL_SHARE && targets > FULL_SHARE - ROUNDING);
  assert.ok(weights <= FULL_SHARE && weights > FULL_SHARE - ROUNDING);
  const consolidated = consolidateTargets(
    load,
    load.span,
    new Map([...spanPlan].map(([shard, { target }]) => [shard, target])),
  );
  assert.ok([...consolidated.values()].reduce((sum, n) => sum + n, 0) <= FULL_SHARE);
  for (const target of consolidated.values()) assert.ok(target >= 0);
};

const randomLoad = fc
  .array(fc.tuple(fc.nat(300_000), fc.nat(500_000), fc.nat(100), fc.nat(300_000)), {
    minLength: 3,
    maxLength: 3,
  })
  .map((rows) =>
    teamLoad(
      spanOf(OTHER, THIRD),
      rows.map(([used, more, waitingTaskCount, largest], i) =>
        shardLoad(shardId(i), {
          jobCount: 1,
          openAttemptCount: 5,
          waitingTaskCount,
          usedShare: millionths(used),
          demandShare: millionths(used + more),
          largestTaskShare: millionths(largest),
          oldestAcceptedAt: i,
        }),
      ),
    ),
  );

test("solver and greedy keep all bounds, and the solver's plan costs no more", () => {
  fc.assert(
    fc.property(randomLoad, (load) => {
      const input = planned(load, 100, 50, 10);
      const greedy = greedyPlan(input);
      const solved = solvePlan(input, 1000);
      checkPlan(load, greedy.get(TEAM));
      checkPlan(load, solved?.get(TEAM));
      if (solved !== undefined)
        assert.ok(planCost(input, solved) <= planCost(input, greedy) + 0.01);
    }),
    { seed: SEED, numRuns: 150 },
  );
});

test("two shards that each wait with a task too large for half: the older is served first", () => {
  const rows = [HOME, OTHER].map((shard, i) =>
    shardLoad(shard, {
      jobCount: 1,
      waitingTaskCount: 1,
      demandShare: millionths(600_000),
      largestTaskShare: millionths(600_000),
      oldestAcceptedAt: i,
    }),
  );
  const load = teamLoad(spanOf(OTHER), rows);
  for (const plans of [greedyPlan(planned(load, 1, 1)), solvePlan(planned(load, 1, 1), 1000)])
    assert.ok((plans?.get(TEAM)?.get(HOME)?.target ?? 0) >= 600_000 * MILLIONTH);
});

const solvers: readonly (readonly [string, () => undefined | never, string])[] = [
  ["answers nothing", () => undefined, "failed"],
  [
    "throws",
    () => {
      throw new Error("no pivot");
    },
    "failed",
  ],
];
for (const [name, solver, counter] of solvers)
  test(`a solver that ${name} is a counted fallback`, () => {
    const planner = new LoadSpreadPlanner(SETTINGS, () => 0, solver);
    const load = teamLoad(spanOf(OTHER), [burst]);
    const targets = planner.plan([load], owners(100, 10)).get(TEAM);
    assert.deepEqual(targets, greedyPlan(planned(load, 100, 10)).get(TEAM));
    assert.equal(planner.counters[counter as "failed"], 1);
  });

test("a solver that is late is a counted fallback", () => {
  let now = 0;
  const late = (): ReadonlyMap<TeamName, SpanPlan> => {
    now += SETTINGS.solverMs + 1;
    return new Map([[TEAM, new Map([plan(HOME, 1_000_000, 1_000_000)])]]);
  };
  const planner = new LoadSpreadPlanner(SETTINGS, () => now, late);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.late, 1);
});

test("an input beyond the solver's size is a counted fallback", () => {
  const planner = new LoadSpreadPlanner({ ...SETTINGS, solverCells: 1 }, () => 0);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.tooLarge, 1);
});

test("at a steady load nothing is written", () => {
  const planner = new LoadSpreadPlanner(SETTINGS, () => 0);
  let span = spanOf(OTHER);
  const load = (): TeamLoad =>
    teamLoad(span, [
      shardLoad(HOME, {
        jobCount: 5,
        openAttemptCount: 10,
        waitingTaskCount: 10,
        demandShare: millionths(400_000),
        oldestAcceptedAt: 1,
      }),
      shardLoad(OTHER, {
        jobCount: 5,
        openAttemptCount: 10,
        waitingTaskCount: 10,
        demandShare: millionths(300_000),
        oldestAcceptedAt: 2,
      }),
    ]);
  let writes = 0;
  for (let i = 0; i < 50; i++) {
    const changed = planner.plan([load()], owners(100, 90)).get(TEAM);
    if (changed === undefined) continue;
    writes++;
    const stepped = stepSpan(span, { kind: "plan", plan: changed });
    assert.ok(stepped.ok);
    span = stepped.span;
  }
  assert.ok(writes <= 2, `${writes} writes`);
});

test("new jobs go to the owner with the least to do, quota to where the waiting jobs are", () => {
  const load = teamLoad(spanOf(OTHER), [
    shardLoad(HOME, {
      jobCount: 50,
      openAttemptCount: 20,
      waitingTaskCount: 80,
      usedShare: FULL_SHARE,
      demandShare: millionths(5_000_000),
    }),
  ]);
  for (const plans of [
    greedyPlan(planned(load, 150, 10)),
    solvePlan(planned(load, 150, 10), 1000),
  ]) {
    const home = plans?.get(TEAM)?.get(HOME);
    assert.ok((home?.target ?? 0) > 800_000 * MILLIONTH, "quota stays with what waits");
    assert.ok((home?.weight ?? FULL_SHARE) < 300_000 * MILLIONTH, "new jobs don't");
  }
});

/** A shard kept one task's share forever, because that was less than a step. */
test("a draining shard without jobs gives up its last share, however small", () => {
  const drained = stepSpan(spanOf(OTHER), { kind: "drain", shard: OTHER });
  assert.ok(drained.ok);
  const small = stepSpan(drained.span, {
    kind: "plan",
    plan: new Map([plan(HOME, 990_000, 1_000_000), plan(OTHER, 10_000, 0)]),
  });
  assert.ok(small.ok);
  const planner = new LoadSpreadPlanner(SETTINGS, () => 0);
  const changed = planner.plan([teamLoad(small.span, [])], owners(1, 1)).get(TEAM);
  assert.equal(changed?.get(OTHER)?.target, 0);
  assert.equal(changed?.get(HOME)?.target, FULL_SHARE);
});
