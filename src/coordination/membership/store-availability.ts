/**
 * The state machine of the state store's availability as one controller sees it. Pure: it computes
 * the next state from the previous one and the evidence; `AvailabilityTracker` holds the state.
 */
import type { MonotonicMs } from "@umberfold/ids";

/**
 * The availability of the state store as this controller sees it.
 *
 * - `available`: the store answers.
 * - `outage`: the store refuses calls and no other controller is known to be served, or all
 *   controllers are disconnected from it. Nobody can claim shards, so owned shards stay owned.
 * - `isolated`: this controller is not served while others are, or may be. Its lease is expiring
 *   and others will claim its shards.
 * - `resuming`: this process was paused or disconnected, and others may have claimed its shards
 *   meanwhile. It acts on none of them until the store has confirmed what it still owns.
 */
export type StoreAvailability = "available" | "outage" | "isolated" | "resuming";

/** The state kept between two assessments. */
export interface AvailabilityState {
  readonly availability: StoreAvailability;
  /** Since when the store has not served this controller; undefined while it does. */
  readonly failingSince: MonotonicMs | undefined;
  /**
   * When a process pause or a disconnection last made ownership unconfirmed; undefined while it is
   * confirmed. Only a call that was sent at or after this time can confirm it.
   */
  readonly ownershipUnconfirmedSince: MonotonicMs | undefined;
}

/** The state when the controller starts. */
export const INITIAL_AVAILABILITY: AvailabilityState = {
  availability: "available",
  failingSince: undefined,
  ownershipUnconfirmedSince: undefined,
};

/** The evidence from this controller's own calls to the store and from the other controllers. */
export interface AvailabilityEvidence {
  readonly now: MonotonicMs;
  /** When the store last answered with a status other than 503. */
  readonly answeredAt: MonotonicMs;
  /** When the store last refused a call with status 503. */
  readonly refusedAt: MonotonicMs;
  /** When a call to the store last ended without any answer. */
  readonly unansweredAt: MonotonicMs;
  /** The number of other controllers in the settings. */
  readonly peerCount: number;
  /** How many of them report that the store serves them. */
  readonly availablePeerCount: number;
  /** How many of them report that the store does not serve them. */
  readonly unavailablePeerCount: number;
  /** Whether a pause of this process has just been detected. */
  readonly hasProcessResumed: boolean;
  /** The send time of the latest call whose answer showed what this controller owns. */
  readonly ownershipConfirmedAt: MonotonicMs;
}

/**
 * How long calls must fail before an outage or an isolation is assumed. Calls are normally answered
 * within milliseconds, occasionally within a few hundred. With a shorter delay, other controllers
 * may not have noticed an outage yet and would still report that they are served.
 */
export const OUTAGE_CONFIRMATION_DELAY_MS = 2500;

/** The outcome of this controller's latest calls to the store. */
interface CallHealth {
  /** Whether the latest call was refused or unanswered. */
  readonly isFailing: boolean;
  /** Whether the latest failed call got no answer at all, not even a refusal. */
  readonly isUnanswered: boolean;
}

const callHealth = (evidence: AvailabilityEvidence): CallHealth => ({
  isFailing: Math.max(evidence.refusedAt, evidence.unansweredAt) > evidence.answeredAt,
  isUnanswered: evidence.unansweredAt > evidence.refusedAt,
});

/** Ownership becomes unconfirmed when a process pause or a disconnection from the store ends. */
const nextOwnershipUnconfirmedSince = (
  previous: AvailabilityState,
  evidence: AvailabilityEvidence,
  { isFailing, isUnanswered }: CallHealth,
): MonotonicMs | undefined => {
  // An outage that began before the process pause and still lasts: nobody could claim shards.
  const isOutageContinuing = previous.availability === "outage" && isFailing && !isUnanswered;
  const hasReconnected =
    !isFailing &&
    (previous.availability === "isolated" || (previous.availability === "outage" && isUnanswered));
  return (evidence.hasProcessResumed && !isOutageContinuing) || hasReconnected
    ? evidence.now
    : previous.ownershipUnconfirmedSince;
};

/** The availability by calls and reports alone, regardless of whether ownership is confirmed. */
const observedAvailability = (
  previous: StoreAvailability,
  evidence: AvailabilityEvidence,
  failingSince: MonotonicMs | undefined,
  isUnanswered: boolean,
): StoreAvailability => {
  if (failingSince === undefined) return "available";
  if (evidence.now - failingSince < OUTAGE_CONFIRMATION_DELAY_MS)
    return previous === "resuming" ? "available" : previous;
  // In an outage the store answers 503 to all controllers. A controller that is refused while
  // another is served is isolated. So is one whose calls are unanswered, unless all others report
  // that they are not served either, because then nobody can claim its shards.
  const areAllPeersUnavailable = evidence.unavailablePeerCount === evidence.peerCount;
  const isIsolated = evidence.availablePeerCount > 0 || (isUnanswered && !areAllPeersUnavailable);
  return isIsolated ? "isolated" : "outage";
};

/** The transition function of the availability. */
export const stepAvailability = (
  previous: AvailabilityState,
  evidence: AvailabilityEvidence,
): AvailabilityState => {
  const calls = callHealth(evidence);
  const failingSince = calls.isFailing ? (previous.failingSince ?? evidence.now) : undefined;
  const ownershipUnconfirmedSince = nextOwnershipUnconfirmedSince(previous, evidence, calls);
  const isOwnershipConfirmed =
    ownershipUnconfirmedSince === undefined ||
    evidence.ownershipConfirmedAt >= ownershipUnconfirmedSince;
  const observed = observedAvailability(
    previous.availability,
    evidence,
    failingSince,
    calls.isUnanswered,
  );
  return {
    availability: isOwnershipConfirmed || observed === "isolated" ? observed : "resuming",
    failingSince,
    ownershipUnconfirmedSince: isOwnershipConfirmed ? undefined : ownershipUnconfirmedSince,
  };
};
