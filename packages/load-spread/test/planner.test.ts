/** The solver planner, the greedy planner, and the fallback from the first to the second. */
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
  planInputOf,
  ROUNDING,
  SEED,
  SETTINGS,
  shardLoad,
  spanOf,
  TEAM,
  THIRD,
  teamLoad,
} from "./fixtures.js";

/** Asserts that targets and weights keep their minimums and add up to a full share each. */
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

test("both planners keep all bounds, and the solver's plan costs at most the greedy one's", () => {
  fc.assert(
    fc.property(randomLoad, (load) => {
      const input = planInputOf(load, 100, 50, 10);
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

test("if two shards wait with tasks over half the quota, the older job gets its share", () => {
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
  for (const plans of [
    greedyPlan(planInputOf(load, 1, 1)),
    solvePlan(planInputOf(load, 1, 1), 1000),
  ])
    assert.ok((plans?.get(TEAM)?.get(HOME)?.target ?? 0) >= 600_000 * MILLIONTH);
});

const solvers: readonly (readonly [string, () => undefined | never, string])[] = [
  ["returns no plan", () => undefined, "failed"],
  [
    "throws",
    () => {
      throw new Error("no pivot");
    },
    "failed",
  ],
];
for (const [name, solver, counter] of solvers)
  test(`the greedy plan is used and counted if the solver ${name}`, () => {
    const planner = new LoadSpreadPlanner(SETTINGS, () => 0, solver);
    const load = teamLoad(spanOf(OTHER), [burst]);
    const targets = planner.plan([load], owners(100, 10)).get(TEAM);
    assert.deepEqual(targets, greedyPlan(planInputOf(load, 100, 10)).get(TEAM));
    assert.equal(planner.counters[counter as "failed"], 1);
  });

test("the fallback is counted if the solver exceeds its timeout", () => {
  let now = 0;
  const late = (): ReadonlyMap<TeamName, SpanPlan> => {
    now += SETTINGS.solverMs + 1;
    return new Map([[TEAM, new Map([plan(HOME, 1_000_000, 1_000_000)])]]);
  };
  const planner = new LoadSpreadPlanner(SETTINGS, () => now, late);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.late, 1);
});

test("the fallback is counted if the input is too large for the solver", () => {
  const planner = new LoadSpreadPlanner({ ...SETTINGS, solverCells: 1 }, () => 0);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.tooLarge, 1);
});

test("at a steady load plans stop being written", () => {
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

test("new jobs go to the least loaded owner, and quota to the shard with waiting jobs", () => {
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
    greedyPlan(planInputOf(load, 150, 10)),
    solvePlan(planInputOf(load, 150, 10), 1000),
  ]) {
    const home = plans?.get(TEAM)?.get(HOME);
    assert.ok(
      (home?.target ?? 0) > 800_000 * MILLIONTH,
      "the quota stays in the shard with waiting jobs",
    );
    assert.ok((home?.weight ?? FULL_SHARE) < 300_000 * MILLIONTH, "new jobs go elsewhere");
  }
});

/** Regression: a shard kept the share of one task forever, because it was smaller than a step. */
test("the target of a draining shard without jobs becomes 0, even from less than a step", () => {
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
