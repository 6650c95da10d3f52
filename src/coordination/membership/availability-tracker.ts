/**
 * Tracks the availability of the state store as this controller sees it. Owns the
 * `AvailabilityState`, which only `stepAvailability` changes, and the evidence that the store's
 * client does not collect: the other controllers' reports, and when shard ownership was last
 * confirmed.
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

/**
 * The other controllers' answers to one yes-or-no question about themselves, for example whether
 * the state store serves them. Controllers that did not answer are in neither count.
 */
export interface PeerReports {
  /** How many answered yes. */
  readonly availableCount: number;
  /** How many answered no. */
  readonly unavailableCount: number;
}

/** The reports when no other controller was asked, or none answered. */
export const NO_PEER_REPORTS: PeerReports = { availableCount: 0, unavailableCount: 0 };

/** Passes evidence to the state machine of `store-availability.ts` and logs each state change. */
export class AvailabilityTracker {
  #state: AvailabilityState = INITIAL_AVAILABILITY;
  #peerReports: PeerReports = NO_PEER_REPORTS;
  #ownershipConfirmedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** Reads the settings and the call times of the store's client; makes no calls itself. */
  constructor(private readonly ctx: ControllerContext) {}

  /** The result of the last assessment. */
  get availability(): StoreAvailability {
    return this.#state.availability;
  }

  /** Reassesses the availability with the other controllers' latest reports. */
  update(reports: PeerReports): StoreAvailability {
    this.#peerReports = reports;
    return this.#step(false);
  }

  /** Handles the end of a process pause: ownership is then unconfirmed. */
  onProcessResumed(): void {
    this.#step(true);
  }

  /**
   * Records that the answer to a request sent at `requestSentAt` showed which shards this
   * controller owns. The send time counts because ownership may change while the answer is on its
   * way.
   */
  onOwnershipConfirmed(requestSentAt: MonotonicMs): void {
    this.#ownershipConfirmedAt = requestSentAt;
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
