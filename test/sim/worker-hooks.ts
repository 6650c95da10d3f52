/**
 * What the stand-in workers ask and tell of the simulation: how long tasks run and whether they
 * fail, each start and end of a task, and their heartbeats on the way to controllers.
 */
import type { SimulationContext } from "./context.js";
import type { Body, FakeResponse } from "./fakes/message.js";
import type { FakeWorker, WorkerHooks } from "./fakes/worker.js";
import type { SimulationParts } from "./parts.js";
import { LEASE_MS } from "./settings.js";
import { jobIdOfTask } from "./task-names.js";

const MIN_RUN_MS = 3000;
const MAX_RUN_MS = 20_000;
/** Tasks outlive the refusal and much of the outage, so that cancellations meet them running. */
const OUTAGE_RUN_MS = 75_000;
const OUTAGE_RUN_SPREAD = 1.3;
const LATE_COPY_SHARE = 0.1;
const MIN_COPY_DELAY_MS = 2000;
const MAX_COPY_DELAY_MS = 4 * LEASE_MS;

const runMsOf = ({ clock, scenario }: SimulationContext): number => {
  if (scenario.storeOutageAfterRefusal !== undefined)
    return clock.between(OUTAGE_RUN_MS, OUTAGE_RUN_SPREAD * OUTAGE_RUN_MS);
  if (scenario.mutedForGood === true) return clock.between(1.4 * LEASE_MS, 2 * LEASE_MS);
  return clock.between(MIN_RUN_MS, MAX_RUN_MS);
};

/** Whether this start of a task fails; the start itself is recorded already. */
const fails = ({ context, tasks }: SimulationParts, task: string): boolean => {
  if (context.scenario.failures === undefined) return false;
  if (context.scenario.failures === "first") return !tasks.wasStartedBefore(task);
  if (!context.hasMistake(jobIdOfTask(task))) return false;
  context.occurrences.failedStarts++;
  return true;
};

const onTaskEnded = (
  { context, tasks, jobs, standIns, users }: SimulationParts,
  worker: FakeWorker,
  task: string,
  done: boolean,
): void => {
  if (!tasks.recordEnd(task, worker, done)) return;
  const job = jobs.get(jobIdOfTask(task));
  if (job === undefined) return;
  if (!done && job.cancelRequestedAt === null && standIns.stateStore.isDown)
    context.occurrences.lostRuns++;
  if (done) users.onTaskFinished(job);
  tasks.addCpus(String(job.spec.crew), -Number(job.spec.cpus));
};

/** Sends a heartbeat and, on days of late copies, some of them again to any controller. */
const sendHeartbeat = (
  { context, controllers }: SimulationParts,
  label: string,
  status: Body,
): Promise<FakeResponse | undefined> => {
  const { clock, scenario, calls } = context;
  calls.heartbeats++;
  if (scenario.lateHeartbeatCopies === true && clock.random() < LATE_COPY_SHARE)
    clock.after(clock.between(MIN_COPY_DELAY_MS, MAX_COPY_DELAY_MS), () => {
      void controllers.request(context.randomLabel(), "POST", "/agent/beat", status);
    });
  return controllers.request(label, "POST", "/agent/beat", status);
};

/** The hooks of all workers. The parts are asked for at each use: they are made after the hooks. */
export const workerHooksOf = (parts: () => SimulationParts): WorkerHooks => ({
  onTaskStarted: (worker, task) => parts().checker.onTaskStarted(worker, task),
  onTaskEnded: (worker, task, done) => onTaskEnded(parts(), worker, task, done),
  runMs: () => runMsOf(parts().context),
  failsThisStart: (task) => fails(parts(), task),
  heartbeat: (label, status) => sendHeartbeat(parts(), label, status),
});
