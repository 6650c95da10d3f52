/**
 * When a machine's fencing token must be raised, or is worth raising. A worker that has seen a
 * higher token rejects every start that was sent under a lower one, so such starts no longer have
 * to be remembered.
 */
import { attemptKey, taskOfAttemptKey } from "@umberfold/ids";
import { isStartExcluded } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** This many ended attempts that only a higher token allows to be forgotten justify a raise. */
const MIN_BLOCKED_ATTEMPTS_FOR_RAISE = 16;

/** Enough ended attempts can't be forgotten to justify the write that raises the token. */
export const shouldRaiseToken = (session: WorkerSession): boolean => {
  if (session.startDeliveries.size < MIN_BLOCKED_ATTEMPTS_FOR_RAISE) return false;
  let blockedCount = 0;
  for (const { task, attempt, phase } of session.tasks.values())
    if (phase === "ended" && !isStartExcluded(session, attemptKey(task, attempt))) blockedCount++;
  return blockedCount >= MIN_BLOCKED_ATTEMPTS_FOR_RAISE;
};

/**
 * Whether only a higher token makes the absence of an attempt conclusive again: a start was lost
 * under the current token, or one was executed and the worker does not list its attempt, as when
 * its process was restarted. While the worker lists an attempt, duplicates of its start are
 * ignored.
 */
export const mustRaiseToken = (session: WorkerSession): boolean => {
  for (const [key, delivery] of session.startDeliveries) {
    if (delivery.token !== session.token) continue;
    if (delivery.hasAnsweredCall ? !listsAttempt(session, key) : delivery.hasLostCall) return true;
  }
  return false;
};

const listsAttempt = ({ tasks }: WorkerSession, key: string): boolean => {
  const status = tasks.get(taskOfAttemptKey(key));
  return status !== undefined && attemptKey(status.task, status.attempt) === key;
};
