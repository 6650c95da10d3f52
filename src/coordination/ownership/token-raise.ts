/**
 * When a machine's fencing token has to rise, or is worth raising: a worker that has shown a
 * higher token can't execute any start that was sent under a lower one.
 */
import { attemptKey } from "@umberfold/ids";
import { canForgetAttempt } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** Ended attempts that wait for a higher token to be forgotten: so many make it worth raising. */
const MIN_BLOCKED_ATTEMPTS_FOR_RAISE = 16;

/** So many ended attempts can't be forgotten that a write for a higher token pays. */
export const shouldRaiseToken = (session: WorkerSession): boolean => {
  if (session.startDeliveries.size < MIN_BLOCKED_ATTEMPTS_FOR_RAISE) return false;
  let blockedCount = 0;
  for (const { task, attempt, phase } of session.tasks.values())
    if (phase === "ended" && !canForgetAttempt(session, attemptKey(task, attempt))) blockedCount++;
  return blockedCount >= MIN_BLOCKED_ATTEMPTS_FOR_RAISE;
};

/** A start was lost under the token in force: it must rise before absence proves anything. */
export const mustRaiseToken = (session: WorkerSession): boolean => {
  for (const { directDelivery, token } of session.startDeliveries.values())
    if (directDelivery === "lost" && token === session.token) return true;
  return false;
};
