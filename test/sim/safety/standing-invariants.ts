/**
 * Invariants that are checked periodically over the day: no task of a cancelled job keeps running,
 * and no job waits while a machine has free capacity for it.
 */
import type { SimulationContext } from "../context.js";
import type { FakeWorker } from "../fakes/worker.js";
import type { RunningTasks } from "../running-tasks.js";
import { CANCELLATION_TIMEOUT_MS, MACHINE_TYPES } from "../settings.js";
import { jobIdOfTask } from "../task-names.js";
import type { UserJob } from "../user-job.js";

/** The state of the cluster that the invariants are checked against. */
export interface ClusterView {
  readonly context: SimulationContext;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly tasks: RunningTasks;
  readonly workers: ReadonlyMap<string, FakeWorker>;
}

/** Tasks still on a machine more than `cancel_s` after their job's cancellation was confirmed. */
export const tasksPastCancellation = (view: ClusterView): readonly string[] => {
  const { now } = view.context.clock;
  const overdue: string[] = [];
  for (const [task, machines] of view.tasks.machinesOf) {
    const confirmedAt = view.jobs.get(jobIdOfTask(task))?.cancelConfirmedAt ?? null;
    if (machines.size > 0 && confirmedAt !== null && now - confirmedAt > CANCELLATION_TIMEOUT_MS)
      overdue.push(task);
  }
  return overdue;
};

/** Whether none of the job's tasks is on a machine. */
const isIdle = (job: UserJob, tasks: RunningTasks): boolean => {
  for (let i = 0; i < Number(job.spec.threads); i++)
    if ((tasks.machinesOf.get(`${job.id}/${i}`)?.size ?? 0) > 0) return false;
  return true;
};

/** Whether the job may run on this machine, apart from the machine's free capacity. */
const isAllowedOn = (job: UserJob, worker: FakeWorker): boolean => {
  const { mill, remnant } = job.spec;
  if (typeof mill === "string" && mill !== worker.rented.zone) return false;
  return worker.isAlive && !worker.isHanging && (!worker.rented.spot || remnant === true);
};

/** The free processors of a machine, and whether it has unfinished tasks of this job. */
const capacityOn = (worker: FakeWorker, job: UserJob, jobs: ClusterView["jobs"]) => {
  const type = MACHINE_TYPES.find((machineType) => machineType.label === worker.rented.type);
  const unfinished = [...worker.tasks.values()].filter((task) => task.stage !== "ended");
  const usedCpus = unfinished.reduce(
    (sum, { task }) => sum + Number(jobs.get(jobIdOfTask(task))?.spec.cpus),
    0,
  );
  return {
    freeCpus: Number(type?.cpus) - usedCpus,
    hasTasksOfJob: unfinished.some(({ task }) => task.startsWith(`${job.id}/`)),
  };
};

/** Whether a machine that the job may use has free capacity for one of its tasks. */
const hasFittingMachine = (job: UserJob, view: ClusterView): boolean => {
  const { crew, cpus, oneZone, apart } = job.spec;
  // Which zones such a job may use depends on where its other tasks run; that is not checked here.
  if (oneZone === true || apart === true) return false;
  const teamCpus = view.tasks.cpusOfTeam(String(crew)) + Number(cpus);
  if (teamCpus > view.context.scale.quotaCpus) return false;
  for (const worker of view.workers.values()) {
    if (!isAllowedOn(job, worker)) continue;
    const { freeCpus, hasTasksOfJob } = capacityOn(worker, job, view.jobs);
    if (hasTasksOfJob) return false;
    if (freeCpus >= Number(cpus)) return true;
  }
  return false;
};

/** Whether an accepted job has no running task although a machine has free capacity for one. */
export const waitsDespiteCapacity = (job: UserJob, view: ClusterView): boolean =>
  job.accepted &&
  job.finalState === null &&
  job.cancelRequestedAt === null &&
  isIdle(job, view.tasks) &&
  hasFittingMachine(job, view);
