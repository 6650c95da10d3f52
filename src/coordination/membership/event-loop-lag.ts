import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** What was late this long ago counts half. */
const HALF_LIFE_MS = 2000;
/** A process that stood still is another matter: see the pause detector. */
const MOST_LAG_MS = 2000;
/** How many times its lag a process may be behind with what others sent it. */
const TIMES = 4;

/**
 * How far this process is behind: how late its timers ran lately. While it is short of processor
 * time, reports and answers that came in time lie unread, so ages of what it last read are judged
 * as of an earlier moment: its own lag is nobody else's silence. (On machines of a third of the
 * size controllers returned healthy machines by the dozen, and took themselves for cut off.)
 */
export class EventLoopLag {
  #lagMs = 0;
  #seenAt: MonotonicMs = monotonicMs(0);

  /** A timer ran this late. */
  observe(lateMs: number, now: MonotonicMs): void {
    this.#lagMs = Math.max(this.recentMs(now), Math.min(lateMs, MOST_LAG_MS), 0);
    this.#seenAt = now;
  }

  /** The lag seen lately, which wears off. */
  recentMs(now: MonotonicMs): number {
    return this.#lagMs * 0.5 ** (Math.max(0, now - this.#seenAt) / HALF_LIFE_MS);
  }

  /** The moment up to which everything that was sent here must have been read. */
  readUpTo(now: MonotonicMs): MonotonicMs {
    return monotonicMs(now - TIMES * this.recentMs(now));
  }
}
