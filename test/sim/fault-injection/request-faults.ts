/** What users do at the worst moment: cancellations at once on hanging machines, odd requests. */
import type { FakeWorker } from "../fakes/worker.js";
import { playOddRequest } from "../odd-requests.js";
import type { SimulationParts } from "../parts.js";
import { CANCEL_MS } from "../settings.js";

const CANCELLATIONS_AT_MS: readonly number[] = [40_000, 80_000];
const JOBS_AT_ONCE = 5;
const HANGING_MACHINES = 4;
const FIRST_ODD_REQUEST_MS = 10_000;
const LAST_ODD_REQUEST_MS = 120_000;
const ODD_REQUEST_EVERY_MS = 2500;

/** Some running jobs are cancelled within a fifth of a second, and some of their machines hang. */
const cancelSomeNow = ({ context, users, jobs, tasks }: SimulationParts): void => {
  const { clock, occurrences } = context;
  const running = [...jobs.values()].filter(
    (job) => tasks.isRunning(job.id) && job.cancelRequestedAt === null,
  );
  const hanging = new Set<FakeWorker>();
  for (const job of running.slice(0, JOBS_AT_ONCE)) {
    for (const worker of tasks.machinesOfJob(job.id))
      if (hanging.size < HANGING_MACHINES) hanging.add(worker);
    occurrences.cancelledAtOnce++;
    clock.after(clock.between(0, 200), () => void users.cancel(job));
  }
  for (const worker of hanging) worker.isHanging = true;
  clock.after(clock.between(5000, 1.3 * CANCEL_MS), () => {
    for (const worker of hanging) worker.isHanging = false;
  });
};

/** Twice over the day, users cancel running jobs at once. */
export const injectCancellationsAtOnce = (parts: SimulationParts): void => {
  for (const atMs of CANCELLATIONS_AT_MS)
    parts.context.clock.after(atMs, () => cancelSomeNow(parts));
};

/** Users send odd requests every few seconds. */
export const injectOddRequests = (parts: SimulationParts): void => {
  for (let atMs = FIRST_ODD_REQUEST_MS; atMs < LAST_ODD_REQUEST_MS; atMs += ODD_REQUEST_EVERY_MS)
    parts.context.clock.after(atMs, () => playOddRequest(parts));
};
