/**
 * When a job whose attempts failed may start again, and whether the job itself is at fault.
 *
 * A job that has failed on several machines backs off exponentially, up to half a minute. The
 * exponent counts the failures since a task of it last completed, so that it may begin below 0.
 */
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** A job that failed on so many machines is at fault itself, for all that is known. */
export const JOB_FAULT_MACHINES = 3;
const BACKOFF_BASE_MS = 1000;
const BACKOFF_MAX_MS = 30_000;
const BACKOFF_MAX_DOUBLINGS = 5;
/** After an attempt that ended for a reason other than an error of its own. */
const RETRY_MS = 500;

/** The failed attempts of one job. */
export class JobBackoff {
  #failures = 0;
  #retryAt: MonotonicMs = monotonicMs(0);
  readonly #failedOn = new Set<MachineId>();

  /** Failed attempts in a row, with no task of the job completing in between. */
  get failures(): number {
    return this.#failures;
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
    return this.#failedOn.size >= JOB_FAULT_MACHINES;
  }

  /** A task of the job completed. */
  recordCompletion(): void {
    this.#failures = 0;
  }

  /** An attempt ended with an error on this machine. */
  recordFailure(machine: MachineId, now: MonotonicMs): void {
    this.#failures++;
    this.#failedOn.add(machine);
    if (!this.isJobAtFault) return;
    const doublings = Math.min(BACKOFF_MAX_DOUBLINGS, this.#failures - JOB_FAULT_MACHINES);
    const waitMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** doublings);
    this.#retryAt = monotonicMs(now + waitMs);
  }

  /** An attempt ended early, but not by an error of its own. */
  recordInterruption(now: MonotonicMs): void {
    this.#retryAt = monotonicMs(now + RETRY_MS);
  }
}
