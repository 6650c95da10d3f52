/**
 * Branded types for ids, versions and times, so that none is taken for another.
 *
 * At run time they are plain strings and numbers: the constructors check nothing and cost nothing,
 * and a value is checked where it is parsed. No state, no dependencies.
 */
declare const tag: unique symbol;
type Branded<T, Name extends string> = T & { readonly [tag]: Name };

/** A job, by the id under which it was submitted. */
export type JobId = Branded<string, "JobId">;
/** A machine, by the id that the cloud gave it. */
export type MachineId = Branded<string, "MachineId">;
/** One task of a job, written `<job>/<index>` on the wire. */
export type TaskId = Branded<string, "TaskId">;
/** A controller, by the label that it is configured with; it stays the same over restarts. */
export type ControllerLabel = Branded<string, "ControllerLabel">;
/** One start of a controller under its label; no two starts share one. */
export type Incarnation = Branded<string, "Incarnation">;
/** A team, by the name that the settings give it. */
export type TeamName = Branded<string, "TeamName">;
/** A shard, by its index from 0. */
export type ShardId = Branded<number, "ShardId">;
/** The state store's count of changes, over all keys together: it only rises. */
export type Revision = Branded<number, "Revision">;
/**
 * Under which commands are given to a worker. It is a revision of the state store, so that a later
 * owner's is always higher.
 */
export type FencingToken = Branded<number, "Token">;
/** Numbers a job's attempts, from 1. */
export type AttemptNumber = Branded<number, "AttemptNo">;
/** A controller's lease in the state store. */
export type LeaseId = Branded<number, "LeaseId">;
/** Milliseconds of this process's monotonic clock: comparable within the process only. */
export type MonotonicMs = Branded<number, "Mono">;
/** Milliseconds since 1970 by this machine's clock, right within the setting `skew_ms`. */
export type WallClockMs = Branded<number, "Wall">;

/** Takes a string for a job's id, unchecked. */
export const jobId = (text: string): JobId => text as JobId;
/** Takes a string for a machine's id, unchecked. */
export const machineId = (text: string): MachineId => text as MachineId;
/** Takes a string for a controller's label, unchecked. */
export const controllerLabel = (text: string): ControllerLabel => text as ControllerLabel;
/** Takes a string for an incarnation, unchecked. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Takes a string for a team's name, unchecked. */
export const teamName = (text: string): TeamName => text as TeamName;
/** Takes an index for a shard's id, unchecked. */
export const shardId = (index: number): ShardId => index as ShardId;
/** Takes a number for a revision, unchecked. */
export const revision = (value: number): Revision => value as Revision;
/** Takes a number for a fencing token, unchecked. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Takes a number for an attempt's, unchecked. */
export const attemptNumber = (value: number): AttemptNumber => value as AttemptNumber;
/** Takes a number for a lease's id, unchecked. */
export const leaseId = (value: number): LeaseId => value as LeaseId;
/** Takes a number for milliseconds of the monotonic clock, unchecked. */
export const monotonicMs = (value: number): MonotonicMs => value as MonotonicMs;
/** Takes a number for milliseconds since 1970, unchecked. */
export const wallClockMs = (value: number): WallClockMs => value as WallClockMs;

/** The revision of a key that does not exist: a write on this condition creates it. */
export const KEY_ABSENT = revision(0);

/** The task with this index, from 0, of a job. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** A key for maps that is different for each attempt of each task. */
export const attemptKey = (task: TaskId, attempt: AttemptNumber): string => `${task}#${attempt}`;

/** A task's job and index: the reverse of `taskId`. The index is NaN for text that is no task id. */
export const splitTask = (task: TaskId): { job: JobId; index: number } => {
  const slash = task.lastIndexOf("/");
  return { job: jobId(task.slice(0, slash)), index: Number(task.slice(slash + 1)) };
};
