/**
 * The event-loop lag of this process: how late its timers run. Owns the last observed lag, which
 * decays over time. Only the periodic task that measures its own timer's delay (`EventLoopWatch`)
 * updates it.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** An observed lag decays to half its value within this time. */
const LAG_HALF_LIFE_MS = 2000;
/** Cap on an observed lag; longer ones are process pauses, which `PauseDetector` handles. */
const MAX_OBSERVED_LAG_MS = 2000;
/** Received messages may stay unread for up to this many times the lag. */
const READ_DELAY_TO_LAG_RATIO = 4;

/**
 * Measures recent event-loop lag, so that failure detection does not mistake it for silent
 * machines. While the process is short of processor time, heartbeats and answers that arrived in
 * time are still unread. The age of the last message is therefore measured at the earlier time
 * `readUpTo` instead of now. (Without this, controllers on hosts of a third of the size returned
 * dozens of healthy machines and considered themselves disconnected.)
 */
export class EventLoopLag {
  #lagMs = 0;
  #observedAt: MonotonicMs = monotonicMs(0);

  /** Records that a timer ran `lateMs` late; a negative value counts as 0. */
  observe(lateMs: number, now: MonotonicMs): void {
    this.#lagMs = Math.max(this.recentLagMs(now), Math.min(lateMs, MAX_OBSERVED_LAG_MS), 0);
    this.#observedAt = now;
  }

  /** The largest recent lag, decayed up to `now`. */
  recentLagMs(now: MonotonicMs): number {
    return this.#lagMs * 0.5 ** (Math.max(0, now - this.#observedAt) / LAG_HALF_LIFE_MS);
  }

  /** The time up to which all messages sent to this process can be assumed to have been read. */
  readUpTo(now: MonotonicMs): MonotonicMs {
    return monotonicMs(now - READ_DELAY_TO_LAG_RATIO * this.recentLagMs(now));
  }
}
