/**
 * How long tasks really take, beside what the users who submit them expect: a moving average for
 * each job class, learned from the attempts that completed under this owner.
 */
import type { JobSpec } from "../../protocol/jobs.js";

const MIN_RATIO = 0.1;
const MAX_RATIO = 10;
/** The weight of the newest run in the average. */
const SMOOTHING_FACTOR = 0.05;

/** The ratio of real to expected run time of each job class. */
export class RunTimeRatios {
  readonly #byClass = new Map<string, number>();

  /** A task of this job completed after so long. Jobs without an expected run time teach nothing. */
  record(spec: JobSpec, ranMs: number): void {
    if (spec.expectedRunS <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranMs / 1000 / spec.expectedRunS));
    const old = this.#byClass.get(spec.jobClass);
    this.#byClass.set(
      spec.jobClass,
      old === undefined ? ratio : old + (ratio - old) * SMOOTHING_FACTOR,
    );
  }

  /** A task's run time in seconds: its user's estimate, corrected by what its class took. */
  expectedRunS(spec: JobSpec): number {
    return spec.expectedRunS * (this.#byClass.get(spec.jobClass) ?? 1);
  }
}
