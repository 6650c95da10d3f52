/**
 * This controller's share of the state store's write limit, which holds for all controllers
 * together. Owns the count of the others' writes as the watch shows them, and their smoothed rate.
 */
import type { MonotonicMs } from "@umberfold/ids";
import type { StateStore } from "../../storage/state-store.js";
import { monotonicNow } from "../../transport/clock.js";

/** Time constant of the exponential average of the others' writes. */
const WRITE_RATE_TIME_CONSTANT_S = 2;

/** Measures the others' writes and tells the store's client what remains. */
export class WriteShare {
  /** Writes a second by all other controllers, averaged. */
  #peerWriteRate = 0;
  #peerWritesSinceUpdate = 0;
  #updatedAt: MonotonicMs = monotonicNow();

  /** Adjusts the limits of this client, and nothing else of it. */
  constructor(private readonly store: StateStore) {}

  /** Counts writes of other controllers that the watch has shown. */
  recordPeerWrites(writes: number): void {
    this.#peerWritesSinceUpdate += writes;
  }

  /** Sets the limits anew for so many live controllers; does nothing twice at one moment. */
  update(members: number, now: MonotonicMs): void {
    const elapsedS = (now - this.#updatedAt) / 1000;
    if (elapsedS <= 0) return;
    const decay = Math.exp(-elapsedS / WRITE_RATE_TIME_CONSTANT_S);
    this.#peerWriteRate =
      this.#peerWriteRate * decay + (this.#peerWritesSinceUpdate / elapsedS) * (1 - decay);
    this.#peerWritesSinceUpdate = 0;
    this.#updatedAt = now;
    this.store.updateShares(members, this.#peerWriteRate);
  }
}
