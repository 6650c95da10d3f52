import assert from "node:assert/strict";
import test from "node:test";
import { jobId, type ShardId, shardId, type TeamName, teamName } from "@umberfold/ids";
import {
  chooseShard,
  consolidateTargets,
  decideSpan,
  type FairTurn,
  fairTurns,
  greedyPlan,
  LoadSpreadPlanner,
  type LoadSpreadSettings,
  machineShifts,
  minimumShares,
  NO_PRESSURE,
  nextTransfer,
  type OwnerLoad,
  type Pressure,
  planCost,
  planInput,
  type ShardLoad,
  type SpanPlan,
  solvePlan,
  stepPressure,
  type TeamLoad,
  teamPressure,
  type WaitingWork,
} from "@umberfold/load-spread";
import { homeSpan, type Span, share, stepSpan, WHOLE } from "@umberfold/spans";
import fc from "fast-check";

const SEED = 20261202;
const TEAM = teamName("t");
const HOME = shardId(0);
const OTHER = shardId(1);
const THIRD = shardId(2);

const settings: LoadSpreadSettings = {
  enabled: true,
  maxSpan: 3,
  minTasks: 40,
  growAfterS: 3,
  shrinkAfterS: 30,
  imbalance: 1.5,
  minShare: 0.05,
  shareStep: 0.05,
  loadCost: 1,
  transferCost: 0.1,
  solverCells: 400,
  solverMs: 1000,
  balanceMachines: true,
  periodMs: 1000,
  fairShares: true,
};

/** Shares in millionths, for reading. */
const MILLIONTH = WHOLE / 1_000_000;
const ROUNDING = WHOLE * 1e-8;
const millionths = (n: number) => share(n * MILLIONTH);

const shardLoad = (shard: ShardId, more: Partial<ShardLoad> = {}): ShardLoad => ({
  shard,
  jobs: 0,
  open: 0,
  waiting: 0,
  used: share(0),
  demand: share(0),
  largest: share(0),
  wantedCpus: 0,
  oldest: Number.POSITIVE_INFINITY,
  ...more,
});

const teamLoad = (span: Span | undefined, rows: readonly ShardLoad[]): TeamLoad => ({
  team: TEAM,
  home: HOME,
  span,
  shards: new Map(rows.map((r) => [r.shard, r])),
});

const owners = (...units: readonly number[]): readonly OwnerLoad[] =>
  units.map((n, i) => ({ owner: `n-${i}`, shards: [shardId(i)], units: n }));

const spanOf = (...shards: readonly ShardId[]): Span => {
  let span = homeSpan(HOME);
  for (const shard of shards) {
    const stepped = stepSpan(span, { kind: "join", shard });
    assert.ok(stepped.ok);
    span = stepped.span;
  }
  return span;
};

// ---- Growing and shrinking ------------------------------------------------------------------

const burst = shardLoad(HOME, { jobs: 50, open: 20, waiting: 100 });

const decisions: readonly {
  readonly name: string;
  readonly load: TeamLoad;
  readonly owners: readonly OwnerLoad[];
  readonly pressure: Pressure;
  readonly settings?: Partial<LoadSpreadSettings>;
  readonly expected: string | undefined;
}[] = [
  {
    name: "pressure that lasts grows the span to the idlest owner's shard",
    load: teamLoad(undefined, [burst]),
    owners: owners(200, 50, 20),
    pressure: { state: "pressed", since: 0 },
    expected: "join 2",
  },
  {
    name: "pressure that has not lasted does nothing",
    load: teamLoad(undefined, [burst]),
    owners: owners(200, 50, 20),
    pressure: { state: "pressed", since: 8000 },
    expected: undefined,
  },
  {
    name: "a span at its most grows no further",
    load: teamLoad(spanOf(OTHER, THIRD), [burst]),
    owners: owners(200, 50, 20, 1),
    pressure: { state: "pressed", since: 0 },
    expected: undefined,
  },
  {
    name: "nothing grows while a takeover is on",
    load: teamLoad(spanOf(OTHER), [burst]),
    owners: [
      { owner: "n-0", shards: [HOME], units: 200 },
      { owner: "n-2", shards: [THIRD], units: 1 },
    ],
    pressure: { state: "pressed", since: 0 },
    expected: undefined,
  },
  {
    name: "rest that lasts drains the shard that joined last",
    load: teamLoad(spanOf(OTHER, THIRD), []),
    owners: owners(20, 20, 20),
    pressure: { state: "relaxed", since: -30_000 },
    expected: "drain 2",
  },
  {
    name: "switched off, a span drains at once",
    load: teamLoad(spanOf(OTHER), [burst]),
    owners: owners(200, 20),
    pressure: { state: "pressed", since: 0 },
    settings: { enabled: false },
    expected: "drain 1",
  },
  {
    name: "a job in a shard that the span lacks has that shard adopted",
    load: teamLoad(undefined, [shardLoad(THIRD, { jobs: 1, waiting: 1 })]),
    owners: owners(1, 1, 1),
    pressure: NO_PRESSURE,
    expected: "adopt 2",
  },
];
for (const d of decisions)
  test(`span policy: ${d.name}`, () => {
    const all = { ...settings, ...d.settings };
    const decision = decideSpan(d.load, d.pressure, d.owners, all, 10_000);
    const event = decision?.event;
    assert.equal(event === undefined ? undefined : `${event.kind} ${event.shard}`, d.expected);
  });

test("at a load that sits on a threshold a span changes a bounded number of times", () => {
  let span: Span | undefined;
  let pressure = NO_PRESSURE;
  let changes = 0;
  for (let second = 0; second < 1200; second++) {
    // Swings by a task around the least that a spread needs.
    const waiting = settings.minTasks - 20 + (second % 2 === 0 ? 1 : -1);
    const load = teamLoad(span, [shardLoad(HOME, { jobs: 5, open: 20, waiting })]);
    const now = second * 1000;
    pressure = stepPressure(pressure, teamPressure(load, owners(100, 10, 10)), settings, now);
    const decision = decideSpan(load, pressure, owners(100, 10, 10), settings, now);
    if (decision === undefined) continue;
    if (decision.answersPressure) pressure = { ...pressure, since: now };
    const stepped = stepSpan(span ?? homeSpan(HOME), decision.event);
    assert.ok(stepped.ok);
    span = stepped.span;
    changes++;
  }
  assert.ok(changes <= settings.maxSpan, `${changes} changes`);
});

// ---- Planning -------------------------------------------------------------------------------

const planned = (load: TeamLoad, ...units: readonly number[]) =>
  planInput([load], owners(...units), settings);

const plan = (shard: ShardId, target: number, weight: number) =>
  [shard, { target: millionths(target), weight: millionths(weight) }] as const;

const checkPlan = (load: TeamLoad, planned: SpanPlan | undefined): void => {
  assert.ok(planned !== undefined && load.span !== undefined);
  let targets = 0;
  let weights = 0;
  const least = minimumShares(load, load.span, settings.minShare);
  for (const [shard, { target, weight }] of planned) {
    targets += target;
    weights += weight;
    assert.ok(target >= (least.get(shard) ?? 0) - ROUNDING, `${target} in ${shard}`);
    assert.ok(weight >= settings.minShare * WHOLE - ROUNDING);
  }
  assert.ok(targets <= WHOLE && targets > WHOLE - ROUNDING);
  assert.ok(weights <= WHOLE && weights > WHOLE - ROUNDING);
  const better = consolidateTargets(
    load,
    load.span,
    new Map([...planned].map(([s, p]) => [s, p.target])),
  );
  assert.ok([...better.values()].reduce((sum, n) => sum + n, 0) <= WHOLE);
  for (const target of better.values()) assert.ok(target >= 0);
};

const randomLoad = fc
  .array(fc.tuple(fc.nat(300_000), fc.nat(500_000), fc.nat(100), fc.nat(300_000)), {
    minLength: 3,
    maxLength: 3,
  })
  .map((rows) =>
    teamLoad(
      spanOf(OTHER, THIRD),
      rows.map(([used, more, waiting, largest], i) =>
        shardLoad(shardId(i), {
          jobs: 1,
          open: 5,
          waiting,
          used: millionths(used),
          demand: millionths(used + more),
          largest: millionths(largest),
          oldest: i,
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
      jobs: 1,
      waiting: 1,
      demand: millionths(600_000),
      largest: millionths(600_000),
      oldest: i,
    }),
  );
  const load = teamLoad(spanOf(OTHER), rows);
  for (const targets of [greedyPlan(planned(load, 1, 1)), solvePlan(planned(load, 1, 1), 1000)])
    assert.ok((targets?.get(TEAM)?.get(HOME)?.target ?? 0) >= 600_000 * MILLIONTH);
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
    const planner = new LoadSpreadPlanner(settings, () => 0, solver);
    const load = teamLoad(spanOf(OTHER), [burst]);
    const targets = planner.plan([load], owners(100, 10)).get(TEAM);
    assert.deepEqual(targets, greedyPlan(planned(load, 100, 10)).get(TEAM));
    assert.equal(planner.counters[counter as "failed"], 1);
  });

test("a solver that is late is a counted fallback", () => {
  let now = 0;
  const late = (): ReadonlyMap<TeamName, SpanPlan> => {
    now += settings.solverMs + 1;
    return new Map([[TEAM, new Map([plan(HOME, 1_000_000, 1_000_000)])]]);
  };
  const planner = new LoadSpreadPlanner(settings, () => now, late);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.late, 1);
});

test("an input beyond the solver's size is a counted fallback", () => {
  const planner = new LoadSpreadPlanner({ ...settings, solverCells: 1 }, () => 0);
  planner.plan([teamLoad(spanOf(OTHER), [burst])], owners(100, 10));
  assert.equal(planner.counters.tooLarge, 1);
});

test("at a steady load nothing is written", () => {
  const planner = new LoadSpreadPlanner(settings, () => 0);
  let span = spanOf(OTHER);
  const load = (): TeamLoad =>
    teamLoad(span, [
      shardLoad(HOME, { jobs: 5, open: 10, waiting: 10, demand: millionths(400_000), oldest: 1 }),
      shardLoad(OTHER, { jobs: 5, open: 10, waiting: 10, demand: millionths(300_000), oldest: 2 }),
    ]);
  let writes = 0;
  for (let i = 0; i < 50; i++) {
    const planned = planner.plan([load()], owners(100, 90)).get(TEAM);
    if (planned === undefined) continue;
    writes++;
    const stepped = stepSpan(span, { kind: "plan", plan: planned });
    assert.ok(stepped.ok);
    span = stepped.span;
  }
  assert.ok(writes <= 2, `${writes} writes`);
});

test("new jobs go to the owner with the least to do, quota to where the waiting jobs are", () => {
  const load = teamLoad(spanOf(OTHER), [
    shardLoad(HOME, {
      jobs: 50,
      open: 20,
      waiting: 80,
      used: WHOLE,
      demand: millionths(5_000_000),
    }),
  ]);
  for (const got of [greedyPlan(planned(load, 150, 10)), solvePlan(planned(load, 150, 10), 1000)]) {
    const home = got?.get(TEAM)?.get(HOME);
    assert.ok((home?.target ?? 0) > 800_000 * MILLIONTH, "quota stays with what waits");
    assert.ok((home?.weight ?? WHOLE) < 300_000 * MILLIONTH, "new jobs don't");
  }
});

const fragments: readonly (readonly [string, readonly ShardLoad[], readonly number[]])[] = [
  [
    "what neither can use alone lets the older start one more",
    [
      shardLoad(HOME, { waiting: 5, largest: millionths(333_000), demand: WHOLE, oldest: 2 }),
      shardLoad(OTHER, { waiting: 5, largest: millionths(333_000), demand: WHOLE, oldest: 1 }),
    ],
    [334_000, 666_000],
  ],
  [
    "an idle shard's least share is lent to a task that waits",
    [
      shardLoad(HOME, {
        waiting: 1,
        used: millionths(400_000),
        largest: millionths(400_000),
        demand: millionths(800_000),
        oldest: 1,
      }),
    ],
    [800_000, 200_000],
  ],
];
for (const [name, rows, expected] of fragments)
  test(`fragments of a quota: ${name}`, () => {
    const targets = new Map([
      [HOME, 500_000 * MILLIONTH],
      [OTHER, 500_000 * MILLIONTH],
    ]);
    const got = consolidateTargets(teamLoad(spanOf(OTHER), rows), spanOf(OTHER), targets);
    assert.deepEqual(
      [...got.values()].map((n) => n / MILLIONTH),
      expected,
    );
  });

/** A shard was left with one task's share for good, for that was less than a step. */
test("a draining shard without jobs gives up its last share, however small", () => {
  const drained = stepSpan(spanOf(OTHER), { kind: "drain", shard: OTHER });
  assert.ok(drained.ok);
  const small = stepSpan(drained.span, {
    kind: "plan",
    plan: new Map([plan(HOME, 990_000, 1_000_000), plan(OTHER, 10_000, 0)]),
  });
  assert.ok(small.ok);
  const planner = new LoadSpreadPlanner(settings, () => 0);
  const planned = planner.plan([teamLoad(small.span, [])], owners(1, 1)).get(TEAM);
  assert.equal(planned?.get(OTHER)?.target, 0);
  assert.equal(planned?.get(HOME)?.target, WHOLE);
});

// ---- Transfers ------------------------------------------------------------------------------

test("a giver hands on what it neither uses nor is to keep, to whom lacks most", () => {
  const stepped = stepSpan(spanOf(OTHER, THIRD), {
    kind: "plan",
    plan: new Map([plan(HOME, 300_000, 0), plan(OTHER, 600_000, 0), plan(THIRD, 100_000, 0)]),
  });
  assert.ok(stepped.ok);
  const event = nextTransfer({ span: stepped.span, from: HOME, used: millionths(500_000) });
  assert.deepEqual(event, {
    kind: "transfer",
    from: HOME,
    to: OTHER,
    amount: millionths(500_000),
    used: millionths(500_000),
  });
  assert.equal(nextTransfer({ span: stepped.span, from: OTHER, used: share(0) }), undefined);
  assert.equal(nextTransfer({ span: stepped.span, from: HOME, used: WHOLE }), undefined);
});

// ---- Choosing a shard -----------------------------------------------------------------------

test("new jobs go to active shards by their weights, and mostly stay when one more joins", () => {
  const two = stepSpan(spanOf(OTHER), {
    kind: "plan",
    plan: new Map([plan(HOME, 0, 500_000), plan(OTHER, 0, 500_000)]),
  });
  assert.ok(two.ok);
  const ids = Array.from({ length: 4000 }, (_, i) => jobId(`wk-${i}`));
  const there = ids.filter((id) => chooseShard(two.span, id) === OTHER).length;
  assert.ok(there > 1800 && there < 2200, `${there} of 4000`);
  const joined = stepSpan(two.span, { kind: "join", shard: THIRD });
  assert.ok(joined.ok);
  const three = stepSpan(joined.span, {
    kind: "plan",
    plan: new Map([plan(HOME, 0, 400_000), plan(OTHER, 0, 400_000), plan(THIRD, 0, 200_000)]),
  });
  assert.ok(three.ok);
  const moved = ids.filter((id) => {
    const now = chooseShard(three.span, id);
    return now !== THIRD && now !== chooseShard(two.span, id);
  });
  assert.equal(moved.length, 0);
  const drained = stepSpan(three.span, { kind: "drain", shard: OTHER });
  assert.ok(drained.ok);
  assert.ok(ids.every((id) => chooseShard(drained.span, id) !== OTHER));
});

// ---- Fair shares ----------------------------------------------------------------------------

const work = (id: string, team: string, tasks: number, dominant = 0.01): WaitingWork => ({
  id: jobId(id),
  team: teamName(team),
  tasks,
  dominant,
});

const rows = (turns: readonly FairTurn[]): readonly string[] =>
  turns.map((turn) => `${turn.id}:${turn.tasks}`);

const turns: readonly {
  readonly name: string;
  readonly jobs: readonly WaitingWork[];
  readonly shares?: Readonly<Record<string, number>>;
  readonly mostTasks: number;
  readonly expected: readonly string[];
}[] = [
  {
    name: "a burst gives way to the team with less",
    jobs: [work("wk-1", "busy", 100), work("wk-2", "quiet", 2)],
    shares: { busy: 0.5, quiet: 0 },
    mostTasks: 4,
    expected: ["wk-2:2", "wk-1:2"],
  },
  {
    name: "equals take turns",
    jobs: [work("wk-1", "a", 3), work("wk-2", "b", 3)],
    mostTasks: 4,
    expected: ["wk-1:1", "wk-2:1", "wk-1:1", "wk-2:1"],
  },
  {
    name: "larger tasks come less often",
    jobs: [work("wk-1", "a", 9, 0.03), work("wk-2", "b", 9, 0.01)],
    mostTasks: 8,
    expected: ["wk-1:1", "wk-2:3", "wk-1:1", "wk-2:3"],
  },
  {
    name: "one team alone keeps its order",
    jobs: [work("wk-1", "a", 2), work("wk-2", "a", 2)],
    mostTasks: 10,
    expected: ["wk-1:2", "wk-2:2"],
  },
];
for (const t of turns)
  test(`fair turns: ${t.name}`, () => {
    const shares = new Map(Object.entries(t.shares ?? {}).map(([k, v]) => [teamName(k), v]));
    const got = fairTurns({ jobs: t.jobs, shares, mostTasks: t.mostTasks });
    assert.deepEqual(rows(got), t.expected);
  });

test("fair turns: no team gets two tasks more than another that still waits", () => {
  const job = fc.tuple(fc.constantFrom("a", "b", "c"), fc.integer({ min: 1, max: 40 }));
  fc.assert(
    fc.property(fc.array(job, { minLength: 1, maxLength: 12 }), (list) => {
      const jobs = list.map(([team, tasks], i) => work(`wk-${i}`, team, tasks));
      const got = new Map<TeamName, number>();
      for (const turn of fairTurns({ jobs, shares: new Map(), mostTasks: 60 })) {
        const team = jobs.find((j) => j.id === turn.id)?.team ?? teamName("");
        got.set(team, (got.get(team) ?? 0) + turn.tasks);
      }
      const asked = new Map<TeamName, number>();
      for (const j of jobs) asked.set(j.team, (asked.get(j.team) ?? 0) + j.tasks);
      for (const [team, tasks] of asked) {
        const mine = got.get(team) ?? 0;
        if (mine === tasks) continue;
        for (const other of got.values()) assert.ok(other <= mine + 2, `${other} and ${mine}`);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

// ---- Machines -------------------------------------------------------------------------------

const wants = (team: string, ...cpus: readonly number[]): TeamLoad => ({
  ...teamLoad(
    undefined,
    cpus.map((wantedCpus, i) => shardLoad(shardId(i), { waiting: 1, wantedCpus })),
  ),
  team: teamName(team),
});

const shifts: readonly (readonly [string, readonly TeamLoad[], readonly number[], string[]])[] = [
  [
    "a shard whose quiet teams lack their fair part is given machines by the burst's",
    [wants("burst", 1000, 0), wants("quiet", 0, 100)],
    [260, 40],
    ["0>1:30"],
  ],
  [
    "no shard gives what its own teams need",
    [wants("a", 100, 0), wants("b", 0, 100)],
    [50, 50],
    [],
  ],
  [
    "nobody gives to a shard that lacks little",
    [wants("a", 100, 0), wants("b", 0, 100)],
    [105, 95],
    [],
  ],
];
for (const [name, loads, capacity, expected] of shifts)
  test(`machines between shards: ${name}`, () => {
    const rooms = new Map(capacity.map((cpus, i) => [shardId(i), cpus]));
    const got = machineShifts(loads, rooms);
    assert.deepEqual(
      got.map((s) => `${s.from}>${s.to}:${Math.round(s.cpus)}`),
      expected,
    );
  });
