import type { Mono } from "@umberfold/ids";

/**
 * How this controller stands with the state service.
 *
 * `served`: it answers. `outage`: it refuses, and as far as is known it refuses everybody, or all
 * controllers are cut off from it together: what is held stays held, for nobody can take it.
 * `alone`: others are served, or may be, while it can't be reached from here: what is held here is
 * lapsing, and others will take it. `waking`: this process stood still, or was cut off: what it
 * holds may have been taken meanwhile, and it acts on none of it until the state service has shown
 * that it still does.
 */
export type Standing = "served" | "outage" | "alone" | "waking";

export interface Health {
  readonly standing: Standing;
  /** Since when the state service has not served us; unset while it does. */
  readonly since: Mono | undefined;
  /** The last time after which what was held had to be shown anew. */
  readonly wokeAt: Mono | undefined;
}

export const HEALTHY: Health = { standing: "served", since: undefined, wokeAt: undefined };

/** What is known of the state service, by our own calls and by what the other controllers say. */
export interface Evidence {
  readonly now: Mono;
  readonly answeredAt: Mono;
  readonly refusedAt: Mono;
  readonly unansweredAt: Mono;
  /** How many other controllers there are, and how many say that they are served, or are not. */
  readonly peers: number;
  readonly peersServed: number;
  readonly peersUnserved: number;
  /** This process has just found that it stood still. */
  readonly woke: boolean;
  /** When the last question was sent whose answer showed what is held. */
  readonly confirmedAt: Mono;
}

/**
 * Calls answer within milliseconds, now and then a few hundred. In less time than this the others
 * may not have noticed an outage themselves, and would say that they are served.
 */
export const TROUBLE_MS = 2500;

/** The one place where a standing changes. */
export const stepHealth = (h: Health, e: Evidence): Health => {
  const failing = Math.max(e.refusedAt, e.unansweredAt) > e.answeredAt;
  const cut = e.unansweredAt > e.refusedAt;
  const since = failing ? (h.since ?? e.now) : undefined;
  // Out before it stood still and still out: nobody was served in between.
  const stillOut = h.standing === "outage" && failing && !cut;
  const leftCut = !failing && (h.standing === "alone" || (h.standing === "outage" && cut));
  const wokeAt = (e.woke && !stillOut) || leftCut ? e.now : h.wokeAt;
  const shown = wokeAt === undefined || e.confirmedAt >= wokeAt;
  const be = (standing: Standing): Health => ({
    standing: shown || standing === "alone" ? standing : "waking",
    since,
    wokeAt: shown ? undefined : wokeAt,
  });
  if (since === undefined) return be("served");
  if (e.now - since < TROUBLE_MS) return be(h.standing === "waking" ? "served" : h.standing);
  // An outage answers 503 to everybody. Refused while another is served, it is ours alone; and so
  // is a cut, unless all others say that they are behind it with us: then nobody can take over.
  const together = e.peersUnserved === e.peers;
  return be(e.peersServed > 0 || (cut && !together) ? "alone" : "outage");
};
