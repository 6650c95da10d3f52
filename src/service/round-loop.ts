/**
 * Determines when the scheduling rounds run: after a change or after the maximum pause, but not
 * before a rest in proportion to the time that the last round's decisions took. Its state is
 * whether a round is due, which `wake` and each round's outcome change.
 */
import type { RoundOutcome } from "../coordination/rounds/shard-owner.js";
import { monotonicNow, sleep } from "../transport/clock.js";

/**
 * The rest after a round, as a multiple of the time that its decisions took, and its maximum. With
 * a factor of 1 and a maximum of 250 ms, rounds took most of a small controller's processor time
 * while many jobs waited, and the leases of its machines expired.
 */
const REST_FACTOR = 6;
const MAX_REST_MS = 2000;

/** Runs rounds one after another; `run` is a periodic task. */
export class RoundLoop {
  #isDue = true;
  /** Ends the wait until a round is due; undefined while `run` isn't waiting. */
  #endWait: (() => void) | undefined;

  /** `maxPauseMs`: a round runs after this time even if nothing has changed. */
  constructor(private readonly maxPauseMs: number) {}

  /** Makes a round due; it runs when the rest after the last round is over. */
  wake(): void {
    this.#isDue = true;
    this.#endWait?.();
  }

  /** Waits until a round is due, runs it, and rests. Rejects if the round fails. */
  async run(round: () => Promise<RoundOutcome>): Promise<void> {
    if (!this.#isDue) await this.#wait();
    this.#endWait = undefined;
    this.#isDue = false;
    const startedAt = monotonicNow();
    const running = round();
    // The rest depends on the time taken by the decisions, which a round makes before it first
    // waits for I/O. During the rest, changes collect for a larger batch, so that heartbeats, user
    // requests and lease renewals get most of the processor time even under high load.
    const decidedAt = monotonicNow();
    const restUntil = decidedAt + Math.min(MAX_REST_MS, REST_FACTOR * (decidedAt - startedAt));
    const outcome = await running;
    if (outcome !== "idle") this.#isDue = true;
    // The outcome may request a pause until the write limit allows the next round's commit.
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
