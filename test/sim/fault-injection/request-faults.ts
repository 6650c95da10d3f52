/** Faults caused by users: simultaneous cancellations on hanging machines, and invalid requests. */
import type { FakeWorker } from "../fakes/worker.js";
import { sendOddRequest } from "../odd-requests.js";
import type { SimulationComponents } from "../parts.js";
import { CANCELLATION_TIMEOUT_MS } from "../settings.js";
import type { UserJob } from "../user-job.js";

const CANCELLATION_TIMES_MS: readonly number[] = [40_000, 80_000];
const MAX_CANCELLED_JOBS = 5;
const MAX_HANGING_MACHINES = 4;
const FIRST_ODD_REQUEST_MS = 10_000;
const ODD_REQUESTS_END_MS = 120_000;
const ODD_REQUEST_INTERVAL_MS = 2500;
const FIRST_PAUSE_MS = 12_000;
const PAUSES_END_MS = 120_000;
const PAUSE_INTERVAL_MS = 6000;
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 3900;
const MAX_JOBS_PER_PAUSE = 3;
/** Requests need some tens of milliseconds, so the pause begins while they are served. */
const MAX_PAUSE_DELAY_MS = 40;
const MAX_CANCELLATION_DELAY_MS = 100;

/** Cancels some running jobs within 200 ms, while some of their machines hang. */
const cancelSomeAtOnce = ({ context, users, jobs, tasks }: SimulationComponents): void => {
  const { clock, occurrences } = context;
  const running = [...jobs.values()].filter(
    (job) => tasks.isRunning(job.id) && job.cancelRequestedAt === null,
  );
  const hanging = new Set<FakeWorker>();
  for (const job of running.slice(0, MAX_CANCELLED_JOBS)) {
    for (const worker of tasks.machinesOfJob(job.id))
      if (hanging.size < MAX_HANGING_MACHINES) hanging.add(worker);
    occurrences.cancelledAtOnce++;
    clock.after(clock.between(0, 200), () => void users.cancel(job));
  }
  for (const worker of hanging) worker.isHanging = true;
  clock.after(clock.between(5000, 1.3 * CANCELLATION_TIMEOUT_MS), () => {
    for (const worker of hanging) worker.isHanging = false;
  });
};

/** Twice over the day, users cancel several running jobs at the same time. */
export const injectSimultaneousCancellations = (components: SimulationComponents): void => {
  for (const atMs of CANCELLATION_TIMES_MS)
    components.context.clock.after(atMs, () => cancelSomeAtOnce(components));
};

/** Users send repeated, contradictory or invalid requests every few seconds. */
export const injectOddRequests = (components: SimulationComponents): void => {
  for (let atMs = FIRST_ODD_REQUEST_MS; atMs < ODD_REQUESTS_END_MS; atMs += ODD_REQUEST_INTERVAL_MS)
    components.context.clock.after(atMs, () => sendOddRequest(components));
};

/** Some jobs whose users have neither cancelled them nor been told that they ended. */
const someOpenJobs = ({ context, jobs }: SimulationComponents): readonly UserJob[] => {
  const open = [...jobs.values()].filter(
    (job) => job.accepted && job.cancelRequestedAt === null && job.finalState === null,
  );
  const first = Math.floor(context.clock.random() * open.length);
  return open.slice(first, first + MAX_JOBS_PER_PAUSE);
};

const askAndPause = (components: SimulationComponents): void => {
  const { context, controllers, users } = components;
  const { clock, occurrences } = context;
  const paused = context.randomController();
  for (const job of someOpenJobs(components)) {
    for (const request of ["question", "repeat"] as const)
      void users.ask(job, context.labels[paused] as string, request);
    occurrences.requestsDuringPauses++;
    const delayMs = MAX_PAUSE_DELAY_MS + clock.between(0, MAX_CANCELLATION_DELAY_MS);
    clock.after(delayMs, () => void users.cancel(job));
  }
  clock.after(clock.between(0, MAX_PAUSE_DELAY_MS), () =>
    controllers.pause(paused, clock.between(MIN_PAUSE_MS, MAX_PAUSE_MS)),
  );
};

/** Every few seconds a controller pauses while it serves requests about jobs that are cancelled. */
export const injectRequestsDuringPauses = (components: SimulationComponents): void => {
  for (let atMs = FIRST_PAUSE_MS; atMs < PAUSES_END_MS; atMs += PAUSE_INTERVAL_MS)
    components.context.clock.after(atMs, () => askAndPause(components));
};
