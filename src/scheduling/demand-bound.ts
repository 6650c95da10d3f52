/**
 * How many processors it takes to finish all work in time.
 *
 * Owns no state. The bound takes work for perfectly divisible; what real tasks need beyond it is the
 * operators' `margin`, which callers apply.
 */

/** Work that is to be done within a window that begins now. */
export interface DueWork {
  readonly windowS: number;
  /** Processor seconds. */
  readonly cpuSeconds: number;
}

/**
 * The fewest processors that finish every piece of work within its window, if the most pressing is
 * served first: the maximum, over all windows, of the work due within the window divided by the
 * window's length (the processor demand criterion of earliest deadline first scheduling). This is
 * less than the sum of what each job would need alone, because the same processors serve one job
 * after the other.
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
