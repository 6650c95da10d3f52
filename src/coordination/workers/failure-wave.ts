/**
 * Detects a failure wave: several machines failing within seconds of one another, as in a zone
 * outage, where more are likely to fail. During a wave the failure detector calls machines earlier
 * and uses a shorter silence timeout.
 */
import type { MonotonicMs } from "@umberfold/ids";

/** This many machines declared failed within this time window are a wave. */
const MIN_WAVE_FAILURES = 3;
const WAVE_WINDOW_MS = 8000;

/** The machine failures within the time window. */
export class FailureWave {
  #failedAt: MonotonicMs[] = [];

  /** Records that a machine was declared failed. */
  recordFailure(now: MonotonicMs): void {
    this.#failedAt.push(now);
  }

  /** Whether a wave is in progress. */
  isActive(now: MonotonicMs): boolean {
    this.#failedAt = this.#failedAt.filter((failedAt) => now - failedAt < WAVE_WINDOW_MS);
    return this.#failedAt.length >= MIN_WAVE_FAILURES;
  }

  /** Forgets all failures: the controller itself may have caused them by being cut off. */
  reset(): void {
    this.#failedAt = [];
  }
}
