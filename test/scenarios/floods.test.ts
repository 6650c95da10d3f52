import assert from "node:assert/strict";
import test from "node:test";
import type { DisabledSafeguard, FaultScenario, SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/**
 * Days with many times as many questions, a guest team's masses of jobs, jobs with a mistake, and
 * machines that come up late or never: alone, in pairs, and beside other troubles.
 */
const calm: FaultScenario = { lost: 0, crashes: false, outages: false, deaths: false };
const FLOOD = 20;
const SCALE: SimulationScale = { nodes: 3, machines: 20, quota: 48, tasks: 8 };
/** What share of questions must be answered while users ask so often. */
const ANSWERED_PART = 0.9;

type Met = keyof Simulation["occurrences"];

const days: readonly (readonly [string, number, FaultScenario, readonly Met[]])[] = [
  ["a flood of questions", 101, { ...calm, questionFlood: FLOOD }, ["questions"]],
  [
    "a flood of questions while jobs are cancelled at once and at their end",
    102,
    { ...calm, questionFlood: FLOOD, cancelNow: true, cancelAtEnd: true },
    ["questions", "cancelledAtOnce", "cancelledAtEnd"],
  ],
  ["a guest team's masses", 103, { ...calm, floodTeam: true }, ["floodTeamJobs"]],
  [
    "a guest team's masses beside crashes, lost and late writes",
    104,
    { ...calm, lost: 0.01, floodTeam: true, crashes: true, lateWrites: true },
    ["floodTeamJobs", "lateWrites"],
  ],
  ["machines late or never up", 105, { ...calm, lateBoots: true }, ["lateBoots"]],
  [
    "machines late or never up while controllers stand still",
    106,
    { ...calm, lateBoots: true, freezes: true },
    ["lateBoots", "processPauses"],
  ],
  [
    "questions while controllers stand still",
    107,
    { ...calm, questionFlood: FLOOD, freezes: true },
    ["questions", "processPauses"],
  ],
  [
    "a guest team and jobs with a mistake, late boots, deaths",
    108,
    { ...calm, floodTeam: true, failures: "always", lateBoots: true, deaths: true },
    ["floodTeamJobs", "lateBoots"],
  ],
];

const unended = (w: Simulation): readonly string[] =>
  [...w.jobs].filter(([id, j]) => j.finalState === null && !w.hasMistake(id)).map(([id]) => id);

for (const [name, seed, trouble, met] of days)
  test(`the rules hold in floods: ${name}`, async () => {
    const w = new Simulation(seed, trouble, SCALE);
    await w.day(25);
    assert.deepEqual(w.violations, []);
    for (const m of met) assert.ok(w.occurrences[m] > 0, `${m} came about`);
    assert.deepEqual(unended(w), []);
    assert.deepEqual(w.forgottenMachines, []);
    const { questions, answeredQuestions } = w.occurrences;
    if (trouble.questionFlood !== undefined && trouble.freezes !== true)
      assert.ok(
        answeredQuestions >= ANSWERED_PART * questions,
        `${answeredQuestions} of ${questions} answered`,
      );
  });

const guards: readonly (readonly [DisabledSafeguard, FaultScenario])[] = [
  // Without comparisons each question would cost a request, and most of a flood are refused.
  ["comparisons", { ...calm, questionFlood: FLOOD }],
  // Machines that never come up are paid for until the end.
  ["late_returns", { ...calm, lateBoots: true }],
];
for (const [guard, trouble] of guards)
  test(`a flood is noticed without its guard: ${guard}`, async () => {
    const w = new Simulation(105, trouble, SCALE, guard);
    await w.day(25);
    const { questions, answeredQuestions } = w.occurrences;
    const refused = questions > 0 && answeredQuestions < ANSWERED_PART * questions;
    assert.ok(refused || w.forgottenMachines.length > 0);
  });
