/**
 * Reconciliation of one worker with the records: what it runs against what it should run. The
 * commands are derived anew for every message, so one that was lost repeats itself.
 */
import { type AttemptNumber, attemptKey, type TaskId } from "@umberfold/ids";
import type { TaskStatus, WorkerCommand } from "../../protocol/workers.js";
import { isBlockedByEarlierAttempt } from "./attempt-observation.js";
import { canForgetAttempt } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** An attempt that the records show open on this machine, and what is wanted of it. */
export interface DesiredAttempt {
  readonly task: TaskId;
  readonly attempt: AttemptNumber;
  /** Null: it may run. Otherwise it should stop, given this many seconds to save. */
  readonly stopGraceS: number | null;
  /** Its termination is being written, or the machine is leaving: never start it (again). */
  readonly isStartForbidden: boolean;
}

/** The desired attempts of one machine, by task. */
export type DesiredAttempts = ReadonlyMap<TaskId, DesiredAttempt>;

/** The stop that brings an attempt on the worker to what is desired of it, if it needs one. */
const stopDesired = (status: TaskStatus, desired: DesiredAttempt): WorkerCommand | undefined => {
  const { task, attempt, phase } = status;
  const graceS = desired.stopGraceS;
  if (graceS === null || phase === "ended") return undefined;
  // One that saves already is left to it, unless what it saves is of no use any more.
  return phase === "saving" && graceS !== 0 ? undefined : { op: "stop", task, attempt, graceS };
};

/** The stop or forget for an attempt on the worker that no record shows open. */
const stopOrForget = (session: WorkerSession, status: TaskStatus): WorkerCommand | undefined => {
  const { task, attempt, phase } = status;
  if (phase !== "ended") return { op: "stop", task, attempt, graceS: 0 };
  return canForgetAttempt(session, attemptKey(task, attempt))
    ? { op: "forget", task, attempt }
    : undefined;
};

/** Whether a desired attempt is to be started with this message. */
const needsStart = (session: WorkerSession, desired: DesiredAttempt): boolean => {
  const { task, attempt, stopGraceS, isStartForbidden } = desired;
  if (stopGraceS !== null || isStartForbidden) return false;
  if (session.tasks.get(task)?.attempt === attempt) return false;
  if (isBlockedByEarlierAttempt(session, task, attempt)) return false;
  // Still unanswered: a second copy would only be one more to keep track of.
  return session.startDeliveries.get(attemptKey(task, attempt))?.directDelivery !== "pending";
};

/**
 * The commands that make a worker do what the records say: forgets and stops, then starts. None in
 * any state but `ready`.
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
