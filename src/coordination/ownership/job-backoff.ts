/**
 * Retry backoff of a job whose attempts failed, and whether the job itself is at fault.
 *
 * A job that has failed on several machines is retried with an exponential delay of at most half a
 * minute. The exponent depends on the failures since a task of the job last completed, while the
 * machines are counted since its first failure. So after a completion the exponent can be negative,
 * and the delay shorter than the base delay.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** A job that has failed on this many different machines is presumed to be at fault itself. */
export const MIN_MACHINES_FOR_JOB_FAULT = 3;
const BASE_BACKOFF_DELAY_MS = 1000;
const MAX_BACKOFF_DELAY_MS = 30_000;
const MAX_BACKOFF_DOUBLINGS = 5;
/** Retry delay after an attempt that was ended by something other than its own error. */
const INTERRUPTION_RETRY_DELAY_MS = 500;

/** The failures of one job, and when it may start again. */
export class JobBackoff {
  #failureCount = 0;
  #retryAt: MonotonicMs = monotonicMs(0);
  readonly #failedOn = new Set<MachineId>();

  /** Failed attempts since a task of the job last completed. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** No task of the job may start before this time. */
  get retryAt(): MonotonicMs {
    return this.#retryAt;
  }

  /** All machines on which the job has failed; a completion doesn't clear them. */
  get failedOn(): ReadonlySet<MachineId> {
    return this.#failedOn;
  }

  /** The job has failed on enough machines to blame the job instead of the machines. */
  get isJobAtFault(): boolean {
    return this.#failedOn.size >= MIN_MACHINES_FOR_JOB_FAULT;
  }

  /** A task of the job completed. */
  recordCompletion(): void {
    this.#failureCount = 0;
  }

  /** An attempt ended with an error on this machine. */
  recordFailure(machine: MachineId, now: MonotonicMs): void {
    this.#failureCount++;
    this.#failedOn.add(machine);
    if (!this.isJobAtFault) return;
    const doublings = Math.min(
      MAX_BACKOFF_DOUBLINGS,
      this.#failureCount - MIN_MACHINES_FOR_JOB_FAULT,
    );
    const delayMs = Math.min(MAX_BACKOFF_DELAY_MS, BASE_BACKOFF_DELAY_MS * 2 ** doublings);
    this.#retryAt = monotonicMs(now + delayMs);
  }

  /** An attempt ended early, but not with an error of its own. */
  recordInterruption(now: MonotonicMs): void {
    this.#retryAt = monotonicMs(now + INTERRUPTION_RETRY_DELAY_MS);
  }
}
