/**
 * Measures the event-loop lag: the check is a periodic task, and the time by which it runs late is
 * the lag. A very late check means that the process was paused.
 *
 * Its state is the time of its last run.
 */
import type { ControllerContext } from "../coordination/context.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import { monotonicNow } from "../transport/clock.js";

/** Pause between two checks if the event loop is not delayed. */
export const PAUSE_CHECK_PERIOD_MS = 250;

/** Records the lag in the controller's context and makes the shard owner detect process pauses. */
export class EventLoopWatch {
  #lastRunAt = monotonicNow();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: ShardOwner,
  ) {}

  /** Must be called `PAUSE_CHECK_PERIOD_MS` after the previous call returned. */
  check(): void {
    const now = monotonicNow();
    this.ctx.eventLoopLag.observe(now - this.#lastRunAt - PAUSE_CHECK_PERIOD_MS, now);
    this.#lastRunAt = now;
    this.owner.detectPause();
  }
}
