import assert from "node:assert/strict";
import test from "node:test";
import type { DisabledSafeguard, FaultScenario } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

const calm: FaultScenario = { lost: 0, crashes: false, outages: false, deaths: false };

const days: readonly (readonly [string, number, FaultScenario])[] = [
  ["quiet", 1, calm],
  ["lost and late messages", 2, { ...calm, lost: 0.03 }],
  ["controllers crash", 3, { ...calm, crashes: true }],
  ["outages", 4, { ...calm, outages: true }],
  ["machines die and hang", 5, { ...calm, lost: 0.01, deaths: true }],
  ["all together", 6, { lost: 0.02, crashes: true, outages: true, deaths: true }],
  ["all together, other luck", 7, { lost: 0.03, crashes: true, outages: true, deaths: true }],
  ["machines report and hear nothing", 8, { ...calm, oneWay: true }],
  ["late copies of reports", 9, { ...calm, lost: 0.01, lateCopies: true, crashes: true }],
  ["a controller cut from store and peers", 10, { ...calm, cut: true }],
  ["one refused by the state service alone", 11, { ...calm, refused: true }],
  ["one without its workers", 12, { ...calm, noWorkers: true }],
  ["ends in the middle of elections", 13, { ...calm, elections: true, crashes: true }],
  [
    "one-way machines and late copies beside crashes, a wave and an outage",
    14,
    { ...calm, oneWay: true, lateCopies: true, crashes: true, wave: true, outages: true },
  ],
  [
    "a cut controller, peers that refuse, deaths",
    15,
    { ...calm, lost: 0.01, cut: true, peersRefuse: true, deaths: true, lateCopies: true },
  ],
  [
    "a refused controller beside elections and a wave",
    16,
    { ...calm, refused: true, elections: true, wave: true, oneWay: true },
  ],
  ["controllers stand still for longer than all leases", 17, { ...calm, freezes: true }],
  ["all controllers cut off together and released", 18, { ...calm, cutTogether: true }],
  ["the whole service restarts, twice", 19, { ...calm, restarts: true }],
  ["machines hang beyond their lease and go on", 20, { ...calm, hangs: true, lost: 0.01 }],
  ["carried out requests come again", 21, { ...calm, repeats: true, crashes: true, lost: 0.02 }],
  [
    "frozen controllers beside hangs, crashes, late copies and repeats",
    22,
    {
      ...calm,
      lost: 0.02,
      freezes: true,
      hangs: true,
      crashes: true,
      lateCopies: true,
      repeats: true,
    },
  ],
  [
    "a cut of all beside restarts, deaths and a wave",
    23,
    {
      ...calm,
      lost: 0.01,
      cutTogether: true,
      restarts: true,
      deaths: true,
      wave: true,
      repeats: true,
    },
  ],
  [
    "without its workers beside a frozen one, elections and a wave",
    24,
    { ...calm, noWorkers: true, freezes: true, elections: true, wave: true, oneWay: true },
  ],
];

for (const [name, seed, trouble] of days)
  test(`the rules hold over a simulated day: ${name}`, async () => {
    const w = new Simulation(seed, trouble);
    await w.day(25);
    assert.deepEqual(w.violations, []);
    assert.ok(w.starts.length > 0, "something ran");
    for (const [id, j] of w.jobs) {
      assert.ok(j.accepted, `${id} is accepted`);
      assert.ok(j.finalState !== null, `${id} comes to its end`);
    }
  });

const storm: FaultScenario = {
  lost: 0.08,
  crashes: true,
  outages: true,
  deaths: true,
  oneWay: true,
  lateCopies: true,
  wave: true,
  elections: true,
};

/**
 * Each check must be able to fail: with the guard it rests on broken, its rule is broken on one
 * of a few days at the latest.
 */
const broken: readonly (readonly [DisabledSafeguard, FaultScenario, readonly string[]])[] = [
  // Conditions keep two holders from starting the same task, and a job from ending twice.
  ["conditions", storm, ["ran_twice", "went_back", "quota"]],
  // Tokens keep an earlier holder's late command from being executed.
  [
    "fencing_tokens",
    { ...calm, lost: 0.15, crashes: true, elections: true },
    ["ran_twice", "quota"],
  ],
  // The cloud's word that a machine is gone closes what stood there.
  ["cloud_returns", storm, ["ran_twice", "quota"]],
  // A final record is what an ended job is known by.
  ["final_records", calm, ["forgotten"]],
  ["no_service", calm, ["unserved"]],
  // A cancel that is told and not carried out.
  ["cancellations", calm, ["ran_cancelled", "went_back"]],
];
const MOST_DAYS = 16;

for (const [guard, trouble, rules] of broken)
  test(`the checks notice a broken guard: ${guard}`, async () => {
    const seen = new Set<string>();
    for (let seed = 1; seed <= MOST_DAYS && !rules.some((r) => seen.has(r)); seed++) {
      const w = new Simulation(seed, trouble, undefined, guard);
      await w.day(25);
      for (const b of w.violations) seen.add(b.split(" ")[0] as string);
    }
    assert.ok(
      rules.some((r) => seen.has(r)),
      `one of ${rules} is among ${[...seen]}`,
    );
  });

/**
 * Writes are what is scarce at the grown size: 30 a second over five controllers beside 86 starts
 * a second. Bounded by counts, which no machine's speed changes.
 */
test("at a few hundred machines writes and calls follow what starts, not what is there", async () => {
  const w = new Simulation(21, calm, { nodes: 5, machines: 200, quota: 2000, tasks: 120 });
  await w.day(28);
  assert.deepEqual(w.violations, []);
  const starts = w.starts.length;
  assert.ok(starts > 1000, `${starts} starts`);
  // A start and an end of each task, an accept and an end of each job, machines coming and going.
  assert.ok(w.writes < 2 * starts, `${w.writes} changes written for ${starts} starts`);
  assert.ok(w.calls.workers < 6 * starts, `${w.calls.workers} calls of workers`);
});
