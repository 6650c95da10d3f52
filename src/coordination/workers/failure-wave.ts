/**
 * Whether machines are failing in a wave, as when a zone goes down: many failed shortly after one
 * another, and more of them are dying. In a wave machines are asked sooner, and given up sooner.
 */
import type { MonotonicMs } from "@umberfold/ids";

/** So many machines given up within so long are a wave. */
const WAVE_MACHINES = 3;
const WAVE_MS = 8000;

/** The failures of the last few seconds. */
export class FailureWave {
  #failedAt: MonotonicMs[] = [];

  /** A machine was given up. */
  record(now: MonotonicMs): void {
    this.#failedAt.push(now);
  }

  /** Whether a wave is under way. */
  isActive(now: MonotonicMs): boolean {
    this.#failedAt = this.#failedAt.filter((failedAt) => now - failedAt < WAVE_MS);
    return this.#failedAt.length >= WAVE_MACHINES;
  }

  /** Forgets all failures: those that were found may have been the controller's own. */
  reset(): void {
    this.#failedAt = [];
  }
}
