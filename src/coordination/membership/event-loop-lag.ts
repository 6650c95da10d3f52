/**
 * How far this process is behind its event loop. Owns the lag last observed, which decays; changed
 * by the task that measures how late its own timer runs, and by nobody else.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** An observed lag counts half after this time. */
const LAG_HALF_LIFE_MS = 2000;
/** Longer lags are process pauses, which are the pause detector's. */
const MAX_OBSERVED_LAG_MS = 2000;
/** How many times its lag a process may be behind with reading what others sent it. */
const READ_DELAY_TO_LAG_RATIO = 4;

/**
 * The event-loop lag: how late timers ran lately. While the process is short of processor time,
 * heartbeats and answers that arrived in time are not read yet, so the age of what was last read is
 * judged as of an earlier moment: lag of this process is not silence of a machine. (On machines of
 * a third of the size controllers returned healthy machines by the dozen, and took themselves for
 * cut off.)
 */
export class EventLoopLag {
  #lagMs = 0;
  #observedAt: MonotonicMs = monotonicMs(0);

  /** Records that a timer ran `lateMs` late; a negative lateness counts as none. */
  observe(lateMs: number, now: MonotonicMs): void {
    this.#lagMs = Math.max(this.recentLagMs(now), Math.min(lateMs, MAX_OBSERVED_LAG_MS), 0);
    this.#observedAt = now;
  }

  /** The lag observed lately, decayed until `now`. */
  recentLagMs(now: MonotonicMs): number {
    return this.#lagMs * 0.5 ** (Math.max(0, now - this.#observedAt) / LAG_HALF_LIFE_MS);
  }

  /** The moment up to which everything that was sent here must have been read. */
  readUpTo(now: MonotonicMs): MonotonicMs {
    return monotonicMs(now - READ_DELAY_TO_LAG_RATIO * this.recentLagMs(now));
  }
}
