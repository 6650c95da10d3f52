/**
 * Computes a lower bound of the processors that finish all work in time.
 *
 * Owns no state. The bound assumes that work is perfectly divisible. Real tasks need more: callers
 * multiply the bound by the operators' setting `margin`.
 */

/** Work that must be finished within a window of time that begins now. */
export interface DueWork {
  readonly windowS: number;
  /** The work in processor seconds: processors times expected run time. */
  readonly cpuSeconds: number;
}

/**
 * The minimum number of processors that finish every piece of work within its window if the work
 * with the shortest window runs first. It is the maximum, over all windows, of the work due within
 * the window divided by the window's length (the processor demand criterion of earliest deadline
 * first scheduling). It is at most the sum of what each job would need alone, because the same
 * processors run one job after the other.
 */
export const demandBound = (due: readonly DueWork[]): number => {
  let work = 0;
  let bound = 0;
  for (const item of [...due].sort((a, b) => a.windowS - b.windowS)) {
    work += item.cpuSeconds;
    bound = Math.max(bound, work / item.windowS);
  }
  return bound;
};
