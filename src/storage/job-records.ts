/**
 * Types and codecs of job records. A live job is stored in two parts: the record of its acceptance
 * (`now/live/`), which is rarely rewritten, and its progress, a row of a job page (see `pages.ts`
 * for the codec). A job that has ended is stored as a final record (`final/`), written only once.
 */
import {
  type AttemptNumber,
  type JobId,
  type MachineId,
  type ShardId,
  shardId,
  teamName,
  type WallClockMs,
  wallClockMs,
} from "@umberfold/ids";
import { amount, count, type Fields, isMap, list, text } from "../protocol/cbor.js";
import { type JobSpec, PRIORITIES, type Resources } from "../protocol/jobs.js";
import { type Ranges, rangesCount } from "./ranges.js";

/** An attempt that was started and isn't yet known to have terminated. */
export interface OpenAttempt {
  /** The index of the task within its job, from 0. */
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
}

/** A job as accepted from its user, and whether it was cancelled since: one record per job. */
export interface AcceptedJob {
  readonly spec: JobSpec;
  readonly acceptedAt: WallClockMs;
  /** When its user asked to cancel it; null if not cancelled. */
  readonly cancelledAt: WallClockMs | null;
  /** The shard that it was placed in, which never changes; null for its team's home shard. */
  readonly shard: ShardId | null;
}

/**
 * The progress of a job, stored in a page of its shard. One counter numbers the attempts of all
 * tasks of the job. So no number is used twice for a task, and no number has to be stored for tasks
 * without an open attempt.
 */
export interface JobProgress {
  /** The indexes of the completed tasks. */
  readonly done: Ranges;
  /** All open attempts of the job. */
  readonly open: readonly OpenAttempt[];
  /** The number of the next attempt to be started, from 1. */
  readonly nextAttempt: number;
}

/** The progress of a job before its first task is started; no page has a row for such a job. */
export const NO_PROGRESS: JobProgress = { done: [], open: [], nextAttempt: 1 };

/** An accepted job that hasn't ended, with its progress. */
export interface LiveJob extends AcceptedJob, JobProgress {}

/** Returns a job that has just been accepted: not cancelled and without progress. */
export const newJob = (
  spec: JobSpec,
  acceptedAt: WallClockMs,
  shard: ShardId | null = null,
): LiveJob => ({
  spec,
  acceptedAt,
  cancelledAt: null,
  shard,
  ...NO_PROGRESS,
});

/** The number of completed tasks. */
export const completedTaskCount = (job: JobProgress): number => rangesCount(job.done);

/** The number of tasks that are neither completed nor open; 0 for a cancelled job. */
export const waitingTaskCount = (job: LiveJob): number =>
  job.cancelledAt !== null ? 0 : job.spec.taskCount - completedTaskCount(job) - job.open.length;

/** The stored name of each field of an accepted job, in the order in which they are stored. */
const FIELD = {
  jobClass: "c",
  team: "t",
  priority: "r",
  taskCount: "n",
  /** A list: CPUs, GPUs, memory in GB. */
  resources: "u",
  image: "i",
  imageGb: "ig",
  machineTypes: "ty",
  zone: "z",
  /** Bitwise OR of the values of `FLAG`. */
  flags: "f",
  expectedRunS: "e",
  checkpointIntervalS: "k",
  checkpointSaveS: "sv",
  deadlineS: "d",
  acceptedAt: "a",
  cancelledAt: "ca",
  /** Absent for a job in its team's home shard. */
  shard: "s",
} as const;

const FLAG = { zoneAffinity: 1, spreadAcrossZones: 2, spotAllowed: 4 } as const;

/** Returns the stored form of an accepted job. The job's id isn't in it, but in the key. */
export const encodeAcceptedJob = (job: AcceptedJob): unknown => {
  const { spec } = job;
  return {
    [FIELD.jobClass]: spec.jobClass,
    [FIELD.team]: spec.team,
    [FIELD.priority]: spec.priority,
    [FIELD.taskCount]: spec.taskCount,
    [FIELD.resources]: [spec.resources.cpus, spec.resources.gpus, spec.resources.ramGb],
    [FIELD.image]: spec.image,
    [FIELD.imageGb]: spec.imageGb,
    [FIELD.machineTypes]: spec.machineTypes,
    [FIELD.zone]: spec.zone,
    [FIELD.flags]:
      (spec.zoneAffinity ? FLAG.zoneAffinity : 0) |
      (spec.spreadAcrossZones ? FLAG.spreadAcrossZones : 0) |
      (spec.spotAllowed ? FLAG.spotAllowed : 0),
    [FIELD.expectedRunS]: spec.expectedRunS,
    [FIELD.checkpointIntervalS]: spec.checkpointIntervalS,
    [FIELD.checkpointSaveS]: spec.checkpointSaveS,
    [FIELD.deadlineS]: spec.deadlineS,
    [FIELD.acceptedAt]: job.acceptedAt,
    [FIELD.cancelledAt]: job.cancelledAt,
    ...(job.shard === null ? {} : { [FIELD.shard]: job.shard }),
  };
};

/**
 * Returns undefined if a field that scheduling depends on (resources, number of tasks, priority or
 * flags) is missing or invalid. Any other missing or invalid field becomes empty, 0 or null.
 */
export const parseAcceptedJob = (id: JobId, value: unknown): AcceptedJob | undefined => {
  if (!isMap(value)) return undefined;
  const spec = parseSpec(id, value);
  if (spec === undefined) return undefined;
  const shard = count(value[FIELD.shard]);
  const cancelledAt = value[FIELD.cancelledAt];
  return {
    spec,
    acceptedAt: wallClockMs(amount(value[FIELD.acceptedAt]) ?? 0),
    cancelledAt:
      cancelledAt === undefined || cancelledAt === null
        ? null
        : wallClockMs(amount(cancelledAt) ?? 0),
    shard: shard === undefined ? null : shardId(shard),
  };
};

const parseSpec = (id: JobId, fields: Fields): JobSpec | undefined => {
  const resources = parseResources(fields[FIELD.resources]);
  const taskCount = count(fields[FIELD.taskCount]);
  const priority = PRIORITIES.find((known) => known === fields[FIELD.priority]);
  const flags = count(fields[FIELD.flags]);
  if (resources === undefined || taskCount === undefined) return undefined;
  if (priority === undefined || flags === undefined) return undefined;
  return {
    id,
    jobClass: text(fields[FIELD.jobClass]) ?? "",
    team: teamName(text(fields[FIELD.team]) ?? ""),
    priority,
    taskCount,
    resources,
    image: text(fields[FIELD.image]) ?? "",
    imageGb: amount(fields[FIELD.imageGb]) ?? 0,
    machineTypes:
      list(fields[FIELD.machineTypes])?.filter(
        (type): type is string => typeof type === "string",
      ) ?? null,
    zone: text(fields[FIELD.zone]) ?? null,
    zoneAffinity: (flags & FLAG.zoneAffinity) !== 0,
    spreadAcrossZones: (flags & FLAG.spreadAcrossZones) !== 0,
    spotAllowed: (flags & FLAG.spotAllowed) !== 0,
    expectedRunS: amount(fields[FIELD.expectedRunS]) ?? 0,
    checkpointIntervalS: amount(fields[FIELD.checkpointIntervalS]) ?? 0,
    checkpointSaveS: amount(fields[FIELD.checkpointSaveS]) ?? 0,
    deadlineS: amount(fields[FIELD.deadlineS]) ?? null,
  };
};

const parseResources = (value: unknown): Resources | undefined => {
  const [cpus, gpus, ramGb] = list(value)?.map(amount) ?? [];
  return list(value) === undefined
    ? undefined
    : { cpus: cpus ?? 0, gpus: gpus ?? 0, ramGb: ramGb ?? 0 };
};

/** The result of a job that has ended. */
export interface FinalJob {
  readonly phase: "done" | "cancelled";
  /** The number of its completed tasks. */
  readonly done: number;
}

/** The stored name of each field of a final record. */
const FINAL_FIELD = { phase: "g", done: "n" } as const;
const FINAL_PHASE = { done: 1, cancelled: 2 } as const;

/** Returns the stored form of a final record. */
export const encodeFinalJob = (final: FinalJob): unknown => ({
  [FINAL_FIELD.phase]: FINAL_PHASE[final.phase],
  [FINAL_FIELD.done]: final.done,
});

/** Returns undefined if the value isn't a final record; an invalid number of tasks becomes 0. */
export const parseFinalJob = (value: unknown): FinalJob | undefined => {
  if (!isMap(value)) return undefined;
  const stored = value[FINAL_FIELD.phase];
  if (stored !== FINAL_PHASE.done && stored !== FINAL_PHASE.cancelled) return undefined;
  return {
    phase: stored === FINAL_PHASE.done ? "done" : "cancelled",
    done: count(value[FINAL_FIELD.done]) ?? 0,
  };
};
