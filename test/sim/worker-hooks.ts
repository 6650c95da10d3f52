/**
 * The callbacks of the fake workers to the simulation: how long tasks run, whether they fail, their
 * starts and ends, and the sending of heartbeats.
 */
import type { SimulationContext } from "./context.js";
import type { Body, FakeResponse } from "./fakes/message.js";
import type { FakeWorker, WorkerHooks } from "./fakes/worker.js";
import type { SimulationComponents } from "./parts.js";
import { LEASE_TTL_MS } from "./settings.js";
import { jobIdOfTask } from "./task-names.js";

const MIN_RUN_MS = 3000;
const MAX_RUN_MS = 20_000;
/** Tasks outlast the refusal and much of the outage, so that they still run when cancelled. */
const MIN_OUTAGE_RUN_MS = 75_000;
const MAX_OUTAGE_RUN_FACTOR = 1.3;
const LATE_COPY_FRACTION = 0.1;
const MIN_COPY_DELAY_MS = 2000;
const MAX_COPY_DELAY_MS = 4 * LEASE_TTL_MS;

const runMsOf = ({ clock, scenario }: SimulationContext): number => {
  if (scenario.storeOutageAfterRefusal !== undefined)
    return clock.between(MIN_OUTAGE_RUN_MS, MAX_OUTAGE_RUN_FACTOR * MIN_OUTAGE_RUN_MS);
  if (scenario.mutedForGood === true) return clock.between(1.4 * LEASE_TTL_MS, 2 * LEASE_TTL_MS);
  return clock.between(MIN_RUN_MS, MAX_RUN_MS);
};

/** Whether this start of a task fails; the start is already recorded. */
const failsThisStart = ({ context, tasks }: SimulationComponents, task: string): boolean => {
  if (context.scenario.failures === undefined) return false;
  if (context.scenario.failures === "first") return !tasks.wasStartedBefore(task);
  if (!context.hasMistake(jobIdOfTask(task))) return false;
  context.occurrences.failedStarts++;
  return true;
};

const onTaskEnded = (
  { context, tasks, jobs, standIns, users }: SimulationComponents,
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

/** Sends a heartbeat; with `lateHeartbeatCopies`, also sends some again to random controllers. */
const sendHeartbeat = (
  { context, controllers }: SimulationComponents,
  label: string,
  status: Body,
): Promise<FakeResponse | undefined> => {
  const { clock, scenario, calls } = context;
  calls.heartbeats++;
  if (scenario.lateHeartbeatCopies === true && clock.random() < LATE_COPY_FRACTION)
    clock.after(clock.between(MIN_COPY_DELAY_MS, MAX_COPY_DELAY_MS), () => {
      void controllers.request(context.randomLabel(), "POST", "/agent/beat", status);
    });
  return controllers.request(label, "POST", "/agent/beat", status);
};

/** The hooks of all workers. Components are looked up at each use: they are created later. */
export const workerHooksOf = (components: () => SimulationComponents): WorkerHooks => ({
  onTaskStarted: (worker, task) => components().checker.onTaskStarted(worker, task),
  onTaskEnded: (worker, task, done) => onTaskEnded(components(), worker, task, done),
  runMs: () => runMsOf(components().context),
  failsThisStart: (task) => failsThisStart(components(), task),
  heartbeat: (label, status) => sendHeartbeat(components(), label, status),
});
