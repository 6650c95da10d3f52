/**
 * How the start command of an attempt was sent, to tell whether it may still be in flight: a start
 * that arrives after its attempt was believed absent runs the task a second time.
 *
 * A start goes out in the answer to a heartbeat, in a direct call, or both. The answer is settled
 * by the next heartbeat, which the worker sends only after it has read the answer. A direct call
 * is settled by its own answer; one that was lost may be executed minutes later, until the worker
 * has shown a higher fencing token or a later epoch.
 */
import type { FencingToken } from "@umberfold/ids";

/** What became of the direct call that carried a start; `unsent` if none did. */
export type DirectDelivery = "unsent" | "pending" | "answered" | "lost";

/** How one attempt's start was sent. */
export interface StartDelivery {
  /** The session's count of heartbeats when an answer carried the start, or null. */
  readonly sentAtHeartbeatCount: number | null;
  readonly directDelivery: DirectDelivery;
  /** The token under which it was last sent. */
  readonly token: FencingToken;
}

/** The starts that must be remembered, by attempt key. */
export type StartDeliveries = ReadonlyMap<string, StartDelivery>;

/** What a session knows of the starts it sent. */
export interface DeliveryTracking {
  readonly startDeliveries: StartDeliveries;
  /** Heartbeats received in this session. */
  readonly heartbeatCount: number;
}

/** What happened to start commands. */
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

/** The deliveries of a session that sent no start. */
export const NO_DELIVERIES: StartDeliveries = new Map();

/** The one place where a delivery changes. Undefined: nothing of it needs to be remembered. */
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

/** The deliveries after something happened to these starts. */
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

/** The deliveries that fulfil a condition; the same object if all do. */
export const filterDeliveries = (
  deliveries: StartDeliveries,
  keep: (key: string, delivery: StartDelivery) => boolean,
): StartDeliveries => {
  if (deliveries.size === 0) return deliveries;
  const kept = [...deliveries].filter(([key, delivery]) => keep(key, delivery));
  return kept.length === deliveries.size ? deliveries : new Map(kept);
};

/** No start command for this attempt can still be in flight to the machine. */
export const isStartSettled = (session: DeliveryTracking, key: string): boolean => {
  const delivery = session.startDeliveries.get(key);
  if (delivery === undefined) return true;
  if (delivery.directDelivery === "pending" || delivery.directDelivery === "lost") return false;
  return (
    delivery.sentAtHeartbeatCount === null || session.heartbeatCount > delivery.sentAtHeartbeatCount
  );
};

/**
 * The attempt may be forgotten: neither can its start still be in flight, nor would a repetition
 * of it be executed. The worker knows an attempt only as long as it lists it; once forgotten, a
 * repeated direct start under the token in force would run it afresh, beside the one that was
 * opened elsewhere since. (A simulated day with repetitions ended with `ran_twice`.)
 */
export const canForgetAttempt = (session: DeliveryTracking, key: string): boolean =>
  isStartSettled(session, key) && session.startDeliveries.get(key)?.directDelivery !== "answered";

/** No start command at all can still be in flight to the machine. */
export const hasNoStartInFlight = (session: DeliveryTracking): boolean => {
  for (const key of session.startDeliveries.keys()) if (!isStartSettled(session, key)) return false;
  return true;
};
