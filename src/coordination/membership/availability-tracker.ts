/**
 * Tracks the availability of the state store as this controller sees it. Owns the
 * `AvailabilityState`, which changes through `stepAvailability` alone, and the evidence that is not
 * gathered by the store's client: the other controllers' reports and the last proof of ownership.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import {
  type AvailabilityState,
  INITIAL_AVAILABILITY,
  type StoreAvailability,
  stepAvailability,
} from "./store-availability.js";

/** How many other controllers answered yes, and how many no; the rest did not answer. */
export interface PeerReports {
  readonly availableCount: number;
  readonly unavailableCount: number;
}

/** No other controller was asked, or none answered. */
export const NO_PEER_REPORTS: PeerReports = { availableCount: 0, unavailableCount: 0 };

/** Feeds evidence into the state machine of `store-availability.ts`, and logs its changes. */
export class AvailabilityTracker {
  #state: AvailabilityState = INITIAL_AVAILABILITY;
  #peerReports: PeerReports = NO_PEER_REPORTS;
  #ownershipConfirmedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** Takes nothing but the parts shared by the controller: it makes no calls of its own. */
  constructor(private readonly ctx: ControllerContext) {}

  /** The availability as last assessed. */
  get availability(): StoreAvailability {
    return this.#state.availability;
  }

  /** Assesses the availability anew, with the other controllers' newest reports. */
  update(reports: PeerReports): StoreAvailability {
    this.#peerReports = reports;
    return this.#step(false);
  }

  /** The process paused: nothing owned counts as confirmed until ownership is read again. */
  onProcessResumed(): void {
    this.#step(true);
  }

  /** A call that was sent at `askedAt` showed what this controller owns. */
  onOwnershipConfirmed(askedAt: MonotonicMs): void {
    this.#ownershipConfirmedAt = askedAt;
    if (this.#state.availability === "resuming") this.#step(false);
  }

  #step(hasProcessResumed: boolean): StoreAvailability {
    const { store, log, settings } = this.ctx;
    const next = stepAvailability(this.#state, {
      now: monotonicNow(),
      answeredAt: store.answeredAt,
      refusedAt: store.refusedAt,
      unansweredAt: store.unansweredAt,
      peerCount: settings.seeds.length,
      availablePeerCount: this.#peerReports.availableCount,
      unavailablePeerCount: this.#peerReports.unavailableCount,
      hasProcessResumed,
      ownershipConfirmedAt: this.#ownershipConfirmedAt,
    });
    if (next.availability !== this.#state.availability)
      log.info("store availability changed", { availability: next.availability });
    this.#state = next;
    return next.availability;
  }
}
