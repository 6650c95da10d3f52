/**
 * Reconciliation of one worker with the records: compares the attempts that it reports with those
 * that it should run. The commands are computed again for each message, so a lost command is resent
 * without any bookkeeping.
 */
import { type AttemptNumber, attemptKey, type TaskId } from "@umberfold/ids";
import type { TaskStatus, WorkerCommand } from "../../protocol/workers.js";
import { isBlockedByEarlierAttempt } from "./attempt-observation.js";
import { isStartExcluded } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** An attempt that the records show open on this machine, and its desired state. */
export interface DesiredAttempt {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  /**
   * Null if it may run. Otherwise it should stop, with this many seconds to save its checkpoint.
   */
  readonly stopGraceS: number | null;
  /**
   * It must not be started (again): its termination is being written, or the machine doesn't take
   * starts.
   */
  readonly isStartForbidden: boolean;
}

/** The desired attempts of one machine, by task. */
export type DesiredAttempts = ReadonlyMap<TaskId, DesiredAttempt>;

/** The stop command for an attempt that should stop, if one is needed now. */
const stopDesired = (status: TaskStatus, desired: DesiredAttempt): WorkerCommand | undefined => {
  const { task, attempt, phase } = status;
  const graceS = desired.stopGraceS;
  if (graceS === null || phase === "ended") return undefined;
  // An attempt that is already saving may finish, unless its checkpoint isn't needed any more.
  return phase === "saving" && graceS !== 0 ? undefined : { op: "stop", task, attempt, graceS };
};

/** The stop or forget command for an attempt on the worker that no record shows open. */
const stopOrForget = (session: WorkerSession, status: TaskStatus): WorkerCommand | undefined => {
  const { task, attempt, phase } = status;
  if (phase !== "ended") return { op: "stop", task, attempt, graceS: 0 };
  return isStartExcluded(session, attemptKey(task, attempt))
    ? { op: "forget", task, attempt }
    : undefined;
};

/** Whether the next message should start a desired attempt. */
const needsStart = (session: WorkerSession, desired: DesiredAttempt): boolean => {
  const { task, attempt, stopGraceS, isStartForbidden } = desired;
  if (stopGraceS !== null || isStartForbidden) return false;
  if (session.tasks.get(task)?.attempt === attempt) return false;
  if (isBlockedByEarlierAttempt(session, task, attempt)) return false;
  // A direct call with the start is in flight; a second copy would have to be tracked as well.
  return session.startDeliveries.get(attemptKey(task, attempt))?.isCallPending !== true;
};

/**
 * The commands that bring a worker in line with the records: forgets and stops, then starts. None
 * unless the session is `ready`.
 */
export const reconcileCommands = (
  session: WorkerSession,
  desiredAttempts: DesiredAttempts,
): readonly WorkerCommand[] => {
  if (session.state !== "ready") return [];
  const commands: WorkerCommand[] = [];
  for (const status of session.tasks.values()) {
    const desired = desiredAttempts.get(status.task);
    const command =
      desired?.attempt === status.attempt
        ? stopDesired(status, desired)
        : stopOrForget(session, status);
    if (command !== undefined) commands.push(command);
  }
  for (const desired of desiredAttempts.values())
    if (needsStart(session, desired))
      commands.push({ op: "start", task: desired.task, attempt: desired.attempt });
  return commands;
};

/** The keys of the attempts that these commands start. */
export const startedAttemptKeys = (commands: readonly WorkerCommand[]): readonly string[] =>
  commands.filter(({ op }) => op === "start").map(({ task, attempt }) => attemptKey(task, attempt));
