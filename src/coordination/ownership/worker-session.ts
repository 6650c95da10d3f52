/**
 * The owner's view of one worker: a state machine with one transition function,
 * `stepWorkerSession`, which does no I/O and reads no clock.
 *
 *     unknown --status_received--> fencing --status_received (our token)--> ready
 *     fencing, ready --token_assigned--> fencing     any --became_unresponsive--> unresponsive
 *
 * A status with our token or a higher one leads to `ready` from any state, one with a lower token
 * to `fencing`.
 *
 * Invariants: only in `ready` may an attempt be started, or anything be concluded from an attempt's
 * absence. A start that may be in flight is never forgotten (see start-delivery.ts).
 */
import type { FencingToken, MonotonicMs, TaskId } from "@umberfold/ids";
import type { TaskStatus, WorkerStatus } from "../../protocol/workers.js";
import {
  filterDeliveries,
  isStartExcluded,
  NO_DELIVERIES,
  type StartDeliveries,
  type StartDeliveryEvent,
  stepStartDeliveries,
} from "./start-delivery.js";

/**
 * `unknown`: the worker has sent no status since this controller began the session. `fencing`: it
 * has sent one, but the highest token that it has seen is below ours. Commands of an earlier owner
 * may still be executed, so nothing may be started or concluded to be absent. `ready`: it has
 * reported our token, so it rejects commands under lower ones, and its newest status is conclusive.
 * `unresponsive`: the failure detector has declared the machine failed.
 */
export type WorkerSessionState = "unknown" | "fencing" | "ready" | "unresponsive";

/** The owner's view of one worker; immutable. */
export interface WorkerSession {
  readonly state: WorkerSessionState;
  /** The fencing token under which commands are sent to it. */
  readonly token: FencingToken;
  /** Its newest status by epoch and sequence, or undefined before the first. */
  readonly status: WorkerStatus | undefined;
  /** The tasks in that status. */
  readonly tasks: ReadonlyMap<TaskId, TaskStatus>;
  /** When its newest status arrived, or when the measurement of its silence was restarted. */
  readonly lastHeardAt: MonotonicMs;
  /** How many heartbeats arrived in this session, without those older than the newest status. */
  readonly heartbeatCount: number;
  /** Start commands that may still be in flight, or whose duplicates may still be executed. */
  readonly startDeliveries: StartDeliveries;
}

/** The outcome of a direct call may arrive in a later session than the one it was sent in. */
interface CallOutcome {
  readonly starts: readonly string[];
  /** The fencing token under which the call was sent. */
  readonly token: FencingToken;
}

/** The events of a session. `starts`: the keys of the attempts whose start is in the message. */
export type WorkerSessionEvent =
  /** Our token for the machine has changed, after a failover, a transfer or a token raise. */
  | { readonly kind: "token_assigned"; readonly token: FencingToken; readonly now: MonotonicMs }
  /** A status arrived, in a heartbeat or in the answer to a direct call. */
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
  /** The direct call was answered: its commands were executed. `token`: under which it was sent. */
  | (CallOutcome & { readonly kind: "command_answered" })
  /** The direct call was never sent, or the worker refused it and executed none of its commands. */
  | (CallOutcome & { readonly kind: "command_not_sent" })
  /** The outcome of the direct call is unknown: it may still be executed minutes later. */
  | (CallOutcome & { readonly kind: "command_lost" })
  /** The failure detector has declared the machine failed. */
  | { readonly kind: "became_unresponsive" }
  /** The controller itself was paused or disconnected, so silence until now is no evidence. */
  | { readonly kind: "timers_reset"; readonly now: MonotonicMs };

type CallOutcomeEvent = Extract<WorkerSessionEvent, CallOutcome>;
type StatusReceived = Extract<WorkerSessionEvent, { kind: "status_received" }>;

const NO_TASKS: ReadonlyMap<TaskId, TaskStatus> = new Map();

/** The initial session of a machine that is commanded under this token. */
export const newWorkerSession = (token: FencingToken, now: MonotonicMs): WorkerSession => ({
  state: "unknown",
  token,
  status: undefined,
  tasks: NO_TASKS,
  lastHeardAt: now,
  heartbeatCount: 0,
  startDeliveries: NO_DELIVERIES,
});

/**
 * A new session of a machine whose earlier one had the same token: it remembers the starts that
 * were sent in the earlier one.
 */
export const resumedWorkerSession = (
  session: WorkerSession,
  { heartbeatCount, startDeliveries }: WorkerSession,
): WorkerSession => ({ ...session, heartbeatCount, startDeliveries });

/** What orders the statuses of one worker. */
interface StatusOrder {
  readonly epoch: number;
  readonly sequence: number;
}

/** Whether the worker created `status` after `other`; statuses may arrive out of order. */
const isNewer = (status: StatusOrder, other: StatusOrder | undefined): boolean =>
  other === undefined ||
  status.epoch > other.epoch ||
  (status.epoch === other.epoch && status.sequence > other.sequence);

/** The deliveries that still have to be remembered once this status has arrived. */
const deliveriesAfterStatus = (session: WorkerSession, status: WorkerStatus): StartDeliveries => {
  // At the start of an epoch the worker killed and forgot all attempts, and it rejects commands
  // that name an earlier epoch.
  if (session.status !== undefined && status.epoch > session.status.epoch) return NO_DELIVERIES;
  if (status.token < session.token) return session.startDeliveries;
  // Commands under a token below the highest one that the worker has seen are rejected.
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
  // Excluded starts are dropped; otherwise the map would grow with every task ever started there.
  const startDeliveries = filterDeliveries(
    next.startDeliveries,
    (key) => !isStartExcluded(next, key),
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

const onCallOutcome = (
  session: WorkerSession,
  { kind, starts, token }: CallOutcomeEvent,
): WorkerSession => {
  // The worker is `ready` only once it rejects calls under a token below ours.
  if (token < session.token) return session;
  return onDeliveryEvent(session, starts, { kind, token });
};

/** The only function that changes a session. Returns the same object if nothing changed. */
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
      return onCallOutcome(session, event);
    case "became_unresponsive":
      return session.state === "unresponsive" ? session : { ...session, state: "unresponsive" };
    case "timers_reset":
      return { ...session, lastHeardAt: event.now };
  }
};
