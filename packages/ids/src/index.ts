/**
 * Branded types for ids, versions and times, so that the compiler rejects a value of one type where
 * another is expected.
 *
 * At run time they are plain strings and numbers. The constructors check nothing and cost nothing;
 * values are checked where they are parsed. Holds no state and has no dependencies.
 */
declare const tag: unique symbol;
type Branded<T, Name extends string> = T & { readonly [tag]: Name };

/** The id of a job, under which it was submitted. */
export type JobId = Branded<string, "JobId">;
/** The id of a machine, assigned by the cloud. */
export type MachineId = Branded<string, "MachineId">;
/** The id of a task: `<job>/<index>`, also on the wire. */
export type TaskId = Branded<string, "TaskId">;
/** The configured label of a controller, which stays the same across restarts. */
export type ControllerLabel = Branded<string, "ControllerLabel">;
/** The id of one run of a controller, unique for each start under the same label. */
export type Incarnation = Branded<string, "Incarnation">;
/** The name of a team in the settings. */
export type TeamName = Branded<string, "TeamName">;
/** The index of a shard, from 0. */
export type ShardId = Branded<number, "ShardId">;
/** A revision of the state store: a number that increases with each change of any key. */
export type Revision = Branded<number, "Revision">;
/**
 * The fencing token that commands to a worker carry. It is a revision of the state store, so that a
 * later owner's token is always higher.
 */
export type FencingToken = Branded<number, "Token">;
/** The number of an attempt, from 1. */
export type AttemptNumber = Branded<number, "AttemptNo">;
/** The id of a controller's lease in the state store. */
export type LeaseId = Branded<number, "LeaseId">;
/** Milliseconds of this process's monotonic clock, comparable only within the process. */
export type MonotonicMs = Branded<number, "Mono">;
/** Milliseconds since 1970 by this machine's clock, accurate to within the setting `skew_ms`. */
export type WallClockMs = Branded<number, "Wall">;

/** Brands a string as a job id, without a check. */
export const jobId = (text: string): JobId => text as JobId;
/** Brands a string as a machine id, without a check. */
export const machineId = (text: string): MachineId => text as MachineId;
/** Brands a string as a controller label, without a check. */
export const controllerLabel = (text: string): ControllerLabel => text as ControllerLabel;
/** Brands a string as an incarnation, without a check. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Brands a string as a team name, without a check. */
export const teamName = (text: string): TeamName => text as TeamName;
/** Brands an index as a shard id, without a check. */
export const shardId = (index: number): ShardId => index as ShardId;
/** Brands a number as a revision, without a check. */
export const revision = (value: number): Revision => value as Revision;
/** Brands a number as a fencing token, without a check. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Brands a number as an attempt number, without a check. */
export const attemptNumber = (value: number): AttemptNumber => value as AttemptNumber;
/** Brands a number as a lease id, without a check. */
export const leaseId = (value: number): LeaseId => value as LeaseId;
/** Brands a number as milliseconds of the monotonic clock, without a check. */
export const monotonicMs = (value: number): MonotonicMs => value as MonotonicMs;
/** Brands a number as milliseconds since 1970, without a check. */
export const wallClockMs = (value: number): WallClockMs => value as WallClockMs;

/** The revision of a key that does not exist. A write conditional on it creates the key. */
export const KEY_ABSENT = revision(0);

/** Returns the id of a job's task with this index, from 0. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** Returns a map key that is unique for each attempt of each task. */
export const attemptKey = (task: TaskId, attempt: AttemptNumber): string => `${task}#${attempt}`;

/**
 * Splits a task id into its job and index: the inverse of `taskId`. The index is NaN if the text is
 * not a task id.
 */
export const splitTask = (task: TaskId): { job: JobId; index: number } => {
  const slash = task.lastIndexOf("/");
  return { job: jobId(task.slice(0, slash)), index: Number(task.slice(slash + 1)) };
};
