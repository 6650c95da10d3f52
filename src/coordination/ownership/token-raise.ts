/**
 * When a machine's fencing token must be raised, or is worth raising. A worker that has seen a
 * higher token rejects every start that was sent under a lower one, so such starts no longer have
 * to be remembered.
 */
import { attemptKey } from "@umberfold/ids";
import { canForgetAttempt } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** This many ended attempts that only a higher token allows to be forgotten justify a raise. */
const MIN_BLOCKED_ATTEMPTS_FOR_RAISE = 16;

/** Enough ended attempts can't be forgotten to justify the write that raises the token. */
export const shouldRaiseToken = (session: WorkerSession): boolean => {
  if (session.startDeliveries.size < MIN_BLOCKED_ATTEMPTS_FOR_RAISE) return false;
  let blockedCount = 0;
  for (const { task, attempt, phase } of session.tasks.values())
    if (phase === "ended" && !canForgetAttempt(session, attemptKey(task, attempt))) blockedCount++;
  return blockedCount >= MIN_BLOCKED_ATTEMPTS_FOR_RAISE;
};

/** A start was lost under the current token: only a higher one makes absence conclusive again. */
export const mustRaiseToken = (session: WorkerSession): boolean => {
  for (const { directDelivery, token } of session.startDeliveries.values())
    if (directDelivery === "lost" && token === session.token) return true;
  return false;
};
