/**
 * This controller's part of the state store's limits, which hold for all controllers together.
 *
 * Three token buckets: requests of any kind, changes (each put or delete of a transaction counts),
 * and urgent changes that a user waits for. Each live controller is sure of an equal part. Whoever
 * writes asks first; a transaction is sent whether its budget was asked for or not, so callers that
 * keep the cluster alive (lease, leadership) never wait here.
 */
import { monotonicNow } from "../transport/clock.js";
import { TokenBucket } from "./token-bucket.js";

/** The state store's limits for all controllers together, each a second. */
export interface StoreLimits {
  readonly rps: number;
  /** Changes, not transactions. */
  readonly writeRps: number;
}

/** What part of the write limit all controllers may use together. */
const USABLE_WRITE_FRACTION = 0.9;
/** How many equal parts of the write limit one controller may use at the most. */
const MAX_EQUAL_SHARE_FACTOR = 2.5;

/** Says whether a request or change may be sent now. All methods are synchronous and never wait. */
export class RequestBudget {
  readonly #requests: TokenBucket;
  readonly #writes: TokenBucket;
  /** What users wait for: apart, or a wide batch would leave accepts a second without any. */
  readonly #urgentWrites: TokenBucket;

  /** `members` is how many controllers share the limits. */
  constructor(
    private readonly limits: StoreLimits,
    memberCount: number,
  ) {
    const now = monotonicNow();
    const requests = limits.rps / memberCount;
    const writes = limits.writeRps / memberCount;
    this.#requests = new TokenBucket(requests, requests, now);
    this.#writes = new TokenBucket(writes, writes, now);
    this.#urgentWrites = new TokenBucket(writes, writes, now);
  }

  /**
   * Divides the limits anew between the live controllers. What the watch shows the others not to
   * use (`othersWrites` is what they write a second) may be used as well, up to a few equal parts.
   */
  updateShares(memberCount: number, peerWritesPerS: number): void {
    const now = monotonicNow();
    const requests = this.limits.rps / memberCount;
    this.#requests.reconfigure(requests, requests, now);
    const equalShare = (this.limits.writeRps * USABLE_WRITE_FRACTION) / memberCount;
    const unusedByPeers = this.limits.writeRps * USABLE_WRITE_FRACTION - peerWritesPerS;
    const urgent = this.limits.writeRps / memberCount;
    this.#urgentWrites.reconfigure(urgent, urgent, now);
    const writes = Math.max(
      equalShare,
      Math.min(unusedByPeers, equalShare * MAX_EQUAL_SHARE_FACTOR),
    );
    // Bursts stay an equal part: those of all together must fit into the store's own second.
    this.#writes.reconfigure(writes, equalShare, now);
  }

  /** Takes one request. */
  tryTakeRequest(): boolean {
    return this.#requests.take(1, monotonicNow());
  }

  /** For what can't wait: an equal part of the limit at the most, which all others pay off first. */
  tryTakeUrgentWrites(changes: number): boolean {
    const now = monotonicNow();
    if (!this.#urgentWrites.take(changes, now)) return false;
    this.#writes.forceTake(changes, now);
    return true;
  }

  /** For batches: lets one through once `minChanges` are there, and makes the next wait for it. */
  tryTakeBatchWrites(changes: number, minChanges: number): boolean {
    return this.#writes.takeWithDebt(changes, minChanges, monotonicNow());
  }

  /** Milliseconds until this many changes may be written. */
  writeWaitMs(changes: number): number {
    return this.#writes.waitMs(changes, monotonicNow());
  }

  /** How full the budget of changes is, from 0 to 1. */
  writeFillFraction(): number {
    return this.#writes.fillFraction(monotonicNow());
  }

  /** The state store answered that its limit was exceeded: others use more than we know of. */
  onThrottled(): void {
    const now = monotonicNow();
    this.#requests.drain(now);
    this.#writes.drain(now);
  }
}
