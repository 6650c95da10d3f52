/**
 * Measures how far the process is behind: this check is a periodic task, and how late it runs is the
 * event-loop lag. A check that runs very late means that the process was paused.
 *
 * It owns the time of its last run.
 */
import type { ControllerContext } from "../coordination/context.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import { monotonicNow } from "../transport/clock.js";

/** How often the check runs when nothing delays it. */
export const PAUSE_CHECK_PERIOD_MS = 250;

/** Feeds the lag into the controller's context, and has the owner look for a process pause. */
export class EventLoopWatch {
  #lastRunAt = monotonicNow();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: ShardOwner,
  ) {}

  /** To be run `PAUSE_CHECK_MS` after it last ended. */
  check(): void {
    const now = monotonicNow();
    this.ctx.eventLoopLag.observe(now - this.#lastRunAt - PAUSE_CHECK_PERIOD_MS, now);
    this.#lastRunAt = now;
    this.owner.detectPause();
  }
}
