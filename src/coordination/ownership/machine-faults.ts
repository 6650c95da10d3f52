/**
 * Attempts that failed on a machine since an attempt last completed there. They decide whether the
 * machine is quarantined.
 */
import type { JobId } from "@umberfold/ids";

/** A machine is quarantined when this many jobs failed on it with no completion in between. */
const MIN_FAILED_JOBS_FOR_QUARANTINE = 2;

/** The failures on one machine. */
export class MachineFaults {
  #failureCount = 0;
  readonly #failedJobs = new Set<JobId>();

  /** Failed attempts of any job since the last completion. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** Enough different jobs failed here to blame the machine instead of the jobs. */
  get isQuarantineDue(): boolean {
    return this.#failedJobs.size >= MIN_FAILED_JOBS_FOR_QUARANTINE;
  }

  /**
   * An attempt ended with an error.
   *
   * @param isJobAtFault the job has failed on several machines (see `JobBackoff`), so this failure
   *   is no evidence against the machine and doesn't count towards its quarantine
   */
  recordFailure(job: JobId, isJobAtFault: boolean): void {
    this.#failureCount++;
    if (!isJobAtFault) this.#failedJobs.add(job);
  }

  /** An attempt completed, so earlier failures are not blamed on the machine. */
  recordCompletion(): void {
    this.#failureCount = 0;
    this.#failedJobs.clear();
  }
}
