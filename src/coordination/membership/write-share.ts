/**
 * This controller's share of the state store's write limit, which applies to all controllers
 * together. Owns the count of the other controllers' writes seen by the watch, and their averaged
 * rate.
 */
import type { MonotonicMs } from "@umberfold/ids";
import type { StateStore } from "../../storage/state-store.js";
import { monotonicNow } from "../../transport/clock.js";

/** Time constant of the exponential moving average of the other controllers' write rate. */
const WRITE_RATE_TIME_CONSTANT_S = 2;

/** Measures the other controllers' write rate and passes it to the request budget of the client. */
export class WriteShare {
  /** Averaged writes per second of all other controllers together. */
  #peerWriteRate = 0;
  #peerWritesSinceUpdate = 0;
  #updatedAt: MonotonicMs = monotonicNow();

  /** `store` is the state store's client whose limits are set; nothing else of it is used. */
  constructor(private readonly store: StateStore) {}

  /** Adds writes of other controllers that the watch has shown. */
  recordPeerWrites(writes: number): void {
    this.#peerWritesSinceUpdate += writes;
  }

  /**
   * Updates the average and sets the client's limits for `memberCount` live controllers. Does
   * nothing if no time has passed since the previous update, because the rate would be undefined.
   */
  update(memberCount: number, now: MonotonicMs): void {
    const elapsedS = (now - this.#updatedAt) / 1000;
    if (elapsedS <= 0) return;
    const decay = Math.exp(-elapsedS / WRITE_RATE_TIME_CONSTANT_S);
    this.#peerWriteRate =
      this.#peerWriteRate * decay + (this.#peerWritesSinceUpdate / elapsedS) * (1 - decay);
    this.#peerWritesSinceUpdate = 0;
    this.#updatedAt = now;
    this.store.updateShares(memberCount, this.#peerWriteRate);
  }
}
