/**
 * Decides when an owner's scheduling rounds run: after a change or a period, and after a rest in
 * proportion to the time that the last round's decisions took. Owns whether a round is due; changed by `wake` and by each round's outcome.
 */
import type { RoundOutcome } from "../coordination/rounds/shard-owner.js";
import { monotonicNow, sleep } from "../transport/clock.js";

/**
 * How many times as long as a round decided the loop rests after it, and for how long at most.
 * (While it rested for as long as the round had taken, and never more than a quarter of a second,
 * rounds took most of a small controller's processor while many jobs waited, and the leases of its
 * machines expired.)
 */
const REST_FACTOR = 6;
const MAX_REST_MS = 2000;

/** Runs rounds one after another; `run` is called again and again as a periodic task. */
export class RoundLoop {
  #isDue = true;
  /** Ends the wait for the next round; undefined while none is waited for. */
  #endWait: (() => void) | undefined;

  /** A round runs at least this often, in milliseconds. */
  constructor(private readonly maxPauseMs: number) {}

  /** Makes a round due: it runs once the rest after the last one is over. */
  wake(): void {
    this.#isDue = true;
    this.#endWait?.();
  }

  /** Waits until a round is due, runs it, and rests. Errors of the round are passed on. */
  async run(round: () => Promise<RoundOutcome>): Promise<void> {
    if (!this.#isDue) await this.#wait();
    this.#endWait = undefined;
    this.#isDue = false;
    const startedAt = monotonicNow();
    const running = round();
    // Only the decisions count, which are made before the round first waits. While it rests, changes
    // gather into a wider batch: however much there is to decide, heartbeats, users and leases keep
    // most of the processor.
    const decidedAt = monotonicNow();
    const restUntil = decidedAt + Math.min(MAX_REST_MS, REST_FACTOR * (decidedAt - startedAt));
    const outcome = await running;
    if (outcome !== "idle") this.#isDue = true;
    // The outcome may also ask to wait until the write limit lets the next round's commit through.
    const pauseMs = typeof outcome === "object" ? Math.min(this.maxPauseMs, outcome.pauseMs) : 0;
    const restMs = Math.max(pauseMs, restUntil - monotonicNow());
    if (restMs > 0) await sleep(restMs);
  }

  #wait(): Promise<void> {
    return Promise.race([
      sleep(this.maxPauseMs),
      new Promise<void>((resolve) => {
        this.#endWait = resolve;
      }),
    ]);
  }
}
