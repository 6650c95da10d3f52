/**
 * A token bucket that follows the rate limits of the state store and the cloud: tokens are added at
 * a steady rate up to the bucket's capacity, and each call takes as many tokens as it costs. The
 * number of tokens can be negative: such a debt delays the next call until it is refilled.
 */
import type { MonotonicMs } from "@umberfold/ids";

/** Lower bound of the rate in `waitMs`, which avoids a division by 0. */
const MIN_TOKENS_PER_S = 1e-6;

/** A client-side rate limit. `now` is the caller's monotonic clock and must not decrease. */
export class TokenBucket {
  #tokens: number;
  #refilledAt: MonotonicMs;

  /** The bucket starts with `burst` tokens. Its capacity is `burst`, but at least 1 token. */
  constructor(
    private tokensPerS: number,
    private burst: number,
    now: MonotonicMs,
  ) {
    this.#tokens = burst;
    this.#refilledAt = now;
  }

  /** Changes the rate and the capacity. The tokens are kept, up to the new capacity. */
  reconfigure(tokensPerS: number, burst: number, now: MonotonicMs): void {
    this.#refill(now);
    this.tokensPerS = tokensPerS;
    this.burst = burst;
  }

  #capacity(): number {
    return Math.max(1, this.burst);
  }

  #refill(now: MonotonicMs): void {
    const gained = ((now - this.#refilledAt) / 1000) * this.tokensPerS;
    this.#tokens = Math.min(this.#capacity(), this.#tokens + gained);
    this.#refilledAt = now;
  }

  #canTake(count: number, now: MonotonicMs): boolean {
    this.#refill(now);
    // If the cost exceeds the capacity, a full bucket is enough; the rest becomes a debt.
    return this.#tokens >= Math.min(count, this.#capacity());
  }

  /** Takes `count` tokens. Takes none and returns false if there are too few. */
  take(count: number, now: MonotonicMs): boolean {
    return this.takeWithDebt(count, count, now);
  }

  /** Takes `count` tokens if there are at least `minTokens`; the missing ones become a debt. */
  takeWithDebt(count: number, minTokens: number, now: MonotonicMs): boolean {
    if (!this.#canTake(Math.min(count, minTokens), now)) return false;
    this.#tokens -= count;
    return true;
  }

  /** Takes `count` tokens unconditionally; the missing ones become a debt. */
  forceTake(count: number, now: MonotonicMs): void {
    this.#refill(now);
    this.#tokens -= count;
  }

  /** Milliseconds until `take(count)` succeeds if no other call takes tokens meanwhile. */
  waitMs(count: number, now: MonotonicMs): number {
    this.#refill(now);
    const missingTokens = Math.min(count, this.#capacity()) - this.#tokens;
    return missingTokens <= 0
      ? 0
      : (missingTokens / Math.max(this.tokensPerS, MIN_TOKENS_PER_S)) * 1000;
  }

  /** How full the bucket is, from 0 (empty or in debt) to 1. */
  fillFraction(now: MonotonicMs): number {
    this.#refill(now);
    return Math.max(0, this.#tokens / this.#capacity());
  }

  /** Removes all tokens but keeps a debt. Called when the server reports an exceeded limit. */
  drain(now: MonotonicMs): void {
    this.#refill(now);
    this.#tokens = Math.min(0, this.#tokens);
  }
}
