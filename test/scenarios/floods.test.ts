/**
 * Simulated days with overload: status queries at a multiple of the usual rate, one team that
 * submits very many jobs, jobs whose tasks always fail, and machines that boot late or never; each
 * alone, in pairs, and together with other faults.
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

/** Factor by which users send more status queries than usual. */
const QUERY_RATE_FACTOR = 20;
const SCALE: SimulationScale = { controllers: 3, machines: 20, quotaCpus: 48, maxTasks: 8 };
/** Least fraction of status queries that must be answered at that rate. */
const MIN_ANSWERED_FRACTION = 0.9;

type Occurrence = keyof Simulation["occurrences"];

const days: readonly (readonly [string, number, FaultScenario, readonly Occurrence[]])[] = [
  [
    "a flood of status queries",
    101,
    { ...NO_FAULTS, questionFlood: QUERY_RATE_FACTOR },
    ["questions"],
  ],
  [
    "a flood of status queries, many cancellations at once and as jobs end",
    102,
    { ...NO_FAULTS, questionFlood: QUERY_RATE_FACTOR, cancelAtOnce: true, cancelAtEnd: true },
    ["questions", "cancelledAtOnce", "cancelledAtEnd"],
  ],
  ["one team submits very many jobs", 103, { ...NO_FAULTS, floodTeam: true }, ["floodTeamJobs"]],
  [
    "one team submits very many jobs; crashes, lost messages and late writes",
    104,
    { ...NO_FAULTS, lost: 0.01, floodTeam: true, crashes: true, lateWrites: true },
    ["floodTeamJobs", "lateWrites"],
  ],
  ["machines boot late or never", 105, { ...NO_FAULTS, lateBoots: true }, ["lateBoots"]],
  [
    "machines boot late or never; process pauses",
    106,
    { ...NO_FAULTS, lateBoots: true, processPauses: true },
    ["lateBoots", "processPauses"],
  ],
  [
    "a flood of status queries and process pauses",
    107,
    { ...NO_FAULTS, questionFlood: QUERY_RATE_FACTOR, processPauses: true },
    ["questions", "processPauses"],
  ],
  [
    "one team submits very many jobs, failing jobs, late boots, machine failures",
    108,
    { ...NO_FAULTS, floodTeam: true, failures: "always", lateBoots: true, deaths: true },
    ["floodTeamJobs", "lateBoots"],
  ],
];

for (const [name, seed, scenario, occurrences] of days)
  test(`the protocol rules hold and all jobs end under overload: ${name}`, async () => {
    const simulation = new Simulation(seed, scenario, SCALE);
    await simulation.day(25);
    assert.deepEqual(simulation.violations, []);
    for (const occurrence of occurrences)
      assert.ok(simulation.occurrences[occurrence] > 0, `${occurrence} occurred`);
    assert.deepEqual(simulation.unfinishedJobs, []);
    assert.deepEqual(simulation.forgottenMachines, []);
    const { questions, answeredQuestions } = simulation.occurrences;
    if (scenario.questionFlood !== undefined && scenario.processPauses !== true)
      assert.ok(
        answeredQuestions >= MIN_ANSWERED_FRACTION * questions,
        `${answeredQuestions} of ${questions} status queries answered`,
      );
  });

const safeguards: readonly (readonly [DisabledSafeguard, FaultScenario])[] = [
  // One comparison request verifies the replica for many status queries. Without comparisons each
  // query costs a read of the state store, whose rate limit then refuses most of them.
  ["comparisons", { ...NO_FAULTS, questionFlood: QUERY_RATE_FACTOR }],
  // Machines that never boot stay rented until the end of the day.
  ["late_returns", { ...NO_FAULTS, lateBoots: true }],
];
for (const [safeguard, scenario] of safeguards)
  test(`overload is detected when its safeguard is disabled: ${safeguard}`, async () => {
    const simulation = new Simulation(105, scenario, SCALE, safeguard);
    await simulation.day(25);
    const { questions, answeredQuestions } = simulation.occurrences;
    const refused = questions > 0 && answeredQuestions < MIN_ANSWERED_FRACTION * questions;
    assert.ok(refused || simulation.forgottenMachines.length > 0);
  });
