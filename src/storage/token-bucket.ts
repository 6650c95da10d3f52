import type { MonotonicMs } from "@umberfold/ids";

/** A token bucket, as the state service and the cloud count. */
export class TokenBucket {
  #tokens: number;
  #at: MonotonicMs;

  constructor(
    private rate: number,
    private burst: number,
    now: MonotonicMs,
  ) {
    this.#tokens = burst;
    this.#at = now;
  }

  set(rate: number, burst: number, now: MonotonicMs): void {
    this.#fill(now);
    this.rate = rate;
    this.burst = burst;
  }

  #most(): number {
    return Math.max(1, this.burst);
  }

  #fill(now: MonotonicMs): void {
    this.#tokens = Math.min(this.#most(), this.#tokens + ((now - this.#at) / 1000) * this.rate);
    this.#at = now;
  }

  /** Whether `n` could be taken now, as `take` sees it. */
  has(n: number, now: MonotonicMs, reserve = 0): boolean {
    this.#fill(now);
    // A batch above the whole bucket is let through when the bucket is full, and paid off after.
    return this.#tokens >= Math.min(n + reserve, this.#most());
  }

  /** Takes `n` if at least `reserve` remains for more urgent callers. */
  take(n: number, now: MonotonicMs, reserve = 0): boolean {
    if (!this.has(n, now, reserve)) return false;
    this.#tokens -= n;
    return true;
  }

  /** Takes `n` as soon as `least` is there; what is lacking is paid off before the next. */
  spend(n: number, least: number, now: MonotonicMs): boolean {
    if (!this.has(Math.min(n, least), now)) return false;
    this.#tokens -= n;
    return true;
  }

  /** Takes `n` whatever is there. */
  owe(n: number, now: MonotonicMs): void {
    this.#fill(now);
    this.#tokens -= n;
  }

  /** Milliseconds until `n` can be taken. */
  waitMs(n: number, now: MonotonicMs): number {
    this.#fill(now);
    const lacks = Math.min(n, this.#most()) - this.#tokens;
    return lacks <= 0 ? 0 : (lacks / Math.max(this.rate, 1e-6)) * 1000;
  }

  /** How full it is, from 0 to 1. */
  level(now: MonotonicMs): number {
    this.#fill(now);
    return Math.max(0, this.#tokens / this.#most());
  }

  /** The other side says that we are above its limit: start from nothing. */
  drain(now: MonotonicMs): void {
    this.#fill(now);
    this.#tokens = Math.min(0, this.#tokens);
  }
}
