/**
 * The state machine of the state store's availability as one controller sees it. Pure: the evidence
 * comes in, the next state goes out; `AvailabilityTracker` owns the state.
 */
import type { MonotonicMs } from "@umberfold/ids";

/**
 * The state store as this controller sees it.
 *
 * `available`: it answers. `outage`: it refuses, and as far as is known it refuses everybody, or all
 * controllers are cut off from it together: owned shards stay owned, for nobody can claim them.
 * `isolated`: others are served, or may be, while it can't be reached from here: this controller's
 * lease is expiring, and others will claim its shards. `resuming`: this process paused, or was cut
 * off: what it owned may have been claimed meanwhile, and it acts on none of it until the state
 * store has confirmed what it still owns.
 */
export type StoreAvailability = "available" | "outage" | "isolated" | "resuming";

/** What is remembered between two assessments. */
export interface AvailabilityState {
  readonly availability: StoreAvailability;
  /** Since when the state store has not served this controller; undefined while it does. */
  readonly failingSince: MonotonicMs | undefined;
  /** When ownership last became doubtful; undefined once it has been confirmed since. */
  readonly ownershipUnconfirmedSince: MonotonicMs | undefined;
}

/** The state of a controller that has just started. */
export const INITIAL_AVAILABILITY: AvailabilityState = {
  availability: "available",
  failingSince: undefined,
  ownershipUnconfirmedSince: undefined,
};

/** What is known of the state store, by own calls and by what the other controllers report. */
export interface AvailabilityEvidence {
  readonly now: MonotonicMs;
  /** When the store last answered, last refused with 503, and last left a call unanswered. */
  readonly answeredAt: MonotonicMs;
  readonly refusedAt: MonotonicMs;
  readonly unansweredAt: MonotonicMs;
  /** How many other controllers there are, and how many report that they are served, or are not. */
  readonly peerCount: number;
  readonly availablePeerCount: number;
  readonly unavailablePeerCount: number;
  /** A pause of this process has just been detected. */
  readonly hasProcessResumed: boolean;
  /** When the last call was sent whose answer showed what this controller owns. */
  readonly ownershipConfirmedAt: MonotonicMs;
}

/**
 * How long calls must fail before an outage or an isolation is assumed. Calls answer within
 * milliseconds, now and then a few hundred. In less time than this the others may not have noticed
 * an outage themselves, and would report that they are served.
 */
export const OUTAGE_CONFIRMATION_DELAY_MS = 2500;

/** What the newest calls of this controller came to. */
interface CallHealth {
  /** The newest call was refused or left unanswered. */
  readonly isFailing: boolean;
  /** The newest failed call got no answer at all, not even a refusal. */
  readonly isUnanswered: boolean;
}

const callHealth = (evidence: AvailabilityEvidence): CallHealth => ({
  isFailing: Math.max(evidence.refusedAt, evidence.unansweredAt) > evidence.answeredAt,
  isUnanswered: evidence.unansweredAt > evidence.refusedAt,
});

/** When ownership last became doubtful: by a process pause, or by the end of a disconnection. */
const nextOwnershipUnconfirmedSince = (
  previous: AvailabilityState,
  evidence: AvailabilityEvidence,
  { isFailing, isUnanswered }: CallHealth,
): MonotonicMs | undefined => {
  // In an outage before the pause and still in it: nobody was served in between.
  const isOutageContinuing = previous.availability === "outage" && isFailing && !isUnanswered;
  const hasReconnected =
    !isFailing &&
    (previous.availability === "isolated" || (previous.availability === "outage" && isUnanswered));
  return (evidence.hasProcessResumed && !isOutageContinuing) || hasReconnected
    ? evidence.now
    : previous.ownershipUnconfirmedSince;
};

/** The availability by calls and reports alone, whether or not ownership is confirmed. */
const observedAvailability = (
  previous: StoreAvailability,
  evidence: AvailabilityEvidence,
  failingSince: MonotonicMs | undefined,
  isUnanswered: boolean,
): StoreAvailability => {
  if (failingSince === undefined) return "available";
  if (evidence.now - failingSince < OUTAGE_CONFIRMATION_DELAY_MS)
    return previous === "resuming" ? "available" : previous;
  // An outage answers 503 to everybody. A controller that is refused while another is served is
  // isolated; and so is one whose calls are unanswered, unless all others report that they are cut
  // off with it: then nobody can claim its shards.
  const areAllPeersUnavailable = evidence.unavailablePeerCount === evidence.peerCount;
  const isIsolated = evidence.availablePeerCount > 0 || (isUnanswered && !areAllPeersUnavailable);
  return isIsolated ? "isolated" : "outage";
};

/** The only place where the availability changes. */
export const stepAvailability = (
  previous: AvailabilityState,
  evidence: AvailabilityEvidence,
): AvailabilityState => {
  const calls = callHealth(evidence);
  const failingSince = calls.isFailing ? (previous.failingSince ?? evidence.now) : undefined;
  const resumedAt = nextOwnershipUnconfirmedSince(previous, evidence, calls);
  const isOwnershipConfirmed =
    resumedAt === undefined || evidence.ownershipConfirmedAt >= resumedAt;
  const observed = observedAvailability(
    previous.availability,
    evidence,
    failingSince,
    calls.isUnanswered,
  );
  return {
    availability: isOwnershipConfirmed || observed === "isolated" ? observed : "resuming",
    failingSince,
    ownershipUnconfirmedSince: isOwnershipConfirmed ? undefined : resumedAt,
  };
};
