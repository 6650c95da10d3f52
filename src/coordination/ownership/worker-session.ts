/**
 * The owner's view of one worker: a state machine with one transition function,
 * `stepWorkerSession`, without I/O and without a clock of its own.
 *
 *     unknown --status_received--> fencing --status_received (our token)--> ready
 *     fencing, ready --token_assigned--> fencing     any --became_unresponsive--> unresponsive
 *
 * What must hold: only in `ready` may anything be concluded from an attempt's absence, or be
 * started; and a start that may be in flight is never forgotten (see start-delivery.ts).
 */
import type { FencingToken, MonotonicMs, TaskId } from "@umberfold/ids";
import type { TaskStatus, WorkerStatus } from "../../protocol/workers.js";
import {
  canForgetAttempt,
  filterDeliveries,
  NO_DELIVERIES,
  type StartDeliveries,
  type StartDeliveryEvent,
  stepStartDeliveries,
} from "./start-delivery.js";

/**
 * `unknown`: no status yet since this controller owns the machine. `fencing`: it has sent one, but the highest
 * token it has seen is below ours, so commands of an earlier owner may still be executed, and
 * nothing may be started or believed absent. `ready`: it has shown our token: no older command can
 * be executed, and its newest status is the whole truth. `unresponsive`: the failure detector gave
 * it up.
 */
export type WorkerSessionState = "unknown" | "fencing" | "ready" | "unresponsive";

/** One worker as its owner sees it; never changed in place. */
export interface WorkerSession {
  readonly state: WorkerSessionState;
  /** The fencing token under which it is commanded. */
  readonly token: FencingToken;
  /** Its newest status, by epoch and sequence, or undefined before the first. */
  readonly status: WorkerStatus | undefined;
  /** The tasks in that status. */
  readonly tasks: ReadonlyMap<TaskId, TaskStatus>;
  /** When its newest status arrived, or when silence began to count anew. */
  readonly lastHeardAt: MonotonicMs;
  /** Heartbeats received in this session, without those that came late. */
  readonly heartbeatCount: number;
  /** Start commands that may still be in flight, or be executed if they are repeated. */
  readonly startDeliveries: StartDeliveries;
}

/** All that may change a session. `starts` are keys of attempts whose start was in a message. */
export type WorkerSessionEvent =
  /** Our token for the machine is now this one: after a failover, a transfer or a token raise. */
  | { readonly kind: "token_assigned"; readonly token: FencingToken; readonly now: MonotonicMs }
  /** A status arrived, be it in a heartbeat or in the answer to a direct call. */
  | {
      readonly kind: "status_received";
      readonly status: WorkerStatus;
      readonly via: "heartbeat" | "direct";
      readonly now: MonotonicMs;
    }
  /** A heartbeat is being answered. */
  | { readonly kind: "heartbeat_answered"; readonly starts: readonly string[] }
  /** A direct call is being sent. */
  | { readonly kind: "command_sent"; readonly starts: readonly string[] }
  /** It was executed. */
  | { readonly kind: "command_answered"; readonly starts: readonly string[] }
  /** It never left, or the worker executed nothing of it. */
  | { readonly kind: "command_not_sent"; readonly starts: readonly string[] }
  /** Nobody knows: it may be executed minutes later. */
  | { readonly kind: "command_lost"; readonly starts: readonly string[] }
  /** The failure detector gave the machine up. */
  | { readonly kind: "became_unresponsive" }
  /** The controller itself was paused or cut off: silence until now says nothing. */
  | { readonly kind: "timers_reset"; readonly now: MonotonicMs };

type StatusReceived = Extract<WorkerSessionEvent, { kind: "status_received" }>;

const NO_TASKS: ReadonlyMap<TaskId, TaskStatus> = new Map();

/** The session of a machine that is commanded under this token from now on. */
export const newWorkerSession = (token: FencingToken, now: MonotonicMs): WorkerSession => ({
  state: "unknown",
  token,
  status: undefined,
  tasks: NO_TASKS,
  lastHeardAt: now,
  heartbeatCount: 0,
  startDeliveries: NO_DELIVERIES,
});

/** The order of a worker's statuses. */
interface StatusOrder {
  readonly epoch: number;
  readonly sequence: number;
}

/** Whether the worker made `status` after `other`; they may arrive in any order. */
const isNewer = (status: StatusOrder, other: StatusOrder | undefined): boolean =>
  other === undefined ||
  status.epoch > other.epoch ||
  (status.epoch === other.epoch && status.sequence > other.sequence);

/** Start commands that may matter yet, once this status has arrived. */
const deliveriesAfterStatus = (session: WorkerSession, status: WorkerStatus): StartDeliveries => {
  // With a new epoch the worker killed and forgot all, and drops commands meant for earlier ones.
  if (session.status !== undefined && status.epoch > session.status.epoch) return NO_DELIVERIES;
  if (status.token < session.token) return session.startDeliveries;
  // Commands under a token below the one that it has seen can't be executed any more.
  return filterDeliveries(session.startDeliveries, (_, { token }) => token >= session.token);
};

const onTokenAssigned = (
  session: WorkerSession,
  token: FencingToken,
  now: MonotonicMs,
): WorkerSession => {
  if (token === session.token) return session;
  const state = session.status === undefined ? "unknown" : "fencing";
  return { ...session, token, state, lastHeardAt: now };
};

const onStatusReceived = (
  session: WorkerSession,
  { status, via, now }: StatusReceived,
): WorkerSession => {
  if (!isNewer(status, session.status)) return session;
  const next: WorkerSession = {
    ...session,
    state: status.token >= session.token ? "ready" : "fencing",
    status,
    tasks: new Map(status.tasks.map((task) => [task.task, task])),
    lastHeardAt: now,
    heartbeatCount: via === "heartbeat" ? session.heartbeatCount + 1 : session.heartbeatCount,
    startDeliveries: deliveriesAfterStatus(session, status),
  };
  // What is settled need not be remembered, or it grows with every task ever started there; but
  // what was answered may be repeated, and is remembered until the token has risen.
  const startDeliveries = filterDeliveries(
    next.startDeliveries,
    (key) => !canForgetAttempt(next, key),
  );
  return startDeliveries === next.startDeliveries ? next : { ...next, startDeliveries };
};

const onDeliveryEvent = (
  session: WorkerSession,
  starts: readonly string[],
  event: StartDeliveryEvent,
): WorkerSession => {
  const startDeliveries = stepStartDeliveries(session.startDeliveries, starts, event);
  return startDeliveries === session.startDeliveries ? session : { ...session, startDeliveries };
};

/** The one place where a session changes. The same object if nothing did. */
export const stepWorkerSession = (
  session: WorkerSession,
  event: WorkerSessionEvent,
): WorkerSession => {
  const { token, heartbeatCount } = session;
  switch (event.kind) {
    case "token_assigned":
      return onTokenAssigned(session, event.token, event.now);
    case "status_received":
      return onStatusReceived(session, event);
    case "heartbeat_answered":
      return onDeliveryEvent(session, event.starts, { kind: event.kind, heartbeatCount, token });
    case "command_sent":
      return onDeliveryEvent(session, event.starts, { kind: event.kind, token });
    case "command_answered":
    case "command_not_sent":
    case "command_lost":
      return onDeliveryEvent(session, event.starts, { kind: event.kind });
    case "became_unresponsive":
      return session.state === "unresponsive" ? session : { ...session, state: "unresponsive" };
    case "timers_reset":
      return { ...session, lastHeardAt: event.now };
  }
};
