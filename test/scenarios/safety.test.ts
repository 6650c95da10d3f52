/**
 * Simulated days with single and combined faults. The protocol rules must hold on each day, and
 * each rule's check must detect a violation when the safeguard behind the rule is disabled.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { type DisabledSafeguard, type FaultScenario, NO_FAULTS } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const days: readonly (readonly [string, number, FaultScenario])[] = [
  ["no faults", 1, NO_FAULTS],
  ["lost and late messages", 2, { ...NO_FAULTS, lost: 0.03 }],
  ["controllers crash", 3, { ...NO_FAULTS, crashes: true }],
  ["outages of the state store and the cloud", 4, { ...NO_FAULTS, outages: true }],
  ["machines fail and hang", 5, { ...NO_FAULTS, lost: 0.01, deaths: true }],
  [
    "lost messages, crashes, outages and machine failures",
    6,
    { lost: 0.02, crashes: true, outages: true, deaths: true },
  ],
  [
    "more lost messages, crashes, outages and machine failures",
    7,
    { lost: 0.03, crashes: true, outages: true, deaths: true },
  ],
  ["machines send heartbeats but receive no calls", 8, { ...NO_FAULTS, oneWayMachines: true }],
  [
    "late copies of heartbeats",
    9,
    { ...NO_FAULTS, lost: 0.01, lateHeartbeatCopies: true, crashes: true },
  ],
  [
    "a controller that can't reach the state store and its peers",
    10,
    { ...NO_FAULTS, controllerCut: true },
  ],
  ["the state store refuses one controller", 11, { ...NO_FAULTS, controllerRefused: true }],
  ["a controller that reaches no worker", 12, { ...NO_FAULTS, workersUnreachable: true }],
  [
    "controllers crash right after elections",
    13,
    { ...NO_FAULTS, crashesAfterElections: true, crashes: true },
  ],
  [
    "machines that receive no calls, late heartbeat copies, crashes, spot preemptions and outages",
    14,
    {
      ...NO_FAULTS,
      oneWayMachines: true,
      lateHeartbeatCopies: true,
      crashes: true,
      spotWave: true,
      outages: true,
    },
  ],
  [
    "an isolated controller, refused peer connections and machine failures",
    15,
    {
      ...NO_FAULTS,
      lost: 0.01,
      controllerCut: true,
      peersRefuse: true,
      deaths: true,
      lateHeartbeatCopies: true,
    },
  ],
  [
    "a controller refused by the state store, crashes after elections and spot preemptions",
    16,
    {
      ...NO_FAULTS,
      controllerRefused: true,
      crashesAfterElections: true,
      spotWave: true,
      oneWayMachines: true,
    },
  ],
  ["process pauses longer than all leases", 17, { ...NO_FAULTS, processPauses: true }],
  [
    "all controllers are isolated for two lease terms",
    18,
    { ...NO_FAULTS, allControllersCut: true },
  ],
  ["all controllers restart at once, twice", 19, { ...NO_FAULTS, restarts: true }],
  [
    "machines hang for longer than their lease and resume",
    20,
    { ...NO_FAULTS, hangs: true, lost: 0.01 },
  ],
  [
    "requests that were already executed arrive again",
    21,
    { ...NO_FAULTS, repeatedRequests: true, crashes: true, lost: 0.02 },
  ],
  [
    "process pauses, hangs, crashes, late heartbeat copies and repeated requests",
    22,
    {
      ...NO_FAULTS,
      lost: 0.02,
      processPauses: true,
      hangs: true,
      crashes: true,
      lateHeartbeatCopies: true,
      repeatedRequests: true,
    },
  ],
  [
    "all controllers isolated, restarts, machine failures and spot preemptions",
    23,
    {
      ...NO_FAULTS,
      lost: 0.01,
      allControllersCut: true,
      restarts: true,
      deaths: true,
      spotWave: true,
      repeatedRequests: true,
    },
  ],
  [
    "a controller without workers, process pauses, crashes after elections, spot preemptions",
    24,
    {
      ...NO_FAULTS,
      workersUnreachable: true,
      processPauses: true,
      crashesAfterElections: true,
      spotWave: true,
      oneWayMachines: true,
    },
  ],
];

for (const [name, seed, scenario] of days)
  test(`the protocol rules hold on a simulated day: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    assert.ok(simulation.starts.length > 0, "some task started");
    for (const [id, job] of simulation.jobs) {
      assert.ok(job.accepted, `${id} was accepted`);
      assert.ok(job.finalState !== null, `${id} ends`);
    }
  });

const MANY_FAULTS: FaultScenario = {
  lost: 0.08,
  crashes: true,
  outages: true,
  deaths: true,
  oneWayMachines: true,
  lateHeartbeatCopies: true,
  spotWave: true,
  crashesAfterElections: true,
};

/**
 * Proves that each rule's check can fail: with the safeguard disabled, one of the listed rules is
 * violated within `MAX_DAYS` days of different seeds.
 */
const safeguards: readonly (readonly [DisabledSafeguard, FaultScenario, readonly string[]])[] = [
  // Transaction conditions keep two owners from starting the same task, and a job from ending
  // twice.
  ["conditions", MANY_FAULTS, ["ran_twice", "went_back", "quota"]],
  // Fencing tokens keep an earlier owner's late command from being executed.
  [
    "fencing_tokens",
    { ...NO_FAULTS, lost: 0.15, crashes: true, crashesAfterElections: true },
    ["ran_twice", "quota"],
  ],
  // The cloud's answer that a machine is gone is termination evidence for the machine's attempts.
  ["cloud_returns", MANY_FAULTS, ["ran_twice", "quota"]],
  // Only its final record shows that a job has ended.
  ["final_records", NO_FAULTS, ["forgotten"]],
  ["no_service", NO_FAULTS, ["unserved"]],
  // Cancellations are confirmed but not executed.
  ["cancellations", NO_FAULTS, ["ran_cancelled", "went_back"]],
];
const MAX_DAYS = 16;

for (const [safeguard, scenario, rules] of safeguards)
  test(`the checks detect a disabled safeguard: ${safeguard}`, async () => {
    const violatedRules = new Set<string>();
    for (let seed = 1; seed <= MAX_DAYS && !rules.some((rule) => violatedRules.has(rule)); seed++) {
      const simulation = new Simulation(seed, scenario, undefined, safeguard);
      await simulation.day(25);
      for (const violation of simulation.violations)
        violatedRules.add(violation.split(" ")[0] as string);
    }
    assert.ok(
      rules.some((rule) => violatedRules.has(rule)),
      `one of ${rules} is among ${[...violatedRules]}`,
    );
  });

/**
 * Writes to the state store limit the throughput of a large cluster: five controllers share 30
 * writes per second at 86 starts per second. The bounds are on counts, which do not depend on the
 * speed of the machine that runs the test.
 */
test("at a few hundred machines writes and calls follow what starts, not what is there", async () => {
  const simulation = new Simulation(21, NO_FAULTS, {
    controllers: 5,
    machines: 200,
    quotaCpus: 2000,
    maxTasks: 120,
  });
  await simulation.day(28);
  assert.deepEqual(simulation.violations, []);
  const starts = simulation.starts.length;
  assert.ok(starts > 1000, `${starts} starts`);
  // Writes are due for each task's start and end, each job's acceptance and end, and machines that
  // come and go. Starts and ends of several tasks share a page, and so one write.
  assert.ok(
    simulation.writes < 2 * starts,
    `${simulation.writes} changes written for ${starts} starts`,
  );
  assert.ok(simulation.calls.workers < 6 * starts, `${simulation.calls.workers} calls of workers`);
});
