/**
 * This controller's share of the state store's rate limits, which apply to all controllers
 * together.
 *
 * There are three token buckets: requests, changes (each put or delete of a transaction counts as
 * one), and urgent changes, which a user waits for. Each live controller is guaranteed an equal
 * share. The budget is advisory: callers ask it before they send, and the state store's client
 * doesn't enforce it. Writes that keep the cluster alive (leases, leadership) skip the budget and
 * are never delayed by it.
 */
import { monotonicNow } from "../transport/clock.js";
import { TokenBucket } from "./token-bucket.js";

/** The state store's limits per second, for all controllers together. */
export interface StoreLimits {
  /** Requests per second. */
  readonly rps: number;
  /** Changes per second; a transaction counts once per change. */
  readonly writeRps: number;
}

/** Fraction of the state store's write limit that is divided among the controllers. */
const USABLE_WRITE_FRACTION = 0.9;
/** Maximum write rate of one controller, as a multiple of its equal share. */
const MAX_EQUAL_SHARE_FACTOR = 2.5;

/** Decides whether a request or change may be sent now. All methods are synchronous. */
export class RequestBudget {
  readonly #requests: TokenBucket;
  readonly #writes: TokenBucket;
  /**
   * Changes that users wait for. They have a bucket of their own because a large batch would
   * otherwise block the acceptance of jobs for a second.
   */
  readonly #urgentWrites: TokenBucket;

  /** `memberCount` is the number of controllers that share the limits. */
  constructor(
    private readonly limits: StoreLimits,
    memberCount: number,
  ) {
    const now = monotonicNow();
    const requestsPerS = limits.rps / memberCount;
    const writesPerS = limits.writeRps / memberCount;
    this.#requests = new TokenBucket(requestsPerS, requestsPerS, now);
    this.#writes = new TokenBucket(writesPerS, writesPerS, now);
    this.#urgentWrites = new TokenBucket(writesPerS, writesPerS, now);
  }

  /**
   * Divides the limits among the live controllers again. The part of the usable write limit that
   * the other controllers leave unused is available to this one too, up to `MAX_EQUAL_SHARE_FACTOR`
   * equal shares. `peerWritesPerS` is the write rate of all other controllers together, as seen by
   * the watch.
   */
  updateShares(memberCount: number, peerWritesPerS: number): void {
    const now = monotonicNow();
    const requestsPerS = this.limits.rps / memberCount;
    this.#requests.reconfigure(requestsPerS, requestsPerS, now);
    const equalSharePerS = (this.limits.writeRps * USABLE_WRITE_FRACTION) / memberCount;
    const unusedByPeersPerS = this.limits.writeRps * USABLE_WRITE_FRACTION - peerWritesPerS;
    const urgentWritesPerS = this.limits.writeRps / memberCount;
    this.#urgentWrites.reconfigure(urgentWritesPerS, urgentWritesPerS, now);
    const writesPerS = Math.max(
      equalSharePerS,
      Math.min(unusedByPeersPerS, equalSharePerS * MAX_EQUAL_SHARE_FACTOR),
    );
    // The burst stays an equal share: the bursts of all controllers together must not exceed what
    // the state store accepts in one second.
    this.#writes.reconfigure(writesPerS, equalSharePerS, now);
  }

  /** Takes one request from the budget; false if none is left. */
  tryTakeRequestBudget(): boolean {
    return this.#requests.take(1, monotonicNow());
  }

  /**
   * Takes changes that can't be delayed from the urgent budget, which is an equal share of the
   * limit; false if it has too few. The same changes are also taken from the write budget, where a
   * debt delays later batches.
   */
  tryTakeUrgentWriteBudget(changes: number): boolean {
    const now = monotonicNow();
    if (!this.#urgentWrites.take(changes, now)) return false;
    this.#writes.forceTake(changes, now);
    return true;
  }

  /**
   * Takes the changes of a batch if the write budget has at least `minChanges`; false if it has
   * fewer. A batch larger than the budget leaves a debt, which delays the next batch.
   */
  tryTakeBatchWriteBudget(changes: number, minChanges: number): boolean {
    return this.#writes.takeWithDebt(changes, minChanges, monotonicNow());
  }

  /** Milliseconds until the write budget has this many changes. */
  writeWaitMs(changes: number): number {
    return this.#writes.waitMs(changes, monotonicNow());
  }

  /** How full the write budget is, from 0 to 1. */
  writeBudgetFraction(): number {
    return this.#writes.fillFraction(monotonicNow());
  }

  /**
   * Empties the request and write budgets. Called when the state store reports that its limit was
   * exceeded, because other controllers then use more than this one knows of.
   */
  onThrottled(): void {
    const now = monotonicNow();
    this.#requests.drain(now);
    this.#writes.drain(now);
  }
}
