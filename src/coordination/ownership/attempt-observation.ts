/** What the owner may conclude about an open attempt from the newest status of its worker. */
import { type AttemptNumber, attemptKey, type TaskId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import { isStartExcluded } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** What the newest status proves about an open attempt. */
export type AttemptObservation =
  /** Nothing: the worker has sent no status, hasn't reported our token, or is unresponsive. */
  | { readonly kind: "unknown" }
  /** The worker doesn't list it, and no start command for it can be executed any more. */
  | { readonly kind: "absent" }
  /** The worker doesn't list it, but a start command for it may still be executed. */
  | { readonly kind: "unsettled" }
  /** The worker lists it, with this status. */
  | { readonly kind: "present"; readonly status: TaskStatus };

/**
 * What the session proves about an attempt.
 *
 * @param key the attempt's key; pass it if it is at hand, so that it isn't built again
 */
export const observeAttempt = (
  session: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
  key = attemptKey(task, attempt),
): AttemptObservation => {
  if (session.state !== "ready") return { kind: "unknown" };
  const status = session.tasks.get(task);
  if (status !== undefined && status.attempt === attempt) return { kind: "present", status };
  return { kind: isStartExcluded(session, key) ? "absent" : "unsettled" };
};

/** Whether the worker still lists another attempt of the task, which can't be forgotten yet. */
export const isBlockedByEarlierAttempt = (
  session: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
): boolean => {
  const status = session.tasks.get(task);
  if (status === undefined || status.attempt === attempt) return false;
  return !isStartExcluded(session, attemptKey(task, status.attempt));
};
