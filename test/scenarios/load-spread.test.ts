/**
 * Simulated days with load spreading on: bursts of one team or two, alone and beside other faults.
 * The simulation checks the protocol's rules; each test asserts that what it is for came about.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { FULL_SHARE, parseSpan, type Span } from "@umberfold/spans";
import { type Burst, scheduleBurst } from "../sim/burst.js";
import { type FaultScenario, NO_FAULTS, type SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const spreading: FaultScenario = {
  ...NO_FAULTS,
  loadSpread: {
    maxSpan: 3,
    minTasks: 20,
    growAfterS: 1,
    shrinkAfterS: 10,
    imbalance: 1.2,
    periodMs: 500,
    // The solver's bound is of real time, which must not decide what a simulated day does.
    solverMs: 10_000,
  },
};
const SCALE: SimulationScale = { controllers: 3, machines: 16, quotaCpus: 24, maxTasks: 4 };
const JOBS = 12;
const FIRST_BURST_ID = 500;
const SECOND_BURST_ID = 5000;
const BURST_MS = 30_000;

const spansOf = (simulation: Simulation, team: string): readonly Span[] =>
  simulation.spans
    .filter((s) => s.team === team)
    .flatMap(({ value }) => (value === null ? [] : (parseSpan(value, SCALE.controllers) ?? [])));

const widest = (spans: readonly Span[]): number =>
  Math.max(0, ...spans.map((s) => s.entries.length));

/** How often a share went from one shard to another. */
const transfers = (spans: readonly Span[]): number => {
  let count = 0;
  for (let i = 1; i < spans.length; i++) {
    const before = new Map(spans[i - 1]?.entries.map((e) => [e.shard, e.share]));
    if (spans[i]?.entries.some((e) => e.share !== (before.get(e.shard) ?? 0))) count++;
  }
  return count;
};

const checkSpans = (simulation: Simulation): void => {
  for (const { value } of simulation.spans) {
    if (value === null) continue;
    const span = parseSpan(value, SCALE.controllers);
    assert.ok(span !== undefined, "every span that was written keeps the invariants");
    assert.ok(span.entries.reduce((sum, e) => sum + e.share, 0) <= FULL_SHARE);
  }
};

const array: Burst = { team: "t0", atMs: BURST_MS, jobs: 1, tasks: 150 };
const small: Burst = { team: "t0", atMs: BURST_MS, jobs: 100, tasks: 1 };
const failing: Burst = {
  team: "t0",
  atMs: BURST_MS,
  jobs: 30,
  tasks: 3,
  failing: true,
  cancelAfterMs: 60_000,
};

interface Day {
  readonly name: string;
  readonly seed: number;
  readonly faults?: Partial<FaultScenario>;
  readonly bursts: readonly Burst[];
  /** What else happens, and what it must have brought about by the end. */
  readonly also?: (simulation: Simulation) => () => void;
}

/** Does something once a transfer between shards of t0 has been written. */
const onFirstTransfer = (simulation: Simulation, act: (span: Span) => void): (() => void) => {
  let acted = false;
  const look = (): void => {
    const spans = spansOf(simulation, "t0");
    const last = spans.at(-1);
    if (last !== undefined && transfers(spans) > 0) {
      acted = true;
      act(last);
    } else simulation.clock.after(50, look);
  };
  look();
  return () => assert.ok(acted, "a share changed hands, and the fault came with it");
};

const crashOwner =
  (of: "giver" | "receiver" | "leader", backMs: number) =>
  (simulation: Simulation): (() => void) =>
    onFirstTransfer(simulation, (span) => {
      const shard =
        of === "giver" ? span.home : span.entries.find((e) => e.shard !== span.home)?.shard;
      const owner = simulation.ownerOf(of === "leader" ? "now/leader" : `now/share/${shard}`);
      simulation.crash(owner, backMs);
    });

const days: readonly Day[] = [
  { name: "one array of many tasks", seed: 301, bursts: [array] },
  { name: "many small jobs", seed: 302, bursts: [small] },
  {
    name: "jobs that fail",
    seed: 303,
    faults: { failures: "always" },
    bursts: [failing, small],
  },
  {
    name: "two teams at once",
    seed: 304,
    bursts: [small, { ...small, team: "t1" }],
  },
  {
    name: "the giver's owner crashes",
    seed: 305,
    bursts: [small],
    also: crashOwner("giver", 9000),
  },
  {
    name: "the receiver's owner crashes and is back at once",
    seed: 306,
    bursts: [small],
    also: crashOwner("receiver", 200),
  },
  { name: "the leader crashes", seed: 307, bursts: [small], also: crashOwner("leader", 6000) },
  {
    name: "late writes of spans",
    seed: 308,
    faults: { lateSpanWrites: 0.4 },
    bursts: [small],
    also: (simulation) => () =>
      assert.ok(simulation.occurrences.lateSpanWrites > 0, "span writes came late"),
  },
  {
    name: "late writes of spans while the giver's owner crashes",
    seed: 309,
    faults: { lateSpanWrites: 0.4, lateWrites: true },
    bursts: [small],
    also: crashOwner("giver", 500),
  },
  {
    name: "the giver's owner is refused by the state store",
    seed: 310,
    bursts: [small],
    also: (simulation) =>
      onFirstTransfer(simulation, (span) =>
        simulation.refuse(simulation.ownerOf(`now/share/${span.home}`), 30_000),
      ),
  },
  {
    name: "a spot wave",
    seed: 311,
    bursts: [array, small],
    also: (simulation) => onFirstTransfer(simulation, () => simulation.spotWave(0.6)),
  },
  {
    name: "an outage",
    seed: 312,
    bursts: [small],
    also: (simulation) => onFirstTransfer(simulation, () => simulation.outage(25_000)),
  },
  {
    name: "crashes, lost and late messages together",
    seed: 313,
    faults: { lost: 0.02, crashes: true, lateWrites: true, lateSpanWrites: 0.2, deaths: true },
    bursts: [small, { ...small, team: "t2" }],
  },
];

for (const { name, seed, faults, bursts, also } of days)
  test(`a burst is spread and the rules hold: ${name}`, async () => {
    const simulation = new Simulation(seed, { ...spreading, ...faults }, SCALE);
    for (const [i, burst] of bursts.entries())
      scheduleBurst(simulation, burst, i === 0 ? FIRST_BURST_ID : SECOND_BURST_ID);
    const check = also?.(simulation);
    await simulation.day(JOBS);
    assert.deepEqual(simulation.violations, []);
    assert.deepEqual(simulation.unfinishedJobs, []);
    checkSpans(simulation);
    assert.ok(widest(spansOf(simulation, "t0")) > 1, "the team's span grew");
    assert.ok(transfers(spansOf(simulation, "t0")) > 0, "shares changed hands");
    assert.equal(
      simulation.stored("now/span/t0"),
      undefined,
      "the span shrank to its home shard again",
    );
    check?.();
  });

test("a burst whose jobs are cancelled while controllers crash is spread, and confirmed cancellations hold", async () => {
  const simulation = new Simulation(
    321,
    { ...spreading, crashes: true, cancelAtOnce: true, lateHeartbeatCopies: true },
    SCALE,
  );
  const ids = scheduleBurst(simulation, { ...small, cancelAfterMs: 12_000 }, FIRST_BURST_ID);
  await simulation.day(JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.ok(
    ids.some((id) => simulation.jobs.get(id)?.finalState === "cancelled"),
    "some were cancelled in time",
  );
  assert.ok(simulation.occurrences.cancelledAtOnce > 0);
  assert.ok(widest(spansOf(simulation, "t0")) > 1, "the team's span grew");
  checkSpans(simulation);
});

const foreign: readonly (readonly [string, unknown])[] = [
  ["of another version", { f: 9 }],
  [
    "with more than the whole",
    {
      f: 1,
      h: 0,
      e: [
        [0, 0, FULL_SHARE, FULL_SHARE, FULL_SHARE],
        [1, 0, FULL_SHARE, 0, 0],
      ],
    },
  ],
  ["of another home", { f: 1, h: 2, e: [[2, 0, FULL_SHARE, FULL_SHARE, FULL_SHARE]] }],
  ["of no shape at all", "none"],
];
for (const [name, value] of foreign)
  test(`a foreign span ${name} is replaced and raises no limit`, async () => {
    const simulation = new Simulation(322, spreading, SCALE);
    scheduleBurst(simulation, { ...small, jobs: 150, withinMs: 20_000 }, FIRST_BURST_ID);
    // In the middle of the burst, while shares are spread and attempts are open.
    simulation.clock.after(45_000, () => void simulation.overwriteRecord("now/span/t0", value));
    simulation.clock.after(60_000, () => void simulation.overwriteRecord("now/span/t1", value));
    await simulation.day(JOBS);
    assert.deepEqual(simulation.violations, []);
    assert.deepEqual(simulation.unfinishedJobs, []);
    const written = simulation.spans.filter((s) => s.team === "t0" && s.at >= 45_000);
    assert.deepEqual(written[0]?.value, value);
    const replaced = parseSpan(written[1]?.value, SCALE.controllers);
    assert.ok(replaced !== undefined && replaced.home === 0);
    assert.ok(replaced.entries.length > 1, "what is open elsewhere keeps its share");
    assert.equal(simulation.stored("now/span/t0"), undefined);
    assert.equal(simulation.stored("now/span/t1"), undefined);
  });

test("switched off between restarts, spans shrink to their home shard; switched on again, they grow", async () => {
  const simulation = new Simulation(323, spreading, SCALE);
  scheduleBurst(simulation, small, FIRST_BURST_ID);
  scheduleBurst(simulation, { ...small, atMs: 155_000, jobs: 60 }, SECOND_BURST_ID);
  const { loadSpread } = simulation.packages;
  const restart = (enabled: boolean): void => {
    simulation.packages = { loadSpread: { ...loadSpread, enabled } };
    for (let index = 0; index < SCALE.controllers; index++) simulation.crash(index, 500);
  };
  let spannedAtSwitch = 0;
  let shrank = false;
  simulation.clock.after(40_000, () => {
    spannedAtSwitch = widest(spansOf(simulation, "t0").slice(-1));
    restart(false);
  });
  simulation.clock.after(150_000, () => {
    shrank = simulation.stored("now/span/t0") === undefined;
    restart(true);
  });
  await simulation.day(JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.deepEqual(simulation.unfinishedJobs, []);
  assert.ok(spannedAtSwitch > 1, "there was a span when it was switched off");
  assert.ok(shrank, "it shrank to its home shard while off");
  const late = simulation.spans.filter((s) => s.team === "t0" && s.at > 155_000);
  assert.ok(late.length > 0, "it grew again");
});

test("a burst changes spans a bounded number of times", async () => {
  const simulation = new Simulation(324, spreading, SCALE);
  scheduleBurst(simulation, { ...small, jobs: 200 }, FIRST_BURST_ID);
  await simulation.day(JOBS);
  assert.deepEqual(simulation.violations, []);
  const last = Math.max(...simulation.spans.map((s) => s.at));
  const perSecond = simulation.spans.length / ((last - BURST_MS) / 1000);
  assert.ok(simulation.spans.length > 0 && perSecond < 1, `${perSecond} writes of spans a second`);
});

test("switched off, load spreading writes no span and runs no periodic task", async () => {
  const simulation = new Simulation(325, NO_FAULTS, SCALE);
  scheduleBurst(simulation, small, FIRST_BURST_ID);
  await simulation.day(JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.equal(simulation.spans.length, 0);
  assert.equal(simulation.taskNames.has("load-spread"), false);
  assert.ok(simulation.taskNames.has("fleet"), "other tasks run");
});
