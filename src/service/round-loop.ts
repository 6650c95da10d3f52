import type { RoundOutcome } from "../coordination/rounds/shard-owner.js";
import { monotonicNow, sleep } from "../transport/clock.js";

/**
 * How many times as long as it took a round rests, and for how long at most. (Resting for as long as
 * it took, and never more than a quarter of a second, rounds took most of a small controller's
 * processor while many jobs waited, and its machines' leases ran out.)
 */
const ROUND_REST = 6;
const MOST_ROUND_REST_MS = 2000;

/** When the owner's rounds run: when something happened, after their rest, and now and then. */
export class RoundLoop {
  #due = true;
  #wakeUp: (() => void) | undefined;

  constructor(private readonly periodMs: number) {}

  /** Has a round run soon. */
  wake(): void {
    this.#due = true;
    this.#wakeUp?.();
  }

  /** Waits until one is due, runs it, and rests. */
  async run(round: () => Promise<RoundOutcome>): Promise<void> {
    if (!this.#due) await this.#wait();
    this.#wakeUp = undefined;
    this.#due = false;
    const began = monotonicNow();
    const running = round();
    // For several times as long as was decided for, what happens gathers into a wider batch: however
    // much there is to decide, reports, users and leases keep most of the processor.
    const tookMs = monotonicNow() - began;
    const restUntil = monotonicNow() + Math.min(MOST_ROUND_REST_MS, ROUND_REST * tookMs);
    const next = await running;
    if (next !== "idle") this.#due = true;
    // The same until the budget lets the next one through.
    const pauseMs = typeof next === "object" ? Math.min(this.periodMs, next.pauseMs) : 0;
    const restMs = Math.max(pauseMs, restUntil - monotonicNow());
    if (restMs > 0) await sleep(restMs);
  }

  #wait(): Promise<void> {
    return Promise.race([
      sleep(this.periodMs),
      new Promise<void>((resolve) => {
        this.#wakeUp = resolve;
      }),
    ]);
  }
}
