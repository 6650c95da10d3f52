import type { Mono } from "../protocol/ids.js";

/** A token bucket worth one second, as the state service and the cloud count. */
export class Budget {
  #tokens: number;
  #at: Mono;

  constructor(
    private rate: number,
    private readonly burstS: number,
    now: Mono,
  ) {
    this.#tokens = rate * burstS;
    this.#at = now;
  }

  setRate(rate: number): void {
    this.rate = rate;
  }

  #fill(now: Mono): void {
    this.#tokens = Math.min(
      Math.max(1, this.rate * this.burstS),
      this.#tokens + ((now - this.#at) / 1000) * this.rate,
    );
    this.#at = now;
  }

  /** Takes `n` if at least `reserve` remains for more urgent callers. */
  take(n: number, now: Mono, reserve = 0): boolean {
    this.#fill(now);
    // A batch above the whole bucket is let through when the bucket is full, and paid off after.
    const need = Math.min(n + reserve, Math.max(1, this.rate * this.burstS));
    if (this.#tokens < need) return false;
    this.#tokens -= n;
    return true;
  }

  /** The other side says that we are above its limit: start from nothing. */
  drain(now: Mono): void {
    this.#fill(now);
    this.#tokens = Math.min(0, this.#tokens);
  }
}
