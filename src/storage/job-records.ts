/**
 * Jobs as the records know them. A live job is two things: the record of its acceptance
 * (`now/live/`), seldom rewritten, and its progress, a row of a job page (codec in `pages.ts`). A
 * job that is over is a final record (`final/`), written once.
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

/** An attempt that was started and is not terminated. */
export interface OpenAttempt {
  /** The task's number within its job. */
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
}

/** What a user was answered of a job, and whether it was cancelled since: one record a job. */
export interface AcceptedJob {
  readonly spec: JobSpec;
  readonly acceptedAt: WallClockMs;
  /** When its user asked to cancel it, or null. */
  readonly cancelledAt: WallClockMs | null;
  /** The shard that it was placed in, for good, or null for its team's home shard. */
  readonly shard: ShardId | null;
}

/**
 * How far a job has come, kept in a page of its shard. Attempt numbers come from one counter for
 * the whole job, so none is used twice for a task and none need be kept for tasks not open.
 */
export interface JobProgress {
  /** The tasks that have completed. */
  readonly done: Ranges;
  readonly open: readonly OpenAttempt[];
  readonly nextAttempt: number;
}

/** The progress of a job none of whose tasks was started yet: such a job is in no page. */
export const NO_PROGRESS: JobProgress = { done: [], open: [], nextAttempt: 1 };

/** An accepted job that is not over. */
export interface LiveJob extends AcceptedJob, JobProgress {}

/** A job as it is at the moment of its acceptance. */
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

/** How many tasks have completed. */
export const completedTaskCount = (job: JobProgress): number => rangesCount(job.done);

/** How many tasks are neither completed nor open; none of a cancelled job. */
export const waitingTaskCount = (job: LiveJob): number =>
  job.cancelledAt !== null ? 0 : job.spec.taskCount - completedTaskCount(job) - job.open.length;

/** The stored name of each field of an accepted job, in the order in which they are stored. */
const FIELD = {
  jobClass: "c",
  team: "t",
  priority: "r",
  taskCount: "n",
  /** A list: processors, devices, memory in GB. */
  resources: "u",
  image: "i",
  imageGb: "ig",
  machineTypes: "ty",
  zone: "z",
  /** A sum of `FLAG`. */
  flags: "f",
  expectedRunS: "e",
  checkpointIntervalS: "k",
  checkpointSaveS: "sv",
  deadlineS: "d",
  acceptedAt: "a",
  cancelledAt: "ca",
  /** Absent for a job of its team's home shard. */
  shard: "s",
} as const;

const FLAG = { zoneAffinity: 1, spreadAcrossZones: 2, spotAllowed: 4 } as const;

/** The stored form of an accepted job; its id is in the key. */
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
 * Undefined if the job can't be scheduled by what is stored: its resources, number of tasks,
 * priority or flags are missing or of another type. Any other field that can't be read is empty.
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

/** What remains of a job that is over. */
export interface FinalJob {
  readonly phase: "done" | "cancelled";
  /** How many of its tasks completed. */
  readonly done: number;
}

/** The stored name of each field of a final record. */
const FINAL_FIELD = { phase: "g", done: "n" } as const;
const FINAL_PHASE = { done: 1, cancelled: 2 } as const;

/** The stored form of a final record. */
export const encodeFinalJob = (final: FinalJob): unknown => ({
  [FINAL_FIELD.phase]: FINAL_PHASE[final.phase],
  [FINAL_FIELD.done]: final.done,
});

/** Undefined if the value is no final record; an unreadable number of tasks is 0. */
export const parseFinalJob = (value: unknown): FinalJob | undefined => {
  if (!isMap(value)) return undefined;
  const stored = value[FINAL_FIELD.phase];
  if (stored !== FINAL_PHASE.done && stored !== FINAL_PHASE.cancelled) return undefined;
  return {
    phase: stored === FINAL_PHASE.done ? "done" : "cancelled",
    done: count(value[FINAL_FIELD.done]) ?? 0,
  };
};
