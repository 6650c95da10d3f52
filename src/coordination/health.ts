import type { Mono } from "../protocol/ids.js";

/**
 * How this controller stands with the state service.
 *
 * `served`: it answers. `outage`: it refuses, and as far as is known it refuses everybody: what is
 * held stays held, for every lease has its full time again afterwards. `alone`: others are served,
 * or nobody at all can be reached: what is held here is lapsing, and others will take it.
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
  /** Of the other controllers: how many say that they are served, and how many answered at all. */
  readonly peersServed: number;
  readonly peersHeard: number;
}

/** Calls answer within milliseconds, now and then a few hundred: less than this is no trouble. */
export const TROUBLE_MS = 1200;

/** The one place where a standing changes. */
export const stepHealth = (h: Health, e: Evidence): Health => {
  const failing = Math.max(e.refusedAt, e.unansweredAt) > e.answeredAt;
  if (!failing) return h.standing === "served" ? h : HEALTHY;
  const since = h.since ?? e.now;
  if (e.now - since < TROUBLE_MS) return { standing: h.standing, since };
  // An outage answers 503 to everybody. Refused while another is served, it is ours alone; with
  // neither the service nor any other controller to be reached, so is the cut.
  const cut = e.unansweredAt > e.refusedAt && e.peersHeard === 0;
  const alone = e.peersServed > 0 || cut;
  return { standing: alone ? "alone" : "outage", since };
};
