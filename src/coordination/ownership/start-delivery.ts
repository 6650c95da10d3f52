/**
 * Tracks how the start command of an attempt was sent, to tell whether a copy of it may still be
 * executed. A start that is executed after its attempt was concluded to be absent, or after the
 * worker was told to forget it, would run the task a second time.
 *
 * A start is sent in the response to a heartbeat, in direct calls, or in both:
 *
 * - The start in a response can no longer arrive once the next heartbeat is received, because the
 *   worker sends that only after reading or dropping the response.
 * - A direct call that was lost may be executed minutes later. One that was answered was executed,
 *   and a duplicate of it may be executed again; the worker ignores that only while it lists the
 *   attempt. Both are excluded only once the worker has reported a higher fencing token or a later
 *   epoch: it rejects calls under a lower token and calls for an earlier epoch.
 *
 * So a delivery remembers what became of all its direct calls, not only of the last one. (A call
 * was lost, its repetition was refused a connection, and the first one started the task beside its
 * successor 15 s later.)
 */
import type { FencingToken } from "@umberfold/ids";

/** How one attempt's start was sent. All its calls had the same fencing token. */
export interface StartDelivery {
  /** The session's heartbeat count when a heartbeat response carried the start, or null. */
  readonly sentAtHeartbeatCount: number | null;
  /** Whether a direct call with the start is in flight; at most one is. */
  readonly isCallPending: boolean;
  /** Whether a direct call with the start was answered, so that a duplicate may be executed. */
  readonly hasAnsweredCall: boolean;
  /** Whether a direct call with the start got no answer, so that it may be executed later. */
  readonly hasLostCall: boolean;
  /** The fencing token under which it was last sent. */
  readonly token: FencingToken;
}

/** The deliveries that must be remembered, by attempt key. */
export type StartDeliveries = ReadonlyMap<string, StartDelivery>;

/** What a worker session knows about the starts it sent. */
export interface DeliveryTracking {
  readonly startDeliveries: StartDeliveries;
  /** How many heartbeats were received in this session. */
  readonly heartbeatCount: number;
}

/** What happened to a message that carried start commands; `token` is the message's. */
export type StartDeliveryEvent =
  | {
      readonly kind: "heartbeat_answered";
      readonly heartbeatCount: number;
      readonly token: FencingToken;
    }
  | { readonly kind: "command_sent"; readonly token: FencingToken }
  | { readonly kind: "command_answered"; readonly token: FencingToken }
  | { readonly kind: "command_not_sent"; readonly token: FencingToken }
  | { readonly kind: "command_lost"; readonly token: FencingToken };

/** The deliveries of a session that has sent no starts. */
export const NO_DELIVERIES: StartDeliveries = new Map();

const newDelivery = (token: FencingToken): StartDelivery => ({
  sentAtHeartbeatCount: null,
  isCallPending: false,
  hasAnsweredCall: false,
  hasLostCall: false,
  token,
});

/** The delivery after a direct call that was not executed; undefined if no other was sent. */
const afterCallNotSent = (delivery: StartDelivery): StartDelivery | undefined => {
  const { sentAtHeartbeatCount, hasAnsweredCall, hasLostCall } = delivery;
  const hasOther = sentAtHeartbeatCount !== null || hasAnsweredCall || hasLostCall;
  return hasOther ? { ...delivery, isCallPending: false } : undefined;
};

/** The only function that changes a delivery. Undefined if nothing needs to be remembered. */
export const stepStartDelivery = (
  delivery: StartDelivery | undefined,
  event: StartDeliveryEvent,
): StartDelivery | undefined => {
  const { token } = event;
  const current = delivery ?? newDelivery(token);
  switch (event.kind) {
    case "heartbeat_answered":
      return { ...current, sentAtHeartbeatCount: event.heartbeatCount, token };
    case "command_sent":
      return { ...current, isCallPending: true, token };
    case "command_answered":
      return { ...current, isCallPending: false, hasAnsweredCall: true };
    case "command_not_sent":
      return afterCallNotSent(current);
    case "command_lost":
      return { ...current, isCallPending: false, hasLostCall: true };
  }
};

/** The deliveries after the event was applied to the attempts whose keys are in `starts`. */
export const stepStartDeliveries = (
  deliveries: StartDeliveries,
  starts: readonly string[],
  event: StartDeliveryEvent,
): StartDeliveries => {
  if (starts.length === 0) return deliveries;
  const next = new Map(deliveries);
  for (const key of starts) {
    const delivery = stepStartDelivery(next.get(key), event);
    if (delivery === undefined) next.delete(key);
    else next.set(key, delivery);
  }
  return next;
};

/** The deliveries for which `keep` is true; the same object if that is all of them. */
export const filterDeliveries = (
  deliveries: StartDeliveries,
  keep: (key: string, delivery: StartDelivery) => boolean,
): StartDeliveries => {
  if (deliveries.size === 0) return deliveries;
  const kept = [...deliveries].filter(([key, delivery]) => keep(key, delivery));
  return kept.length === deliveries.size ? deliveries : new Map(kept);
};

/** Whether every message that carried this start has arrived or can't arrive any more. */
const isSettled = (delivery: StartDelivery, heartbeatCount: number): boolean => {
  const { sentAtHeartbeatCount, isCallPending, hasLostCall } = delivery;
  if (isCallPending || hasLostCall) return false;
  return sentAtHeartbeatCount === null || heartbeatCount > sentAtHeartbeatCount;
};

/**
 * Whether no start command of this attempt can be executed any more: none is in flight, and the
 * worker would reject a duplicate. Only then may the attempt be concluded to be absent if the
 * worker does not list it, and be forgotten if it does.
 */
export const isStartExcluded = (session: DeliveryTracking, key: string): boolean => {
  const delivery = session.startDeliveries.get(key);
  if (delivery === undefined) return true;
  return isSettled(delivery, session.heartbeatCount) && !delivery.hasAnsweredCall;
};

/** Whether no start command of any attempt can still be in flight to the machine. */
export const hasNoStartInFlight = (session: DeliveryTracking): boolean => {
  for (const delivery of session.startDeliveries.values())
    if (!isSettled(delivery, session.heartbeatCount)) return false;
  return true;
};
