/** The jobs that users submit over a simulated day, all drawn before it begins. */
import type { SimulationContext } from "./context.js";
import type { Body } from "./fakes/message.js";
import type { FaultScenario } from "./faults.js";
import { smallJob } from "./job-spec.js";
import { FLOOD_TEAM, TEAMS } from "./settings.js";
import { jobIdOf } from "./task-names.js";
import type { SimulatedUsers } from "./users.js";

const FIRST_SUBMISSION_MS = 2000;
const LAST_SUBMISSION_MS = 100_000;
/** On days on which tasks run for long, all are submitted early. */
const LAST_EARLY_SUBMISSION_MS = 20_000;
const CANCELLED_SHARE = 0.3;
const MIN_CANCEL_AFTER_MS = 500;
const MAX_CANCEL_AFTER_MS = 30_000;
/** The flood team's jobs: so many of one task, four a second, and one array of so many tasks. */
const FLOOD_JOBS = 120;
const FLOOD_EVERY_MS = 250;
const FLOOD_ARRAY_TASKS = 400;
const FLOOD_BEGINS_MS = 20_000;
const FLOOD_CANCEL_EVERY = 4;
const MAX_FLOOD_CANCEL_AFTER_MS = 10_000;

/** A submission with random wishes. The fields are drawn in the order in which they stand. */
const randomSpec = ({ clock, scale }: SimulationContext, uid: string): Body => ({
  uid,
  weave: "c",
  crew: TEAMS[Math.floor(clock.random() * TEAMS.length)],
  pattern: "sweep",
  rank: clock.random() < 0.5 ? "high" : "normal",
  threads: 1 + Math.floor(clock.random() * scale.maxTasks),
  cpus: 4,
  gpus: 0,
  ramGb: 10,
  bolt: `img-${Math.floor(clock.random() * 3)}`,
  imageGb: 1,
  oneZone: clock.random() < 0.3,
  apart: false,
  remnant: clock.random() < 0.6,
  expectS: 10,
  knotS: 0,
  spoolS: 0,
});

/** Binds a job to one zone, to a named zone, or spreads it over zones. */
const bindToZones = ({ clock }: SimulationContext, spec: Body): void => {
  const kind = clock.random();
  spec.oneZone = kind < 0.35;
  if (kind > 0.25 && kind < 0.5) spec.mill = clock.random() < 0.5 ? "a" : "b";
  if (kind >= 0.5) spec.apart = true;
};

const runsForLong = (scenario: FaultScenario): boolean =>
  scenario.storeOutageAfterRefusal !== undefined || scenario.mutedForGood === true;

/** Schedules the day's own jobs, numbered from one. */
export const scheduleDayJobs = (
  context: SimulationContext,
  users: SimulatedUsers,
  jobs: number,
): void => {
  const { clock, scenario } = context;
  const lastMs = runsForLong(scenario) ? LAST_EARLY_SUBMISSION_MS : LAST_SUBMISSION_MS;
  for (let i = 0; i < jobs; i++) {
    const id = jobIdOf(i + 1);
    const spec = randomSpec(context, id);
    const drawnCancelMs =
      clock.random() < CANCELLED_SHARE
        ? clock.between(MIN_CANCEL_AFTER_MS, MAX_CANCEL_AFTER_MS)
        : null;
    if (scenario.zoneBound === true) bindToZones(context, spec);
    // A scenario of confirmed cancellations chooses for itself which jobs are cancelled.
    const cancelAfterMs = scenario.storeOutageAfterRefusal === undefined ? drawnCancelMs : null;
    clock.after(
      clock.between(FIRST_SUBMISSION_MS, lastMs),
      () => void users.submitAndPoll(id, spec, cancelAfterMs),
    );
  }
};

/** Schedules the flood team's jobs: tiny ones in masses, and first of all one huge array. */
export const scheduleTeamFlood = (
  { clock, occurrences }: SimulationContext,
  users: SimulatedUsers,
  firstNumber: number,
): void => {
  for (let i = 0; i <= FLOOD_JOBS; i++) {
    const id = jobIdOf(firstNumber + i);
    const spec = smallJob(id, FLOOD_TEAM, {
      weave: "g",
      rank: "best_effort",
      threads: i === 0 ? FLOOD_ARRAY_TASKS : 1,
      cpus: 0.25,
      ramGb: 0.5,
      bolt: "img-g",
    });
    const cancelAfterMs =
      i > 0 && i % FLOOD_CANCEL_EVERY === 0
        ? clock.between(MIN_CANCEL_AFTER_MS, MAX_FLOOD_CANCEL_AFTER_MS)
        : null;
    occurrences.floodTeamJobs++;
    clock.after(
      FLOOD_BEGINS_MS + i * FLOOD_EVERY_MS,
      () => void users.submitAndPoll(id, spec, cancelAfterMs),
    );
  }
};
