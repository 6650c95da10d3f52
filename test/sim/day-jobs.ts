/** The jobs that users submit over a simulated day; all are drawn before the day starts. */
import type { SimulationContext } from "./context.js";
import type { Body } from "./fakes/message.js";
import type { FaultScenario } from "./faults.js";
import { smallJob } from "./job-spec.js";
import { FLOOD_TEAM, TEAMS } from "./settings.js";
import { jobIdOf } from "./task-names.js";
import type { SimulatedUsers } from "./users.js";

const FIRST_SUBMISSION_MS = 2000;
const LAST_SUBMISSION_MS = 100_000;
/** In scenarios with long tasks, all jobs are submitted early. */
const LAST_SUBMISSION_WITH_LONG_TASKS_MS = 20_000;
const CANCELLED_FRACTION = 0.3;
const MIN_CANCEL_DELAY_MS = 500;
const MAX_CANCEL_DELAY_MS = 30_000;
/** The flood team's jobs: one array job with many tasks, then jobs of one task, four a second. */
const FLOOD_SMALL_JOB_COUNT = 120;
const FLOOD_INTERVAL_MS = 250;
const FLOOD_ARRAY_TASKS = 400;
const FLOOD_START_MS = 20_000;
const FLOOD_JOBS_PER_CANCELLATION = 4;
const MAX_FLOOD_CANCEL_DELAY_MS = 10_000;

/** A submission with random requirements, drawn in the order in which the fields are written. */
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

/** Requires one zone for all tasks, a named zone, or a spread across zones. */
const addZoneConstraints = ({ clock }: SimulationContext, spec: Body): void => {
  const kind = clock.random();
  spec.oneZone = kind < 0.35;
  if (kind > 0.25 && kind < 0.5) spec.mill = clock.random() < 0.5 ? "a" : "b";
  if (kind >= 0.5) spec.apart = true;
};

const hasLongTasks = (scenario: FaultScenario): boolean =>
  scenario.storeOutageAfterRefusal !== undefined || scenario.mutedForGood === true;

/** Schedules the regular jobs of the day, numbered from one. */
export const scheduleDayJobs = (
  context: SimulationContext,
  users: SimulatedUsers,
  jobs: number,
): void => {
  const { clock, scenario } = context;
  const lastMs = hasLongTasks(scenario) ? LAST_SUBMISSION_WITH_LONG_TASKS_MS : LAST_SUBMISSION_MS;
  for (let i = 0; i < jobs; i++) {
    const id = jobIdOf(i + 1);
    const spec = randomSpec(context, id);
    const drawnCancelMs =
      clock.random() < CANCELLED_FRACTION
        ? clock.between(MIN_CANCEL_DELAY_MS, MAX_CANCEL_DELAY_MS)
        : null;
    if (scenario.zoneBound === true) addZoneConstraints(context, spec);
    // With `storeOutageAfterRefusal`, the fault injection chooses which jobs are cancelled.
    const cancelAfterMs = scenario.storeOutageAfterRefusal === undefined ? drawnCancelMs : null;
    clock.after(
      clock.between(FIRST_SUBMISSION_MS, lastMs),
      () => void users.submitAndPoll(id, spec, cancelAfterMs),
    );
  }
};

/** Schedules the flood team's jobs: first one huge array job, then many tiny jobs. */
export const scheduleTeamFlood = (
  { clock, occurrences }: SimulationContext,
  users: SimulatedUsers,
  firstNumber: number,
): void => {
  for (let i = 0; i <= FLOOD_SMALL_JOB_COUNT; i++) {
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
      i > 0 && i % FLOOD_JOBS_PER_CANCELLATION === 0
        ? clock.between(MIN_CANCEL_DELAY_MS, MAX_FLOOD_CANCEL_DELAY_MS)
        : null;
    occurrences.floodTeamJobs++;
    clock.after(
      FLOOD_START_MS + i * FLOOD_INTERVAL_MS,
      () => void users.submitAndPoll(id, spec, cancelAfterMs),
    );
  }
};
