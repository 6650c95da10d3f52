/**
 * Worker statuses and session events for the tests of sessions and of what is derived from them.
 */
import {
  attemptKey,
  attemptNumber,
  fencingToken,
  machineId,
  monotonicMs,
  type TaskId,
} from "@umberfold/ids";
import {
  newWorkerSession,
  stepWorkerSession,
  type WorkerSession,
  type WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import type { EndCause, TaskPhase, WorkerStatus } from "../../../src/protocol/workers.js";

/** The task that all cases use. */
export const TASK = "wk-000001/0" as TaskId;
/** The key of its first attempt. */
export const KEY = attemptKey(TASK, attemptNumber(1));

/** One attempt in a worker's status: task, attempt, phase and, if it has ended, the cause. */
export type AttemptRow = readonly [TaskId, number, TaskPhase, EndCause?];

/** A worker's status; `seenToken` is the highest fencing token that it has seen. */
export const statusOf = (
  epoch: number,
  sequence: number,
  seenToken: number,
  attempts: readonly AttemptRow[] = [],
): WorkerStatus => ({
  machine: machineId("m-000001"),
  endpoint: "10.0.0.9:1",
  type: "t",
  zone: "z",
  spot: false,
  epoch,
  sequence,
  token: fencingToken(seenToken),
  preemptionNoticeS: null,
  tasks: attempts.map(([task, attempt, phase, cause]) => ({
    task,
    attempt: attemptNumber(attempt),
    phase,
    ...(cause === undefined ? {} : { cause }),
    saved: false,
  })),
});

/** The event of a status that arrived. */
export const received = (
  status: WorkerStatus,
  via: "heartbeat" | "direct" = "heartbeat",
): WorkerSessionEvent => ({ kind: "status_received", status, via, now: monotonicMs(0) });

/** The event of the outcome of a direct call that carried the first attempt's start. */
export const callOutcome = (
  kind: "command_answered" | "command_not_sent" | "command_lost",
  token = 10,
): WorkerSessionEvent => ({ kind, starts: [KEY], token: fencingToken(token) });

/** The session of a machine commanded under this token, after these events. */
export const sessionAfter = (token: number, events: readonly WorkerSessionEvent[]): WorkerSession =>
  events.reduce(stepWorkerSession, newWorkerSession(fencingToken(token), monotonicMs(0)));
