/**
 * When a machine's fencing token must be raised, or is worth raising. A worker that has seen a
 * higher token rejects every start that was sent under a lower one, so such starts no longer have
 * to be remembered.
 */
import { type AttemptNumber, attemptKey, type TaskId } from "@umberfold/ids";
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
 * A start was lost under the current token: only a higher one makes absence conclusive again. Not
 * if another call with it was answered: while the worker lists the attempt, copies are ignored.
 */
export const mustRaiseToken = (session: WorkerSession): boolean => {
  for (const { hasAnsweredCall, hasLostCall, token } of session.startDeliveries.values())
    if (hasLostCall && !hasAnsweredCall && token === session.token) return true;
  return false;
};

/**
 * Whether an open attempt was started and the worker doesn't list it, as when its process was
 * restarted: only a higher token makes its absence conclusive, because a duplicate of its start
 * would be executed.
 *
 * @param key the attempt's key
 */
export const isExecutedButNotListed = (
  session: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
  key: string,
): boolean => {
  if (session.tasks.get(task)?.attempt === attempt) return false;
  const delivery = session.startDeliveries.get(key);
  return delivery?.hasAnsweredCall === true && delivery.token === session.token;
};
