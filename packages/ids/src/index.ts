/** Small types of their own for ids, versions and times, so that none is taken for another. */
declare const tag: unique symbol;
type Branded<T, Name extends string> = T & { readonly [tag]: Name };

export type JobId = Branded<string, "JobId">;
export type MachineId = Branded<string, "MachineId">;
/** One task of a job, written `<job>/<index>` on the wire. */
export type TaskId = Branded<string, "TaskId">;
export type ControllerLabel = Branded<string, "ControllerLabel">;
/** A start of one process under a label; two starts never share one. */
export type Incarnation = Branded<string, "Incarnation">;
export type TeamName = Branded<string, "TeamName">;
export type ShardId = Branded<number, "ShardId">;
/** A revision of the state service: it only rises, over all keys together. */
export type Revision = Branded<number, "Revision">;
/** Who may command a machine: a state-service revision, so a later owner's is always higher. */
export type FencingToken = Branded<number, "Token">;
export type AttemptNumber = Branded<number, "AttemptNo">;
export type LeaseId = Branded<number, "LeaseId">;
/** Milliseconds of this process's steady clock. */
export type MonotonicMs = Branded<number, "Mono">;
/** Milliseconds of the time of day, right within `skew_ms`. */
export type WallClockMs = Branded<number, "Wall">;

export const jobId = (s: string): JobId => s as JobId;
export const machineId = (s: string): MachineId => s as MachineId;
export const controllerLabel = (s: string): ControllerLabel => s as ControllerLabel;
export const incarnation = (s: string): Incarnation => s as Incarnation;
export const teamName = (s: string): TeamName => s as TeamName;
export const shardId = (n: number): ShardId => n as ShardId;
export const revision = (n: number): Revision => n as Revision;
export const fencingToken = (n: number): FencingToken => n as FencingToken;
export const attemptNumber = (n: number): AttemptNumber => n as AttemptNumber;
export const leaseId = (n: number): LeaseId => n as LeaseId;
export const monotonicMs = (n: number): MonotonicMs => n as MonotonicMs;
export const wallClockMs = (n: number): WallClockMs => n as WallClockMs;

/** The version of a key that does not exist. */
export const KEY_ABSENT = revision(0);

export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** Names one attempt of one task. */
export const attemptKey = (task: TaskId, attempt: AttemptNumber): string => `${task}#${attempt}`;

export const splitTask = (task: TaskId): { job: JobId; index: number } => {
  const slash = task.lastIndexOf("/");
  return { job: jobId(task.slice(0, slash)), index: Number(task.slice(slash + 1)) };
};
