/**
 * Invariants of each start of a task. They are checked against the state of the workers and the
 * user's job specification, never against the state of a controller.
 */
import type { FakeWorker } from "../fakes/worker.js";
import type { RunningTasks } from "../running-tasks.js";
import type { UserJob } from "../user-job.js";

/** The start of a task of a known job, after it was recorded among the running tasks. */
export interface TaskStart {
  readonly task: string;
  readonly job: UserJob;
  readonly worker: FakeWorker;
  readonly tasks: RunningTasks;
  /** Processors that the job's team uses, this task included. */
  readonly teamCpus: number;
  /** Processors that a team may use. */
  readonly quotaCpus: number;
}

/** One rule; `check` returns the details of a violation, or undefined if the rule holds. */
export interface StartInvariant {
  /** The name of the violation, as the tests match it. */
  readonly rule: string;
  readonly check: (start: TaskStart) => string | undefined;
}

/** A task runs on a spot machine only if its job allows spot machines. */
const spotOnlyIfAllowed = ({ task, job, worker }: TaskStart): string | undefined =>
  worker.rented.spot && job.spec.remnant !== true ? `${task} on spot` : undefined;

/** All running tasks of a job with zone affinity are in one zone. */
const zoneAffinity = ({ task, job, tasks }: TaskStart): string | undefined =>
  job.spec.oneZone === true && tasks.zonesOfJob(job.id).size > 1 ? task : undefined;

/** A task of a job that requires a specific zone starts in that zone. */
const namedZone = ({ task, job, worker }: TaskStart): string | undefined =>
  typeof job.spec.mill === "string" && job.spec.mill !== worker.rented.zone
    ? `${task} outside its zone`
    : undefined;

/** At most half of the tasks (rounded up) of a job that is spread across zones run in one zone. */
const spreadAcrossZones = ({ task, job, worker, tasks }: TaskStart): string | undefined => {
  if (job.spec.apart !== true) return undefined;
  let sameZoneCount = 0;
  for (const other of tasks.machinesOfJob(job.id))
    if (other.rented.zone === worker.rented.zone) sameZoneCount++;
  return sameZoneCount > Math.ceil(Number(job.spec.threads) / 2) ? `${task} crowds` : undefined;
};

/** The processors of a team's running tasks don't exceed its quota. */
const withinQuota = ({ job, teamCpus, quotaCpus }: TaskStart): string | undefined =>
  teamCpus > quotaCpus ? `${String(job.spec.crew)} ${teamCpus}` : undefined;

/** All invariants, in the order in which violations are reported. */
export const START_INVARIANTS: readonly StartInvariant[] = [
  { rule: "wrong_place", check: spotOnlyIfAllowed },
  { rule: "wrong_place", check: zoneAffinity },
  { rule: "wrong_place", check: namedZone },
  { rule: "wrong_place", check: spreadAcrossZones },
  { rule: "quota", check: withinQuota },
];
