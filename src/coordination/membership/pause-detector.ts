import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/**
 * Notices that this process stood still, or was starved for as long: its clocks ran on, and what
 * they say of others' silence meanwhile says nothing of the others.
 */
export class PauseDetector {
  #seenAt: MonotonicMs;
  /** How often it stood still, for the logs. */
  pauses = 0;

  constructor(
    now: MonotonicMs,
    private readonly mostMs: number,
  ) {
    this.#seenAt = now;
  }

  /** Called wherever something begins, and several times a second. The length of a pause, or 0. */
  detect(now: MonotonicMs): number {
    const gapMs = now - this.#seenAt;
    this.#seenAt = monotonicMs(now);
    if (gapMs <= this.mostMs) return 0;
    this.pauses++;
    return gapMs;
  }
}
