/**
 * Detects process pauses. Owns when the process was last seen running; changed by `detect` alone,
 * so that each pause is reported once, to whoever calls first.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/**
 * Notices that this process did not run, or was starved of processor time, for longer than
 * `maxGapMs`. Its clocks ran on meanwhile: silence of others during a pause proves nothing.
 */
export class PauseDetector {
  #lastSeenAt: MonotonicMs;
  /** How many pauses were detected, for the log. */
  pauseCount = 0;

  /** `now` counts as the first time that the process was seen running. */
  constructor(
    now: MonotonicMs,
    private readonly maxGapMs: number,
  ) {
    this.#lastSeenAt = now;
  }

  /**
   * Called wherever an activity begins, and several times a second. Returns the length of a pause
   * in milliseconds, or 0.
   */
  detect(now: MonotonicMs): number {
    const gapMs = now - this.#lastSeenAt;
    this.#lastSeenAt = monotonicMs(now);
    if (gapMs <= this.maxGapMs) return 0;
    this.pauseCount++;
    return gapMs;
  }
}
