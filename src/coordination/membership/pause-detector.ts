/**
 * Detects process pauses. Owns the time when the process was last known to be running. Only
 * `detect` changes it, so each pause is reported once, to the first caller after it.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/**
 * Detects that this process did not run, or was starved of processor time, for longer than
 * `maxGapMs`. Its clocks continue during a pause, so timeouts that elapsed meanwhile are no
 * evidence that machines or other controllers have failed.
 */
export class PauseDetector {
  #lastSeenAt: MonotonicMs;
  /** How many pauses have been detected since the start. */
  pauseCount = 0;

  /** The first gap is measured from `now`. */
  constructor(
    now: MonotonicMs,
    private readonly maxGapMs: number,
  ) {
    this.#lastSeenAt = now;
  }

  /**
   * Returns the length in milliseconds of a pause since the previous call, or 0 if there was none.
   * Called at the beginning of each activity and several times a second.
   */
  detect(now: MonotonicMs): number {
    const gapMs = now - this.#lastSeenAt;
    this.#lastSeenAt = monotonicMs(now);
    if (gapMs <= this.maxGapMs) return 0;
    this.pauseCount++;
    return gapMs;
  }
}
