/**
 * Simulated days with faults alone and together: the rules of the protocol hold on each, and each
 * check notices when the safeguard it rests on is switched off.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { type DisabledSafeguard, type FaultScenario, NO_FAULTS } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const days: readonly (readonly [string, number, FaultScenario])[] = [
  ["quiet", 1, NO_FAULTS],
  ["lost and late messages", 2, { ...NO_FAULTS, lost: 0.03 }],
  ["controllers crash", 3, { ...NO_FAULTS, crashes: true }],
  ["outages", 4, { ...NO_FAULTS, outages: true }],
  ["machines die and hang", 5, { ...NO_FAULTS, lost: 0.01, deaths: true }],
  ["all together", 6, { lost: 0.02, crashes: true, outages: true, deaths: true }],
  [
    "all together, with other seed and more losses",
    7,
    { lost: 0.03, crashes: true, outages: true, deaths: true },
  ],
  ["heartbeats arrive, nothing reaches their machines", 8, { ...NO_FAULTS, oneWayMachines: true }],
  [
    "late copies of heartbeats",
    9,
    { ...NO_FAULTS, lost: 0.01, lateHeartbeatCopies: true, crashes: true },
  ],
  [
    "a controller cut from the state store and its peers",
    10,
    { ...NO_FAULTS, controllerCut: true },
  ],
  ["one controller refused by the state store", 11, { ...NO_FAULTS, controllerRefused: true }],
  ["a controller that reaches no worker", 12, { ...NO_FAULTS, workersUnreachable: true }],
  [
    "crashes in the middle of elections",
    13,
    { ...NO_FAULTS, crashesAfterElections: true, crashes: true },
  ],
  [
    "one-way machines and late copies beside crashes, a wave and an outage",
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
    "a cut controller, peers that refuse, deaths",
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
    "a refused controller beside elections and a wave",
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
    "all controllers cut off together for two leases",
    18,
    { ...NO_FAULTS, allControllersCut: true },
  ],
  ["the whole service restarts, twice", 19, { ...NO_FAULTS, restarts: true }],
  ["machines hang beyond their lease and go on", 20, { ...NO_FAULTS, hangs: true, lost: 0.01 }],
  [
    "requests that were carried out come again",
    21,
    { ...NO_FAULTS, repeatedRequests: true, crashes: true, lost: 0.02 },
  ],
  [
    "process pauses beside hangs, crashes, late copies and repeats",
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
    "a cut of all beside restarts, deaths and a wave",
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
    "a controller without workers beside a paused one, elections and a wave",
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
  test(`the rules hold over a simulated day: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    assert.ok(simulation.starts.length > 0, "something ran");
    for (const [id, job] of simulation.jobs) {
      assert.ok(job.accepted, `${id} is accepted`);
      assert.ok(job.finalState !== null, `${id} comes to its end`);
    }
  });

const storm: FaultScenario = {
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
 * Each check must be able to fail: with the safeguard it rests on switched off, its rule is broken
 * on one of a few days at the latest.
 */
const safeguards: readonly (readonly [DisabledSafeguard, FaultScenario, readonly string[]])[] = [
  // Conditions keep two owners from starting the same task, and a job from ending twice.
  ["conditions", storm, ["ran_twice", "went_back", "quota"]],
  // Fencing tokens keep an earlier owner's late command from being executed.
  [
    "fencing_tokens",
    { ...NO_FAULTS, lost: 0.15, crashes: true, crashesAfterElections: true },
    ["ran_twice", "quota"],
  ],
  // The cloud's word that a machine is gone is the evidence that its attempts ended.
  ["cloud_returns", storm, ["ran_twice", "quota"]],
  // A final record is what an ended job is known by.
  ["final_records", NO_FAULTS, ["forgotten"]],
  ["no_service", NO_FAULTS, ["unserved"]],
  // A cancellation that is confirmed and not carried out.
  ["cancellations", NO_FAULTS, ["ran_cancelled", "went_back"]],
];
const MAX_DAYS = 16;

for (const [safeguard, scenario, rules] of safeguards)
  test(`the checks notice a broken guard: ${safeguard}`, async () => {
    const seen = new Set<string>();
    for (let seed = 1; seed <= MAX_DAYS && !rules.some((rule) => seen.has(rule)); seed++) {
      const simulation = new Simulation(seed, scenario, undefined, safeguard);
      await simulation.day(25);
      for (const violation of simulation.violations) seen.add(violation.split(" ")[0] as string);
    }
    assert.ok(
      rules.some((rule) => seen.has(rule)),
      `one of ${rules} is among ${[...seen]}`,
    );
  });

/**
 * Writes are what is scarce at the grown size: 30 a second over five controllers beside 86 starts
 * a second. Bounded by counts, which no machine's speed changes.
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
  // A start and an end of each task, an accept and an end of each job, machines coming and going.
  assert.ok(
    simulation.writes < 2 * starts,
    `${simulation.writes} changes written for ${starts} starts`,
  );
  assert.ok(simulation.calls.workers < 6 * starts, `${simulation.calls.workers} calls of workers`);
});
