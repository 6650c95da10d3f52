/**
 * What must hold whenever a worker starts a task. Each invariant is judged by what the workers do
 * and by what the job's user asked for, never by what a controller believes.
 */
import type { FakeWorker } from "../fakes/worker.js";
import type { RunningTasks } from "../running-tasks.js";
import type { UserJob } from "../user-job.js";

/** A start of a task of a known job, just after it was entered among the running tasks. */
export interface TaskStart {
  readonly task: string;
  readonly job: UserJob;
  readonly worker: FakeWorker;
  readonly tasks: RunningTasks;
  /** What the job's team uses with this task, and may use. */
  readonly teamCpus: number;
  readonly quotaCpus: number;
}

/** One rule: says what it saw if it is broken, else nothing. */
export interface StartInvariant {
  /** The protocol's name for a breach of it. */
  readonly rule: string;
  readonly check: (start: TaskStart) => string | undefined;
}

/** A task of a job that doesn't allow spot machines isn't started on one. */
const spotOnlyIfAllowed = ({ task, job, worker }: TaskStart): string | undefined =>
  worker.rented.spot && job.spec.remnant !== true ? `${task} on spot` : undefined;

/** All running tasks of a job with zone affinity are in one zone. */
const zoneAffinity = ({ task, job, tasks }: TaskStart): string | undefined =>
  job.spec.oneZone === true && tasks.zonesOfJob(job.id).size > 1 ? task : undefined;

/** A task of a job that names a zone starts there. */
const namedZone = ({ task, job, worker }: TaskStart): string | undefined =>
  typeof job.spec.mill === "string" && job.spec.mill !== worker.rented.zone
    ? `${task} outside its zone`
    : undefined;

/** At most half of the tasks of a job that is spread across zones run in one of them. */
const spreadAcrossZones = ({ task, job, worker, tasks }: TaskStart): string | undefined => {
  if (job.spec.apart !== true) return undefined;
  let sameZone = 0;
  for (const other of tasks.machinesOfJob(job.id))
    if (other.rented.zone === worker.rented.zone) sameZone++;
  return sameZone > Math.ceil(Number(job.spec.threads) / 2) ? `${task} crowds` : undefined;
};

/** A team's running tasks stay within its quota. */
const withinQuota = ({ job, teamCpus, quotaCpus }: TaskStart): string | undefined =>
  teamCpus > quotaCpus ? `${String(job.spec.crew)} ${teamCpus}` : undefined;

/** All of them, in the order in which breaches are reported. */
export const START_INVARIANTS: readonly StartInvariant[] = [
  { rule: "wrong_place", check: spotOnlyIfAllowed },
  { rule: "wrong_place", check: zoneAffinity },
  { rule: "wrong_place", check: namedZone },
  { rule: "wrong_place", check: spreadAcrossZones },
  { rule: "quota", check: withinQuota },
];
