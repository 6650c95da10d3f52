/**
 * What must hold at each moment, looked at again and again over the day: no task of a cancelled job
 * runs on, and no job waits beside a machine that has room for it.
 */
import type { SimulationContext } from "../context.js";
import type { FakeWorker } from "../fakes/worker.js";
import type { RunningTasks } from "../running-tasks.js";
import { CANCEL_MS, MACHINE_TYPES } from "../settings.js";
import { jobIdOfTask } from "../task-names.js";
import type { UserJob } from "../user-job.js";

/** What the invariants look at. */
export interface StandingView {
  readonly context: SimulationContext;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly tasks: RunningTasks;
  readonly workers: ReadonlyMap<string, FakeWorker>;
}

/** Tasks on a machine for longer than `cancel_s` after their job's confirmed cancellation. */
export const tasksPastCancellation = (view: StandingView): readonly string[] => {
  const { now } = view.context.clock;
  const overdue: string[] = [];
  for (const [task, machines] of view.tasks.machinesOf) {
    const confirmedAt = view.jobs.get(jobIdOfTask(task))?.cancelConfirmedAt ?? null;
    if (machines.size > 0 && confirmedAt !== null && now - confirmedAt > CANCEL_MS)
      overdue.push(task);
  }
  return overdue;
};

/** No task of it is on a machine. */
const isIdle = (job: UserJob, tasks: RunningTasks): boolean => {
  for (let i = 0; i < Number(job.spec.threads); i++)
    if ((tasks.machinesOf.get(`${job.id}/${i}`)?.size ?? 0) > 0) return false;
  return true;
};

/** Whether the job may use this machine at all. */
const mayUse = (job: UserJob, worker: FakeWorker): boolean => {
  const { mill, remnant } = job.spec;
  if (typeof mill === "string" && mill !== worker.rented.zone) return false;
  return worker.alive && !worker.hangs && (!worker.rented.spot || remnant === true);
};

/** The processors that a machine has left, and whether it has unfinished tasks of this job. */
const roomOn = (worker: FakeWorker, job: UserJob, jobs: StandingView["jobs"]) => {
  const type = MACHINE_TYPES.find((machineType) => machineType.label === worker.rented.type);
  const open = [...worker.tasks.values()].filter((task) => task.stage !== "ended");
  const usedCpus = open.reduce(
    (sum, { task }) => sum + Number(jobs.get(jobIdOfTask(task))?.spec.cpus),
    0,
  );
  return {
    freeCpus: Number(type?.cpus) - usedCpus,
    hasOwnTasks: open.some(({ task }) => task.startsWith(`${job.id}/`)),
  };
};

/** Whether a machine that the job may use has room for one of its tasks. */
const roomExists = (job: UserJob, view: StandingView): boolean => {
  const { crew, cpus, oneZone, apart } = job.spec;
  // Which zones are open to it depends on where its other tasks are: not judged here.
  if (oneZone === true || apart === true) return false;
  const teamCpus = view.tasks.cpusOfTeam(String(crew)) + Number(cpus);
  if (teamCpus > view.context.scale.quotaCpus) return false;
  for (const worker of view.workers.values()) {
    if (!mayUse(job, worker)) continue;
    const { freeCpus, hasOwnTasks } = roomOn(worker, job, view.jobs);
    if (hasOwnTasks) return false;
    if (freeCpus >= Number(cpus)) return true;
  }
  return false;
};

/** An accepted job has no task on any machine, though one that it may use has room. */
export const waitsBesideRoom = (job: UserJob, view: StandingView): boolean =>
  job.accepted &&
  job.finalState === null &&
  job.cancelRequestedAt === null &&
  isIdle(job, view.tasks) &&
  roomExists(job, view);
