import type { MonotonicMs } from "@umberfold/ids";

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
export type StoreAvailability = "available" | "outage" | "isolated" | "resuming";

export interface AvailabilityState {
  readonly availability: StoreAvailability;
  /** Since when the state service has not served us; unset while it does. */
  readonly failingSince: MonotonicMs | undefined;
  /** The last time after which what was held had to be shown anew. */
  readonly resumedAt: MonotonicMs | undefined;
}

export const INITIAL_AVAILABILITY: AvailabilityState = {
  availability: "available",
  failingSince: undefined,
  resumedAt: undefined,
};

/** What is known of the state service, by our own calls and by what the other controllers say. */
export interface AvailabilityEvidence {
  readonly now: MonotonicMs;
  readonly answeredAt: MonotonicMs;
  readonly refusedAt: MonotonicMs;
  readonly unansweredAt: MonotonicMs;
  /** How many other controllers there are, and how many say that they are served, or are not. */
  readonly peers: number;
  readonly peersAvailable: number;
  readonly peersUnavailable: number;
  /** This process has just found that it stood still. */
  readonly resumed: boolean;
  /** When the last question was sent whose answer showed what is held. */
  readonly ownershipConfirmedAt: MonotonicMs;
}

/**
 * Calls answer within milliseconds, now and then a few hundred. In less time than this the others
 * may not have noticed an outage themselves, and would say that they are served.
 */
export const OUTAGE_CONFIRMATION_MS = 2500;

/** The one place where a standing changes. */
export const stepAvailability = (
  h: AvailabilityState,
  e: AvailabilityEvidence,
): AvailabilityState => {
  const failing = Math.max(e.refusedAt, e.unansweredAt) > e.answeredAt;
  const cut = e.unansweredAt > e.refusedAt;
  const failingSince = failing ? (h.failingSince ?? e.now) : undefined;
  // Out before it stood still and still out: nobody was served in between.
  const stillOut = h.availability === "outage" && failing && !cut;
  const leftCut =
    !failing && (h.availability === "isolated" || (h.availability === "outage" && cut));
  const wokeAt = (e.resumed && !stillOut) || leftCut ? e.now : h.resumedAt;
  const shown = wokeAt === undefined || e.ownershipConfirmedAt >= wokeAt;
  const be = (standing: StoreAvailability): AvailabilityState => ({
    availability: shown || standing === "isolated" ? standing : "resuming",
    failingSince,
    resumedAt: shown ? undefined : wokeAt,
  });
  if (failingSince === undefined) return be("available");
  if (e.now - failingSince < OUTAGE_CONFIRMATION_MS)
    return be(h.availability === "resuming" ? "available" : h.availability);
  // An outage answers 503 to everybody. Refused while another is served, it is ours alone; and so
  // is a cut, unless all others say that they are behind it with us: then nobody can take over.
  const together = e.peersUnavailable === e.peers;
  return be(e.peersAvailable > 0 || (cut && !together) ? "isolated" : "outage");
};
