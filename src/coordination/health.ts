import type { Mono } from "../protocol/ids.js";

/**
 * How this controller stands with the state service.
 *
 * `served`: it answers. `outage`: it refuses, and as far as is known it refuses everybody: what is
 * held stays held, for every lease has its full time again afterwards. `alone`: others are served,
 * or it can't be reached from here: what is held here is lapsing, and others will take it.
 */
export type Standing = "served" | "outage" | "alone";

export interface Health {
  readonly standing: Standing;
  /** Since when the state service has not served us; unset while it does. */
  readonly since: Mono | undefined;
}

export const HEALTHY: Health = { standing: "served", since: undefined };

/** What is known of the state service, by our own calls and by the other controllers' word. */
export interface Evidence {
  readonly now: Mono;
  readonly answeredAt: Mono;
  readonly refusedAt: Mono;
  readonly unansweredAt: Mono;
  /** How many of the other controllers say that they are served. */
  readonly peersServed: number;
}

/**
 * Calls answer within milliseconds, now and then a few hundred. In less time than this the others
 * may not have noticed an outage themselves, and would say that they are served.
 */
export const TROUBLE_MS = 2500;

/** The one place where a standing changes. */
export const stepHealth = (h: Health, e: Evidence): Health => {
  const failing = Math.max(e.refusedAt, e.unansweredAt) > e.answeredAt;
  if (!failing) return h.standing === "served" ? h : HEALTHY;
  const since = h.since ?? e.now;
  if (e.now - since < TROUBLE_MS) return { standing: h.standing, since };
  // An outage answers 503 to everybody. Refused while another is served, it is ours alone; and so
  // is a cut, whichever other controllers are behind it with us.
  const alone = e.peersServed > 0 || e.unansweredAt > e.refusedAt;
  return { standing: alone ? "alone" : "outage", since };
};
