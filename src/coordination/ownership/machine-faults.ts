/**
 * Attempts that failed on a machine since something last completed there: what its quarantine
 * follows from.
 */
import type { JobId } from "@umberfold/ids";

/** Jobs that fail on one machine, with none completing in between, until it is quarantined. */
const MIN_FAILED_JOBS_FOR_QUARANTINE = 2;

/** The failed attempts of one machine. */
export class MachineFaults {
  #failureCount = 0;
  readonly #failedJobs = new Set<JobId>();

  /** Failed attempts in a row, of whatever job. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** So many jobs failed here that the machine is at fault, not they. */
  get isQuarantineDue(): boolean {
    return this.#failedJobs.size >= MIN_FAILED_JOBS_FOR_QUARANTINE;
  }

  /**
   * An attempt ended with an error. A job that fails on one machine after the other says nothing
   * against the next of them, and isn't counted (`isJobAtFault`).
   */
  recordFailure(job: JobId, isJobAtFault: boolean): void {
    this.#failureCount++;
    if (!isJobAtFault) this.#failedJobs.add(job);
  }

  /** An attempt completed: what failed before was not the machine's fault. */
  recordCompletion(): void {
    this.#failureCount = 0;
    this.#failedJobs.clear();
  }
}
