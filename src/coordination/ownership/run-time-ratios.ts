/**
 * The ratio of actual to expected run time: an exponential moving average for each job class, over
 * the attempts that completed under this owner. It corrects the users' estimates.
 */
import type { JobSpec } from "../../protocol/jobs.js";

const MIN_RATIO = 0.1;
const MAX_RATIO = 10;
/** The weight of the newest run in the moving average. */
const SMOOTHING_FACTOR = 0.05;

/** The ratio of actual to expected run time of each job class. */
export class RunTimeRatios {
  readonly #byClass = new Map<string, number>();

  /** A task of the job completed after `ranMs`. Ignored if the job has no expected run time. */
  record(spec: JobSpec, ranMs: number): void {
    if (spec.expectedRunS <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranMs / 1000 / spec.expectedRunS));
    const old = this.#byClass.get(spec.jobClass);
    this.#byClass.set(
      spec.jobClass,
      old === undefined ? ratio : old + (ratio - old) * SMOOTHING_FACTOR,
    );
  }

  /** A task's run time in seconds: the user's estimate, times the ratio of its job class. */
  expectedRunS(spec: JobSpec): number {
    return spec.expectedRunS * (this.#byClass.get(spec.jobClass) ?? 1);
  }
}
