/** What the owner may conclude about an attempt from the newest status of its worker. */
import { type AttemptNumber, attemptKey, type TaskId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import { canForgetAttempt, isStartSettled } from "./start-delivery.js";
import type { WorkerSession } from "./worker-session.js";

/** What is proved of an open attempt. */
export type AttemptObservation =
  /** Nothing: the worker has sent no status, or has not shown our token. */
  | { readonly kind: "unknown" }
  /** It is not there, and no command for it can still be in flight. */
  | { readonly kind: "absent" }
  /** It is not there, but a start command may still arrive. */
  | { readonly kind: "unsettled" }
  /** It is there, in this phase. */
  | { readonly kind: "present"; readonly status: TaskStatus };

/** @param key the attempt's key, for those who have it at hand */
export const observeAttempt = (
  session: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
  key = attemptKey(task, attempt),
): AttemptObservation => {
  if (session.state !== "ready") return { kind: "unknown" };
  const status = session.tasks.get(task);
  if (status !== undefined && status.attempt === attempt) return { kind: "present", status };
  return { kind: isStartSettled(session, key) ? "absent" : "unsettled" };
};

/** An earlier attempt of the task is still known to the worker and can't be forgotten yet. */
export const isBlockedByEarlierAttempt = (
  session: WorkerSession,
  task: TaskId,
  attempt: AttemptNumber,
): boolean => {
  const status = session.tasks.get(task);
  if (status === undefined || status.attempt === attempt) return false;
  return !canForgetAttempt(session, attemptKey(task, status.attempt));
};
