/**
 * Tracks how the start command of an attempt was sent, to tell whether it may still be in flight. A
 * start that arrives after its attempt was concluded to be absent would run the task a second time.
 *
 * A start is sent in the response to a heartbeat, in a direct call, or in both. The start in a
 * response is settled (can no longer arrive) once the next heartbeat is received, because the
 * worker sends that only after reading the response. The start in a direct call is settled when the
 * call is answered. If the call was lost, it may be executed even minutes later, until the worker
 * has reported a higher fencing token or a later epoch.
 */
import type { FencingToken } from "@umberfold/ids";

/** The state of the last direct call that carried a start; `unsent` if there was none. */
export type DirectDelivery = "unsent" | "pending" | "answered" | "lost";

/** How one attempt's start was sent. */
export interface StartDelivery {
  /** The session's heartbeat count when a heartbeat response carried the start, or null. */
  readonly sentAtHeartbeatCount: number | null;
  readonly directDelivery: DirectDelivery;
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

/** What happened to a message that carried start commands. */
export type StartDeliveryEvent =
  | {
      readonly kind: "heartbeat_answered";
      readonly heartbeatCount: number;
      readonly token: FencingToken;
    }
  | { readonly kind: "command_sent"; readonly token: FencingToken }
  | { readonly kind: "command_answered" }
  | { readonly kind: "command_not_sent" }
  | { readonly kind: "command_lost" };

/** The deliveries of a session that has sent no starts. */
export const NO_DELIVERIES: StartDeliveries = new Map();

/** The only function that changes a delivery. Undefined if nothing needs to be remembered. */
export const stepStartDelivery = (
  delivery: StartDelivery | undefined,
  event: StartDeliveryEvent,
): StartDelivery | undefined => {
  switch (event.kind) {
    case "heartbeat_answered":
      return {
        sentAtHeartbeatCount: event.heartbeatCount,
        directDelivery: delivery?.directDelivery ?? "unsent",
        token: event.token,
      };
    case "command_sent":
      return {
        sentAtHeartbeatCount: delivery?.sentAtHeartbeatCount ?? null,
        directDelivery: "pending",
        token: event.token,
      };
    case "command_answered":
      return delivery && { ...delivery, directDelivery: "answered" };
    case "command_not_sent":
      if (delivery === undefined || delivery.sentAtHeartbeatCount === null) return undefined;
      return { ...delivery, directDelivery: "unsent" };
    case "command_lost":
      return delivery && { ...delivery, directDelivery: "lost" };
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

/** Whether no start command for this attempt can still be in flight to the machine. */
export const isStartSettled = (session: DeliveryTracking, key: string): boolean => {
  const delivery = session.startDeliveries.get(key);
  if (delivery === undefined) return true;
  if (delivery.directDelivery === "pending" || delivery.directDelivery === "lost") return false;
  return (
    delivery.sentAtHeartbeatCount === null || session.heartbeatCount > delivery.sentAtHeartbeatCount
  );
};

/**
 * Whether the worker may be told to forget the attempt: its start can't be in flight any more, and
 * a duplicate of it wouldn't be executed. A worker ignores a duplicate start only while it lists
 * the attempt. If the attempt were forgotten, a duplicated direct call under the current token
 * would run it again, beside a later attempt of the task on another machine. (A simulated day with
 * duplicated calls failed with `ran_twice`.)
 */
export const canForgetAttempt = (session: DeliveryTracking, key: string): boolean =>
  isStartSettled(session, key) && session.startDeliveries.get(key)?.directDelivery !== "answered";

/** Whether no start command of any attempt can still be in flight to the machine. */
export const hasNoStartInFlight = (session: DeliveryTracking): boolean => {
  for (const key of session.startDeliveries.keys()) if (!isStartSettled(session, key)) return false;
  return true;
};
