/**
 * When a job whose attempts failed may start again, and whether the job itself is at fault.
 *
 * A job that has failed on several machines backs off exponentially, up to half a minute. The
 * exponent counts the failures since a task of it last completed, so that it may begin below 0.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** A job that failed on so many machines is at fault itself, for all that is known. */
export const MIN_MACHINES_FOR_JOB_FAULT = 3;
const BASE_BACKOFF_DELAY_MS = 1000;
const MAX_BACKOFF_DELAY_MS = 30_000;
const MAX_BACKOFF_DOUBLINGS = 5;
/** After an attempt that ended for a reason other than an error of its own. */
const INTERRUPTION_RETRY_DELAY_MS = 500;

/** The failed attempts of one job. */
export class JobBackoff {
  #failureCount = 0;
  #retryAt: MonotonicMs = monotonicMs(0);
  readonly #failedOn = new Set<MachineId>();

  /** Failed attempts in a row, with no task of the job completing in between. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** No task of the job starts before this time. */
  get retryAt(): MonotonicMs {
    return this.#retryAt;
  }

  /** All machines on which the job ever failed; a completion doesn't clear them. */
  get failedOn(): ReadonlySet<MachineId> {
    return this.#failedOn;
  }

  /** It failed on so many machines that it is at fault, and not they. */
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

  /** An attempt ended early, but not by an error of its own. */
  recordInterruption(now: MonotonicMs): void {
    this.#retryAt = monotonicMs(now + INTERRUPTION_RETRY_DELAY_MS);
  }
}
