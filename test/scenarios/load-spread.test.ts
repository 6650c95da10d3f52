/**
 * Simulated days with load spreading enabled: bursts of jobs of one or two teams, alone and
 * together with faults. The simulation checks the protocol rules; each test also asserts that the
 * spread and the fault that it is for occurred.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { FULL_SHARE, parseSpan, type Span } from "@umberfold/spans";
import { type Burst, scheduleBurst } from "../sim/burst.js";
import { type FaultScenario, NO_FAULTS, type SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const LOAD_SPREAD_ENABLED: FaultScenario = {
  ...NO_FAULTS,
  loadSpread: {
    maxSpan: 3,
    minTasks: 20,
    growAfterS: 1,
    shrinkAfterS: 10,
    imbalance: 1.2,
    periodMs: 500,
    // The solver's time limit is real time. It is set so high that it never takes effect, because a
    // simulated day must not depend on the speed of the machine.
    solverMs: 10_000,
  },
};
const SCALE: SimulationScale = { controllers: 3, machines: 16, quotaCpus: 24, maxTasks: 4 };
/** Jobs of a day in addition to those of its bursts. */
const DAY_JOBS = 12;
const FIRST_BURST_ID = 500;
const SECOND_BURST_ID = 5000;
const BURST_START_MS = 30_000;
const TRANSFER_CHECK_INTERVAL_MS = 50;

const spansOf = (simulation: Simulation, team: string): readonly Span[] =>
  simulation.spans
    .filter((s) => s.team === team)
    .flatMap(({ value }) => (value === null ? [] : (parseSpan(value, SCALE.controllers) ?? [])));

/** The most shards that any of the spans has. */
const maxShardCount = (spans: readonly Span[]): number =>
  Math.max(0, ...spans.map((s) => s.entries.length));

/** Number of span writes that changed the share of a shard. */
const countTransfers = (spans: readonly Span[]): number => {
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
    assert.ok(span !== undefined, "every written span satisfies the invariants");
    assert.ok(span.entries.reduce((sum, e) => sum + e.share, 0) <= FULL_SHARE);
  }
};

const arrayJob: Burst = { team: "t0", atMs: BURST_START_MS, jobs: 1, tasks: 150 };
const smallJobs: Burst = { team: "t0", atMs: BURST_START_MS, jobs: 100, tasks: 1 };
const failingJobs: Burst = {
  team: "t0",
  atMs: BURST_START_MS,
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
  /** Schedules a further fault; returns the check, made at the day's end, that it occurred. */
  readonly scheduleFault?: (simulation: Simulation) => () => void;
}

/**
 * Calls `injectFault` with the newest span once a transfer between shards of team t0 has been
 * written. Returns a check that this happened.
 */
const onFirstTransfer = (
  simulation: Simulation,
  injectFault: (span: Span) => void,
): (() => void) => {
  let isInjected = false;
  const checkForTransfer = (): void => {
    const spans = spansOf(simulation, "t0");
    const last = spans.at(-1);
    if (last !== undefined && countTransfers(spans) > 0) {
      isInjected = true;
      injectFault(last);
    } else simulation.clock.after(TRANSFER_CHECK_INTERVAL_MS, checkForTransfer);
  };
  checkForTransfer();
  return () => assert.ok(isInjected, "a share was transferred and the fault was injected");
};

const crashOwner =
  (role: "source" | "target" | "leader", restartDelayMs: number) =>
  (simulation: Simulation): (() => void) =>
    onFirstTransfer(simulation, (span) => {
      const shard =
        role === "source" ? span.home : span.entries.find((e) => e.shard !== span.home)?.shard;
      const owner = simulation.ownerOf(role === "leader" ? "now/leader" : `now/share/${shard}`);
      simulation.crash(owner, restartDelayMs);
    });

const days: readonly Day[] = [
  { name: "one job of many tasks", seed: 301, bursts: [arrayJob] },
  { name: "many small jobs", seed: 302, bursts: [smallJobs] },
  {
    name: "jobs that fail",
    seed: 303,
    faults: { failures: "always" },
    bursts: [failingJobs, smallJobs],
  },
  {
    name: "bursts of two teams at once",
    seed: 304,
    bursts: [smallJobs, { ...smallJobs, team: "t1" }],
  },
  {
    name: "the owner of the transfer's source shard crashes",
    seed: 305,
    bursts: [smallJobs],
    scheduleFault: crashOwner("source", 9000),
  },
  {
    name: "the owner of the transfer's target shard crashes and restarts at once",
    seed: 306,
    bursts: [smallJobs],
    scheduleFault: crashOwner("target", 200),
  },
  {
    name: "the leader crashes",
    seed: 307,
    bursts: [smallJobs],
    scheduleFault: crashOwner("leader", 6000),
  },
  {
    name: "late writes of spans",
    seed: 308,
    faults: { lateSpanWrites: 0.4 },
    bursts: [smallJobs],
    scheduleFault: (simulation) => () =>
      assert.ok(simulation.occurrences.lateSpanWrites > 0, "span writes were delayed"),
  },
  {
    name: "late writes of spans while the owner of the transfer's source shard crashes",
    seed: 309,
    faults: { lateSpanWrites: 0.4, lateWrites: true },
    bursts: [smallJobs],
    scheduleFault: crashOwner("source", 500),
  },
  {
    name: "the state store refuses the owner of the transfer's source shard",
    seed: 310,
    bursts: [smallJobs],
    scheduleFault: (simulation) =>
      onFirstTransfer(simulation, (span) =>
        simulation.refuse(simulation.ownerOf(`now/share/${span.home}`), 30_000),
      ),
  },
  {
    name: "a wave of spot preemptions",
    seed: 311,
    bursts: [arrayJob, smallJobs],
    scheduleFault: (simulation) => onFirstTransfer(simulation, () => simulation.spotWave(0.6)),
  },
  {
    name: "an outage of the state store",
    seed: 312,
    bursts: [smallJobs],
    scheduleFault: (simulation) => onFirstTransfer(simulation, () => simulation.outage(25_000)),
  },
  {
    name: "crashes, machine failures, lost and late messages",
    seed: 313,
    faults: { lost: 0.02, crashes: true, lateWrites: true, lateSpanWrites: 0.2, deaths: true },
    bursts: [smallJobs, { ...smallJobs, team: "t2" }],
  },
];

for (const { name, seed, faults, bursts, scheduleFault } of days)
  test(`a burst is spread and the protocol rules hold: ${name}`, async () => {
    const simulation = new Simulation(seed, { ...LOAD_SPREAD_ENABLED, ...faults }, SCALE);
    for (const [i, burst] of bursts.entries())
      scheduleBurst(simulation, burst, i === 0 ? FIRST_BURST_ID : SECOND_BURST_ID);
    const checkFaultOccurred = scheduleFault?.(simulation);
    await simulation.day(DAY_JOBS);
    assert.deepEqual(simulation.violations, []);
    assert.deepEqual(simulation.unfinishedJobs, []);
    checkSpans(simulation);
    assert.ok(maxShardCount(spansOf(simulation, "t0")) > 1, "the team's span grew");
    assert.ok(countTransfers(spansOf(simulation, "t0")) > 0, "shares were transferred");
    assert.equal(
      simulation.stored("now/span/t0"),
      undefined,
      "the span shrank back to its home shard",
    );
    checkFaultOccurred?.();
  });

test("cancellations of a spread burst hold while controllers crash", async () => {
  const simulation = new Simulation(
    321,
    { ...LOAD_SPREAD_ENABLED, crashes: true, cancelAtOnce: true, lateHeartbeatCopies: true },
    SCALE,
  );
  const ids = scheduleBurst(simulation, { ...smallJobs, cancelAfterMs: 12_000 }, FIRST_BURST_ID);
  await simulation.day(DAY_JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.ok(
    ids.some((id) => simulation.jobs.get(id)?.finalState === "cancelled"),
    "some jobs were cancelled before they were done",
  );
  assert.ok(simulation.occurrences.cancelledAtOnce > 0);
  assert.ok(maxShardCount(spansOf(simulation, "t0")) > 1, "the team's span grew");
  checkSpans(simulation);
});

/** Stored values that are not a valid span of a team whose home is shard 0. */
const invalidSpans: readonly (readonly [string, unknown])[] = [
  ["of another format version", { f: 9 }],
  [
    "whose shares sum to more than the full share",
    {
      f: 1,
      h: 0,
      e: [
        [0, 0, FULL_SHARE, FULL_SHARE, FULL_SHARE],
        [1, 0, FULL_SHARE, 0, 0],
      ],
    },
  ],
  ["with another home shard", { f: 1, h: 2, e: [[2, 0, FULL_SHARE, FULL_SHARE, FULL_SHARE]] }],
  ["that is not a map", "none"],
];
for (const [name, value] of invalidSpans)
  test(`a stored span ${name} is replaced and does not raise the team's limit`, async () => {
    const simulation = new Simulation(322, LOAD_SPREAD_ENABLED, SCALE);
    scheduleBurst(simulation, { ...smallJobs, jobs: 150, withinMs: 20_000 }, FIRST_BURST_ID);
    // During the burst, while other shards hold shares and run attempts.
    simulation.clock.after(45_000, () => void simulation.overwriteRecord("now/span/t0", value));
    simulation.clock.after(60_000, () => void simulation.overwriteRecord("now/span/t1", value));
    await simulation.day(DAY_JOBS);
    assert.deepEqual(simulation.violations, []);
    assert.deepEqual(simulation.unfinishedJobs, []);
    const written = simulation.spans.filter((s) => s.team === "t0" && s.at >= 45_000);
    assert.deepEqual(written[0]?.value, value);
    const replaced = parseSpan(written[1]?.value, SCALE.controllers);
    assert.ok(replaced !== undefined && replaced.home === 0);
    assert.ok(replaced.entries.length > 1, "shards with running attempts keep their shares");
    assert.equal(simulation.stored("now/span/t0"), undefined);
    assert.equal(simulation.stored("now/span/t1"), undefined);
  });

test("spans shrink when load spreading is disabled, and grow when it is enabled again", async () => {
  const simulation = new Simulation(323, LOAD_SPREAD_ENABLED, SCALE);
  scheduleBurst(simulation, smallJobs, FIRST_BURST_ID);
  scheduleBurst(simulation, { ...smallJobs, atMs: 155_000, jobs: 60 }, SECOND_BURST_ID);
  const { loadSpread } = simulation.packages;
  const restart = (enabled: boolean): void => {
    simulation.packages = { loadSpread: { ...loadSpread, enabled } };
    for (let index = 0; index < SCALE.controllers; index++) simulation.crash(index, 500);
  };
  let shardCountWhenDisabled = 0;
  let hasShrunk = false;
  simulation.clock.after(40_000, () => {
    shardCountWhenDisabled = maxShardCount(spansOf(simulation, "t0").slice(-1));
    restart(false);
  });
  simulation.clock.after(150_000, () => {
    hasShrunk = simulation.stored("now/span/t0") === undefined;
    restart(true);
  });
  await simulation.day(DAY_JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.deepEqual(simulation.unfinishedJobs, []);
  assert.ok(shardCountWhenDisabled > 1, "the span had grown before load spreading was disabled");
  assert.ok(hasShrunk, "the span shrank to its home shard while load spreading was disabled");
  const writesOfSecondBurst = simulation.spans.filter((s) => s.team === "t0" && s.at > 155_000);
  assert.ok(writesOfSecondBurst.length > 0, "the span grew again");
});

test("a burst changes spans a bounded number of times", async () => {
  const simulation = new Simulation(324, LOAD_SPREAD_ENABLED, SCALE);
  scheduleBurst(simulation, { ...smallJobs, jobs: 200 }, FIRST_BURST_ID);
  await simulation.day(DAY_JOBS);
  assert.deepEqual(simulation.violations, []);
  const lastWriteAt = Math.max(...simulation.spans.map((s) => s.at));
  const perSecond = simulation.spans.length / ((lastWriteAt - BURST_START_MS) / 1000);
  assert.ok(simulation.spans.length > 0 && perSecond < 1, `${perSecond} span writes per second`);
});

test("load spreading writes no span and runs no periodic task while it is disabled", async () => {
  const simulation = new Simulation(325, NO_FAULTS, SCALE);
  scheduleBurst(simulation, smallJobs, FIRST_BURST_ID);
  await simulation.day(DAY_JOBS);
  assert.deepEqual(simulation.violations, []);
  assert.equal(simulation.spans.length, 0);
  assert.equal(simulation.taskNames.has("load-spread"), false);
  assert.ok(simulation.taskNames.has("fleet"), "other tasks run");
});
