/** Faults caused by users: simultaneous cancellations on hanging machines, and invalid requests. */
import type { FakeWorker } from "../fakes/worker.js";
import { sendOddRequest } from "../odd-requests.js";
import type { SimulationComponents } from "../parts.js";
import { CANCELLATION_TIMEOUT_MS } from "../settings.js";

const CANCELLATION_TIMES_MS: readonly number[] = [40_000, 80_000];
const MAX_CANCELLED_JOBS = 5;
const MAX_HANGING_MACHINES = 4;
const FIRST_ODD_REQUEST_MS = 10_000;
const ODD_REQUESTS_END_MS = 120_000;
const ODD_REQUEST_INTERVAL_MS = 2500;

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
