/**
 * Simulated days on which several faults overlap. Each test also asserts that the overlap occurred,
 * so that a day on which the faults miss each other can't pass unnoticed.
 */
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
const DAY_JOBS = 14;
const MAX_FAILED_STARTS = 200;

const outagesAfterRefusal: readonly (readonly [string, number, StoreOutageAfterRefusal])[] = [
  ["without other faults", 31, {}],
  ["confirmed by a status query", 33, { confirmedBy: "question" }],
  ["confirmed by a repeated submission", 33, { confirmedBy: "repeat" }],
  ["the old leader can't reach its peers", 36, { peersCut: true }],
  ["the confirming controllers crash", 34, { confirmersCrash: true }],
  ["the old leader crashes and restarts within a second", 36, { oldLeaderCrashes: true }],
  ["on machines that hang", 37, { machineFault: "hang" }],
  ["on machines that receive no calls", 38, { machineFault: "deaf" }],
  ["on machines whose heartbeats are lost", 39, { machineFault: "mute" }],
  ["machines hang, the cloud has an outage", 40, { machineFault: "hang", cloudOutage: true }],
  [
    "machines hang, the old leader crashes and restarts within a second",
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
    await simulation.day(DAY_JOBS);
    assert.deepEqual(simulation.violations, []);
    // An owner that can't reach its peers can't acknowledge a cancellation notice, so no user gets
    // a confirmation before the cancellation is recorded.
    if (storeOutageAfterRefusal.peersCut === true)
      assert.equal(simulation.occurrences.confirmedForRefusedOwner, 0);
    else
      assert.ok(
        simulation.occurrences.confirmedForRefusedOwner > 0,
        "some cancellations were confirmed for the refused owner's shard",
      );
    if (storeOutageAfterRefusal.machineFault !== undefined)
      assert.ok(simulation.occurrences.faultyMachines > 0, "machines were faulty");
    // As long as no controller crashes, the outage must not stop the tasks of uncancelled jobs.
    if (
      storeOutageAfterRefusal.machineFault === undefined &&
      storeOutageAfterRefusal.oldLeaderCrashes !== true &&
      storeOutageAfterRefusal.confirmersCrash !== true
    )
      assert.equal(simulation.occurrences.lostRuns, 0);
  });

type Occurrence = keyof Simulation["occurrences"];
const overlappingFaultDays: readonly (readonly [string, number, FaultScenario, Occurrence])[] = [
  ["late writes and crashes", 61, { ...NO_FAULTS, lateWrites: true, crashes: true }, "lateWrites"],
  [
    "late writes, late heartbeat copies, repeated requests and crashes after elections",
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
  ["machines whose heartbeats are lost", 63, { ...NO_FAULTS, mutedMachines: true }, "muted"],
  [
    "machines with lost heartbeats or lost calls, crashes and late heartbeat copies",
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
    "cancellations, status queries and repeated submissions as a job ends",
    67,
    { ...NO_FAULTS, cancelAtEnd: true },
    "cancelledAtEnd",
  ],
  [
    "requests as a job ends, late writes and lost messages",
    68,
    { ...NO_FAULTS, cancelAtEnd: true, lateWrites: true, lost: 0.03 },
    "cancelledAtEnd",
  ],
  [
    "invalid and repeated user requests, and crashes",
    69,
    { ...NO_FAULTS, oddRequests: true, crashes: true },
    "oddRequests",
  ],
  [
    "the leader crashes ten times in two minutes, during an outage too",
    70,
    { ...NO_FAULTS, leaderCrashes: true },
    "leaderCrashes",
  ],
  [
    "ten leader crashes, machines that receive no calls, late writes, many cancellations at once",
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
    "all controllers are down for longer than a lease",
    72,
    { ...NO_FAULTS, allControllersAway: true },
    "allControllersAway",
  ],
  [
    "all controllers are down, late heartbeat copies, machines hang",
    73,
    { ...NO_FAULTS, allControllersAway: true, lateHeartbeatCopies: true, hangs: true },
    "allControllersAway",
  ],
  [
    "a network partition cuts off a zone and one controller",
    74,
    { ...NO_FAULTS, zoneCut: true, cancelAtOnce: true },
    "zoneCuts",
  ],
  [
    "a controller refused by the state store, unreachable machines, many cancellations at once",
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
    "jobs restricted to zones lose machines",
    76,
    { ...NO_FAULTS, zoneBound: true, spotWave: true, deaths: true, crashes: true },
    "zoneBoundStarts",
  ],
  [
    "slow image transfers, many cancellations at once, crashes",
    77,
    { ...NO_FAULTS, slowLinks: true, cancelAtOnce: true, crashes: true, zoneBound: true },
    "zoneBoundStarts",
  ],
  // Guards against `went_back`: a controller answered, after a pause, with what it had read before.
  [
    "requests to controllers that pause while the jobs are cancelled elsewhere",
    78,
    { ...NO_FAULTS, requestsDuringPauses: true },
    "requestsDuringPauses",
  ],
  [
    "requests to controllers that pause, late writes and lost messages",
    79,
    { ...NO_FAULTS, requestsDuringPauses: true, lateWrites: true, lost: 0.02 },
    "requestsDuringPauses",
  ],
];
for (const [name, seed, scenario, occurrence] of overlappingFaultDays)
  test(`the protocol rules hold and all jobs end under overlapping faults: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    assert.ok(simulation.occurrences[occurrence] > 0, `${occurrence} occurred`);
    for (const [id, job] of simulation.jobs) assert.ok(job.finalState !== null, `${id} ends`);
  });

test("tasks longer than a lease run on machines whose heartbeats arrive", async () => {
  // A task on a machine whose heartbeats are lost is stopped when its lease expires, so a task
  // longer than a lease never ends there. With ShardState.isHeartbeatOverdue always false, 35
  // starts go to such machines on this day.
  const simulation = new Simulation(
    82,
    { ...NO_FAULTS, mutedForGood: true },
    { ...LARGE, machines: 12 },
  );
  await simulation.day(10);
  assert.deepEqual(simulation.violations, []);
  assert.ok(simulation.occurrences.muted > 0, "some machines' heartbeats are lost");
  const unfinished = [...simulation.jobs].filter(
    ([, job]) => job.cancelRequestedAt === null && job.finalState === null,
  );
  assert.deepEqual(unfinished, []);
  assert.ok(
    simulation.occurrences.startsOnMutedMachines <= simulation.occurrences.muted,
    `${simulation.occurrences.startsOnMutedMachines} starts on machines with lost heartbeats`,
  );
});

test("a task that failed on the only machine is started on it again", async () => {
  // Placement avoids machines on which a task failed. The task would wait forever if placement did
  // not fall back to such machines, or if the fencing token were not raised for the ended attempt
  // that the worker still reports.
  const simulation = new Simulation(
    91,
    { ...NO_FAULTS, failures: "first" },
    { ...LARGE, machines: 1, maxTasks: 2 },
  );
  await simulation.day(1);
  assert.deepEqual(simulation.violations, []);
  for (const [id, job] of simulation.jobs) assert.ok(job.finalState !== null, `${id} ends`);
});

test("failing jobs start a bounded number of times and don't block other jobs", async () => {
  const simulation = new Simulation(
    92,
    { ...NO_FAULTS, failures: "always" },
    { ...LARGE, machines: 8, maxTasks: 12 },
  );
  await simulation.day(18);
  assert.deepEqual(simulation.violations, []);
  for (const [id, job] of simulation.jobs)
    assert.ok(simulation.hasMistake(id) || job.finalState !== null, `${id} ends`);
  assert.ok(simulation.occurrences.failedStarts > 0, "some starts fail");
  assert.ok(
    simulation.occurrences.failedStarts < MAX_FAILED_STARTS,
    `${simulation.occurrences.failedStarts} failed starts`,
  );
});

/** Without either safeguard, tasks of cancelled jobs run after the cancellation was confirmed. */
const safeguards: readonly (readonly [DisabledSafeguard, StoreOutageAfterRefusal])[] = [
  ["cancellation_notices", {}],
  ["forced_returns", { machineFault: "hang" }],
];
for (const [safeguard, storeOutageAfterRefusal] of safeguards)
  test(`without ${safeguard} a store outage after refusal violates ran_cancelled`, async () => {
    const simulation = new Simulation(
      31,
      { ...NO_FAULTS, storeOutageAfterRefusal },
      LARGE,
      safeguard,
    );
    await simulation.day(DAY_JOBS);
    assert.ok(
      simulation.violations.some((violation) => violation.startsWith("ran_cancelled")),
      `${simulation.violations}`,
    );
  });
