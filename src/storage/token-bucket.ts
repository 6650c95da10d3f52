/**
 * A token bucket, counted as the state store and the cloud count their limits: tokens come in at a
 * steady rate up to the bucket's capacity, and a call takes as many as it costs. The level may be
 * below zero: such a debt is paid off before the next call is let through.
 */
import type { MonotonicMs } from "@umberfold/ids";

/** Keeps the division in `waitMs` finite at a rate of 0. */
const MIN_TOKENS_PER_S = 1e-6;

/** A rate limit on this side. All times are the caller's monotonic clock and must not go back. */
export class TokenBucket {
  #tokens: number;
  #refilledAt: MonotonicMs;

  /** `burst` is the capacity, of which it starts full; a bucket never has room for less than 1. */
  constructor(
    private tokensPerS: number,
    private burst: number,
    now: MonotonicMs,
  ) {
    this.#tokens = burst;
    this.#refilledAt = now;
  }

  /** Changes rate and capacity from now on; what is in the bucket stays, up to the new capacity. */
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
    // A batch above the whole bucket is let through when the bucket is full, and paid off after.
    return this.#tokens >= Math.min(count, this.#capacity());
  }

  /** Takes `count` tokens, or none and answers false if there are fewer. */
  take(count: number, now: MonotonicMs): boolean {
    return this.takeWithDebt(count, count, now);
  }

  /** Takes `count` tokens as soon as `minTokens` are there: what is lacking is a debt. */
  takeWithDebt(count: number, minTokens: number, now: MonotonicMs): boolean {
    if (!this.#canTake(Math.min(count, minTokens), now)) return false;
    this.#tokens -= count;
    return true;
  }

  /** Takes `count` tokens however many there are. */
  forceTake(count: number, now: MonotonicMs): void {
    this.#refill(now);
    this.#tokens -= count;
  }

  /** Milliseconds until `take(count)` succeeds if nobody else takes any. */
  waitMs(count: number, now: MonotonicMs): number {
    this.#refill(now);
    const missingTokens = Math.min(count, this.#capacity()) - this.#tokens;
    return missingTokens <= 0
      ? 0
      : (missingTokens / Math.max(this.tokensPerS, MIN_TOKENS_PER_S)) * 1000;
  }

  /** How full it is, from 0 (empty or in debt) to 1. */
  fillFraction(now: MonotonicMs): number {
    this.#refill(now);
    return Math.max(0, this.#tokens / this.#capacity());
  }

  /** The other side answers that its limit was exceeded: starts from nothing; a debt stays. */
  drain(now: MonotonicMs): void {
    this.#refill(now);
    this.#tokens = Math.min(0, this.#tokens);
  }
}
