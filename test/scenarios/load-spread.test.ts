import assert from "node:assert/strict";
import test from "node:test";
import { parseSpan, type Span, WHOLE } from "@umberfold/spans";
import { type Burst, scheduleBurst } from "../sim/burst.js";
import type { FaultScenario, SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/**
 * Simulated days with load spreading on: bursts of one team or two, alone and beside troubles. The
 * world checks the protocol's rules; each test asserts that what it is for came about.
 */
const calm: FaultScenario = {
  lost: 0,
  crashes: false,
  outages: false,
  deaths: false,
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
const SCALE: SimulationScale = { nodes: 3, machines: 16, quota: 24, tasks: 4 };
const JOBS = 12;
const FIRST_BURST_ID = 500;
const SECOND_BURST_ID = 5000;
const BURST_MS = 30_000;

const ofTeam = (w: Simulation, team: string): readonly Span[] =>
  w.spans
    .filter((s) => s.team === team)
    .flatMap(({ value }) => (value === null ? [] : (parseSpan(value, SCALE.nodes) ?? [])));

const widest = (spans: readonly Span[]): number =>
  Math.max(0, ...spans.map((s) => s.entries.length));

/** How often a share went from one shard to another. */
const transfers = (spans: readonly Span[]): number => {
  let n = 0;
  for (let i = 1; i < spans.length; i++) {
    const before = new Map(spans[i - 1]?.entries.map((e) => [e.shard, e.share]));
    if (spans[i]?.entries.some((e) => e.share !== (before.get(e.shard) ?? 0))) n++;
  }
  return n;
};

const checkSpans = (w: Simulation): void => {
  for (const { value } of w.spans) {
    if (value === null) continue;
    const span = parseSpan(value, SCALE.nodes);
    assert.ok(span !== undefined, "every span that was written keeps the invariants");
    assert.ok(span.entries.reduce((sum, e) => sum + e.share, 0) <= WHOLE);
  }
};

const unended = (w: Simulation): readonly string[] =>
  [...w.jobs].filter(([id, j]) => j.finalState === null && !w.hasMistake(id)).map(([id]) => id);

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
  readonly trouble?: Partial<FaultScenario>;
  readonly bursts: readonly Burst[];
  /** What else happens, and what it must have brought about by the end. */
  readonly also?: (w: Simulation) => () => void;
}

/** Does something once a transfer between shards of t0 has been written. */
const onFirstTransfer = (w: Simulation, act: (span: Span) => void): (() => void) => {
  let acted = false;
  const look = (): void => {
    const spans = ofTeam(w, "t0");
    const last = spans.at(-1);
    if (last !== undefined && transfers(spans) > 0) {
      acted = true;
      act(last);
    } else w.clock.after(50, look);
  };
  look();
  return () => assert.ok(acted, "a share changed hands, and the trouble came with it");
};

const endsOwner =
  (of: "giver" | "receiver" | "leader", backMs: number) =>
  (w: Simulation): (() => void) =>
    onFirstTransfer(w, (span) => {
      const shard =
        of === "giver" ? span.home : span.entries.find((e) => e.shard !== span.home)?.shard;
      const n = w.ownerOf(of === "leader" ? "now/leader" : `now/share/${shard}`);
      w.crash(n, backMs);
    });

const days: readonly Day[] = [
  { name: "one array of many tasks", seed: 301, bursts: [array] },
  { name: "many small jobs", seed: 302, bursts: [small] },
  {
    name: "jobs that fail",
    seed: 303,
    trouble: { failures: "always" },
    bursts: [failing, small],
  },
  {
    name: "two teams at once",
    seed: 304,
    bursts: [small, { ...small, team: "t1" }],
  },
  { name: "the giver's owner ends", seed: 305, bursts: [small], also: endsOwner("giver", 9000) },
  {
    name: "the receiver's owner ends and is back at once",
    seed: 306,
    bursts: [small],
    also: endsOwner("receiver", 200),
  },
  { name: "the leader ends", seed: 307, bursts: [small], also: endsOwner("leader", 6000) },
  {
    name: "late writes of spans",
    seed: 308,
    trouble: { lateSpanWrites: 0.4 },
    bursts: [small],
    also: (w) => () => assert.ok(w.occurrences.lateSpanWrites > 0, "span writes came late"),
  },
  {
    name: "late writes of spans while the giver's owner ends",
    seed: 309,
    trouble: { lateSpanWrites: 0.4, lateWrites: true },
    bursts: [small],
    also: endsOwner("giver", 500),
  },
  {
    name: "the giver's owner is cut from the state service alone",
    seed: 310,
    bursts: [small],
    also: (w) =>
      onFirstTransfer(w, (span) => w.refuse(w.ownerOf(`now/share/${span.home}`), 30_000)),
  },
  {
    name: "a spot wave",
    seed: 311,
    bursts: [array, small],
    also: (w) => onFirstTransfer(w, () => w.spotWave(0.6)),
  },
  {
    name: "an outage",
    seed: 312,
    bursts: [small],
    also: (w) => onFirstTransfer(w, () => w.outage(25_000)),
  },
  {
    name: "crashes, lost and late messages together",
    seed: 313,
    trouble: { lost: 0.02, crashes: true, lateWrites: true, lateSpanWrites: 0.2, deaths: true },
    bursts: [small, { ...small, team: "t2" }],
  },
];

for (const { name, seed, trouble, bursts, also } of days)
  test(`a burst is spread and the rules hold: ${name}`, async () => {
    const w = new Simulation(seed, { ...calm, ...trouble }, SCALE);
    for (const [i, burst] of bursts.entries())
      scheduleBurst(w, burst, i === 0 ? FIRST_BURST_ID : SECOND_BURST_ID);
    const check = also?.(w);
    await w.day(JOBS);
    assert.deepEqual(w.violations, []);
    assert.deepEqual(unended(w), []);
    checkSpans(w);
    assert.ok(widest(ofTeam(w, "t0")) > 1, "the team's span grew");
    assert.ok(transfers(ofTeam(w, "t0")) > 0, "shares changed hands");
    assert.equal(w.stored("now/span/t0"), undefined, "the span drained home again");
    check?.();
  });

test("a burst whose jobs are called off while controllers end: confirmed cancellations hold", async () => {
  const w = new Simulation(
    321,
    { ...calm, crashes: true, cancelNow: true, lateCopies: true },
    SCALE,
  );
  const ids = scheduleBurst(w, { ...small, cancelAfterMs: 12_000 }, FIRST_BURST_ID);
  await w.day(JOBS);
  assert.deepEqual(w.violations, []);
  assert.ok(
    ids.some((id) => w.jobs.get(id)?.finalState === "cancelled"),
    "some were called off in time",
  );
  assert.ok(w.occurrences.cancelledAtOnce > 0);
  assert.ok(widest(ofTeam(w, "t0")) > 1, "the team's span grew");
  checkSpans(w);
});

const foreign: readonly (readonly [string, unknown])[] = [
  ["of another version", { f: 9 }],
  [
    "with more than the whole",
    {
      f: 1,
      h: 0,
      e: [
        [0, 0, WHOLE, WHOLE, WHOLE],
        [1, 0, WHOLE, 0, 0],
      ],
    },
  ],
  ["of another home", { f: 1, h: 2, e: [[2, 0, WHOLE, WHOLE, WHOLE]] }],
  ["of no shape at all", "none"],
];
for (const [name, value] of foreign)
  test(`a foreign span ${name} raises no limit and is replaced`, async () => {
    const w = new Simulation(322, calm, SCALE);
    scheduleBurst(w, { ...small, jobs: 150, withinMs: 20_000 }, FIRST_BURST_ID);
    // In the middle of the burst, while shares are spread and attempts are open.
    w.clock.after(45_000, () => void w.meddle("now/span/t0", value));
    w.clock.after(60_000, () => void w.meddle("now/span/t1", value));
    await w.day(JOBS);
    assert.deepEqual(w.violations, []);
    assert.deepEqual(unended(w), []);
    const written = w.spans.filter((s) => s.team === "t0" && s.at >= 45_000);
    assert.deepEqual(written[0]?.value, value);
    const replaced = parseSpan(written[1]?.value, SCALE.nodes);
    assert.ok(replaced !== undefined && replaced.home === 0);
    assert.ok(replaced.entries.length > 1, "what is open elsewhere keeps its share");
    assert.equal(w.stored("now/span/t0"), undefined);
    assert.equal(w.stored("now/span/t1"), undefined);
  });

test("switched off between restarts spans drain home, and switched on again they grow anew", async () => {
  const w = new Simulation(323, calm, SCALE);
  scheduleBurst(w, small, FIRST_BURST_ID);
  scheduleBurst(w, { ...small, atMs: 155_000, jobs: 60 }, SECOND_BURST_ID);
  const { loadSpread } = w.packages;
  const restart = (enabled: boolean): void => {
    w.packages = { loadSpread: { ...loadSpread, enabled } };
    for (let n = 0; n < SCALE.nodes; n++) w.crash(n, 500);
  };
  let spannedAtSwitch = 0;
  let drained = false;
  w.clock.after(40_000, () => {
    spannedAtSwitch = widest(ofTeam(w, "t0").slice(-1));
    restart(false);
  });
  w.clock.after(150_000, () => {
    drained = w.stored("now/span/t0") === undefined;
    restart(true);
  });
  await w.day(JOBS);
  assert.deepEqual(w.violations, []);
  assert.deepEqual(unended(w), []);
  assert.ok(spannedAtSwitch > 1, "there was a span when it was switched off");
  assert.ok(drained, "it drained home while off");
  const late = w.spans.filter((s) => s.team === "t0" && s.at > 155_000);
  assert.ok(late.length > 0, "it grew again");
});

test("a burst changes spans a bounded number of times", async () => {
  const w = new Simulation(324, calm, SCALE);
  scheduleBurst(w, { ...small, jobs: 200 }, FIRST_BURST_ID);
  await w.day(JOBS);
  assert.deepEqual(w.violations, []);
  const last = Math.max(...w.spans.map((s) => s.at));
  const perSecond = w.spans.length / ((last - BURST_MS) / 1000);
  assert.ok(w.spans.length > 0 && perSecond < 1, `${perSecond} writes of spans a second`);
});

test("switched off, nothing of it is written and no task of it runs", async () => {
  const { loadSpread: _off, ...off } = calm;
  const w = new Simulation(325, off, SCALE);
  scheduleBurst(w, small, FIRST_BURST_ID);
  await w.day(JOBS);
  assert.deepEqual(w.violations, []);
  assert.equal(w.spans.length, 0);
  assert.equal(w.taskNames.has("load-spread"), false);
  assert.ok(w.taskNames.has("fleet"), "other tasks run");
});
