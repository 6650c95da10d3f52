/**
 * Days with many times as many questions, a flood team's masses of jobs, jobs with a mistake, and
 * machines that come up late or never: alone, in pairs, and beside other faults.
 */
import assert from "node:assert/strict";
import test from "node:test";
import {
  type DisabledSafeguard,
  type FaultScenario,
  NO_FAULTS,
  type SimulationScale,
} from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/** How many times as often as usual users ask. */
const QUESTION_FLOOD = 20;
const SCALE: SimulationScale = { controllers: 3, machines: 20, quotaCpus: 48, maxTasks: 8 };
/** What share of questions must be answered while users ask so often. */
const MIN_ANSWERED_SHARE = 0.9;

type Occurrence = keyof Simulation["occurrences"];

const days: readonly (readonly [string, number, FaultScenario, readonly Occurrence[]])[] = [
  ["a flood of questions", 101, { ...NO_FAULTS, questionFlood: QUESTION_FLOOD }, ["questions"]],
  [
    "a flood of questions while jobs are cancelled at once and at their end",
    102,
    { ...NO_FAULTS, questionFlood: QUESTION_FLOOD, cancelAtOnce: true, cancelAtEnd: true },
    ["questions", "cancelledAtOnce", "cancelledAtEnd"],
  ],
  ["a team flood", 103, { ...NO_FAULTS, floodTeam: true }, ["floodTeamJobs"]],
  [
    "a team flood beside crashes, lost messages and late writes",
    104,
    { ...NO_FAULTS, lost: 0.01, floodTeam: true, crashes: true, lateWrites: true },
    ["floodTeamJobs", "lateWrites"],
  ],
  ["machines late or never up", 105, { ...NO_FAULTS, lateBoots: true }, ["lateBoots"]],
  [
    "machines late or never up beside process pauses",
    106,
    { ...NO_FAULTS, lateBoots: true, processPauses: true },
    ["lateBoots", "processPauses"],
  ],
  [
    "a flood of questions beside process pauses",
    107,
    { ...NO_FAULTS, questionFlood: QUESTION_FLOOD, processPauses: true },
    ["questions", "processPauses"],
  ],
  [
    "a team flood, jobs with a mistake, late boots, deaths",
    108,
    { ...NO_FAULTS, floodTeam: true, failures: "always", lateBoots: true, deaths: true },
    ["floodTeamJobs", "lateBoots"],
  ],
];

for (const [name, seed, scenario, occurrences] of days)
  test(`the rules hold and all jobs end: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario, SCALE);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    for (const occurrence of occurrences)
      assert.ok(simulation.occurrences[occurrence] > 0, `${occurrence} came about`);
    assert.deepEqual(simulation.unfinishedJobs, []);
    assert.deepEqual(simulation.forgottenMachines, []);
    const { questions, answeredQuestions } = simulation.occurrences;
    if (scenario.questionFlood !== undefined && scenario.processPauses !== true)
      assert.ok(
        answeredQuestions >= MIN_ANSWERED_SHARE * questions,
        `${answeredQuestions} of ${questions} answered`,
      );
  });

const safeguards: readonly (readonly [DisabledSafeguard, FaultScenario])[] = [
  // Without comparisons each question would cost a request, and most of a flood are refused.
  ["comparisons", { ...NO_FAULTS, questionFlood: QUESTION_FLOOD }],
  // Machines that never come up are paid for until the end.
  ["late_returns", { ...NO_FAULTS, lateBoots: true }],
];
for (const [safeguard, scenario] of safeguards)
  test(`a flood is noticed without its safeguard: ${safeguard}`, async () => {
    const simulation = new Simulation(105, scenario, SCALE, safeguard);
    await simulation.day(25);
    const { questions, answeredQuestions } = simulation.occurrences;
    const refused = questions > 0 && answeredQuestions < MIN_ANSWERED_SHARE * questions;
    assert.ok(refused || simulation.forgottenMachines.length > 0);
  });
