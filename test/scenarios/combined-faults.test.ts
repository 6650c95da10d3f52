/** Days on which two faults or more meet. Each asserts that the meeting came about. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  type DisabledSafeguard,
  type FaultScenario,
  NO_FAULTS,
  type SimulationScale,
  type StoreOutageAfterRefusal,
} from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const LARGE: SimulationScale = { controllers: 3, machines: 40, quotaCpus: 160, maxTasks: 6 };
const JOBS = 14;
const MAX_FAILED_STARTS = 200;

const outagesAfterRefusal: readonly (readonly [string, number, StoreOutageAfterRefusal])[] = [
  ["without other faults", 31, {}],
  ["confirmed by a question", 33, { confirmedBy: "question" }],
  ["confirmed by a repeated submission", 33, { confirmedBy: "repeat" }],
  ["the old leader is cut from its peers", 36, { peersCut: true }],
  ["the confirming controllers crash", 34, { confirmersCrash: true }],
  ["the old leader crashes and is back within a second", 36, { oldLeaderCrashes: true }],
  ["on machines that hang", 37, { machineFault: "hang" }],
  ["on deaf machines", 38, { machineFault: "deaf" }],
  ["on muted machines", 39, { machineFault: "mute" }],
  ["machines hang, the cloud is out for a while", 40, { machineFault: "hang", cloudOutage: true }],
  [
    "machines hang, the old leader crashes and is back within a second",
    41,
    { machineFault: "hang", oldLeaderCrashes: true },
  ],
  [
    "machines hang, the confirming controllers crash",
    42,
    { machineFault: "hang", confirmersCrash: true },
  ],
];

for (const [name, seed, storeOutageAfterRefusal] of outagesAfterRefusal)
  test(`confirmed cancellations hold through a store outage after refusal: ${name}`, async () => {
    const simulation = new Simulation(seed, { ...NO_FAULTS, storeOutageAfterRefusal }, LARGE);
    await simulation.day(JOBS);
    assert.deepEqual(simulation.violations, []);
    // Cut from the others, the owner can't acknowledge a cancellation notice, and no user gets a
    // confirmation before the cancellation is recorded.
    if (storeOutageAfterRefusal.peersCut === true)
      assert.equal(simulation.occurrences.confirmedForRefusedOwner, 0);
    else
      assert.ok(
        simulation.occurrences.confirmedForRefusedOwner > 0,
        "some were confirmed for the refused owner's shard",
      );
    if (storeOutageAfterRefusal.machineFault !== undefined)
      assert.ok(simulation.occurrences.faultyMachines > 0, "machines were faulty");
    // While all controllers are alive, no job that nobody cancelled loses work to the outage.
    if (
      storeOutageAfterRefusal.machineFault === undefined &&
      storeOutageAfterRefusal.oldLeaderCrashes !== true &&
      storeOutageAfterRefusal.confirmersCrash !== true
    )
      assert.equal(simulation.occurrences.lostRuns, 0);
  });

type Occurrence = keyof Simulation["occurrences"];
const meetings: readonly (readonly [string, number, FaultScenario, Occurrence])[] = [
  [
    "late writes beside crashes",
    61,
    { ...NO_FAULTS, lateWrites: true, crashes: true },
    "lateWrites",
  ],
  [
    "late writes, late copies and repeats beside elections",
    62,
    {
      ...NO_FAULTS,
      lateWrites: true,
      lateHeartbeatCopies: true,
      repeatedRequests: true,
      crashesAfterElections: true,
    },
    "lateWrites",
  ],
  ["muted machines", 63, { ...NO_FAULTS, mutedMachines: true }, "muted"],
  [
    "muted and deaf machines beside crashes and late copies",
    64,
    {
      ...NO_FAULTS,
      mutedMachines: true,
      oneWayMachines: true,
      crashes: true,
      lateHeartbeatCopies: true,
    },
    "muted",
  ],
  [
    "many cancellations at once, machines hang",
    65,
    { ...NO_FAULTS, cancelAtOnce: true },
    "cancelledAtOnce",
  ],
  [
    "many cancellations at once, machines hang, outages and crashes",
    66,
    { ...NO_FAULTS, cancelAtOnce: true, outages: true, crashes: true },
    "cancelledAtOnce",
  ],
  [
    "cancellations, questions and repeated submissions at a job's end",
    67,
    { ...NO_FAULTS, cancelAtEnd: true },
    "cancelledAtEnd",
  ],
  [
    "the same with late writes and lost messages",
    68,
    { ...NO_FAULTS, cancelAtEnd: true, lateWrites: true, lost: 0.03 },
    "cancelledAtEnd",
  ],
  [
    "odd requests beside crashes",
    69,
    { ...NO_FAULTS, oddRequests: true, crashes: true },
    "oddRequests",
  ],
  [
    "the leader crashes ten times in two minutes, an outage",
    70,
    { ...NO_FAULTS, leaderCrashes: true },
    "leaderCrashes",
  ],
  [
    "ten leader crashes, one-way machines, late writes, cancellations at once",
    71,
    {
      ...NO_FAULTS,
      leaderCrashes: true,
      oneWayMachines: true,
      lateWrites: true,
      cancelAtOnce: true,
    },
    "leaderCrashes",
  ],
  [
    "all controllers away for longer than a lease",
    72,
    { ...NO_FAULTS, allControllersAway: true },
    "allControllersAway",
  ],
  [
    "all controllers away, late copies, machines hang",
    73,
    { ...NO_FAULTS, allControllersAway: true, lateHeartbeatCopies: true, hangs: true },
    "allControllersAway",
  ],
  [
    "a zone with a controller cut off",
    74,
    { ...NO_FAULTS, zoneCut: true, cancelAtOnce: true },
    "zoneCuts",
  ],
  [
    "a refused controller, machines out of reach, cancellations at once",
    75,
    {
      ...NO_FAULTS,
      controllerRefused: true,
      mutedMachines: true,
      cancelAtOnce: true,
      oneWayMachines: true,
    },
    "cancelledAtOnce",
  ],
  [
    "jobs bound to zones lose machines",
    76,
    { ...NO_FAULTS, zoneBound: true, spotWave: true, deaths: true, crashes: true },
    "zoneBoundStarts",
  ],
  [
    "slow links, cancellations at once, crashes",
    77,
    { ...NO_FAULTS, slowLinks: true, cancelAtOnce: true, crashes: true, zoneBound: true },
    "zoneBoundStarts",
  ],
];
for (const [name, seed, scenario, occurrence] of meetings)
  test(`the rules hold and all jobs end where faults meet: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    assert.ok(simulation.occurrences[occurrence] > 0, "the meeting came about");
    for (const [id, job] of simulation.jobs)
      assert.ok(job.finalState !== null, `${id} comes to its end`);
  });

test("tasks longer than a lease end on other machines than those whose heartbeats don't arrive", async () => {
  // With ShardState.isHeartbeatOverdue always false 35 starts go to muted machines on this day, each to end with a lease.
  const simulation = new Simulation(
    82,
    { ...NO_FAULTS, mutedForGood: true },
    { ...LARGE, machines: 12 },
  );
  await simulation.day(10);
  assert.deepEqual(simulation.violations, []);
  assert.ok(simulation.occurrences.muted > 0, "machines are mute");
  const late = [...simulation.jobs].filter(
    ([, job]) => job.cancelRequestedAt === null && job.finalState === null,
  );
  assert.deepEqual(late, []);
  assert.ok(
    simulation.occurrences.startsOnMutedMachines <= simulation.occurrences.muted,
    `${simulation.occurrences.startsOnMutedMachines} starts on muted machines`,
  );
});

test("a task that failed on the only machine there is starts there again", async () => {
  // Without the placement's fallback to machines where it failed, or without raising the fencing
  // token for the ended attempt that the worker still reports, it waits for ever.
  const simulation = new Simulation(
    91,
    { ...NO_FAULTS, failures: "first" },
    { ...LARGE, machines: 1, maxTasks: 2 },
  );
  await simulation.day(1);
  assert.deepEqual(simulation.violations, []);
  for (const [id, job] of simulation.jobs)
    assert.ok(job.finalState !== null, `${id} comes to its end`);
});

test("jobs whose tasks always fail start a bounded number of times and hold up no other", async () => {
  const simulation = new Simulation(
    92,
    { ...NO_FAULTS, failures: "always" },
    { ...LARGE, machines: 8, maxTasks: 12 },
  );
  await simulation.day(18);
  assert.deepEqual(simulation.violations, []);
  for (const [id, job] of simulation.jobs)
    assert.ok(simulation.hasMistake(id) || job.finalState !== null, `${id} ends`);
  assert.ok(simulation.occurrences.failedStarts > 0, "some fail");
  assert.ok(
    simulation.occurrences.failedStarts < MAX_FAILED_STARTS,
    `${simulation.occurrences.failedStarts} starts that fail`,
  );
});

const safeguards: readonly (readonly [DisabledSafeguard, StoreOutageAfterRefusal])[] = [
  ["cancellation_notices", {}],
  ["forced_returns", { machineFault: "hang" }],
];
for (const [safeguard, storeOutageAfterRefusal] of safeguards)
  test(`without its safeguard a store outage after refusal is noticed as ran_cancelled: ${safeguard}`, async () => {
    const simulation = new Simulation(
      31,
      { ...NO_FAULTS, storeOutageAfterRefusal },
      LARGE,
      safeguard,
    );
    await simulation.day(JOBS);
    assert.ok(
      simulation.violations.some((violation) => violation.startsWith("ran_cancelled")),
      `${simulation.violations}`,
    );
  });
