/**
 * Sets of task numbers as runs: the completed tasks of a job array are mostly neighbours, so a job
 * of thousands of tasks takes a few numbers of its page. A value is never changed in place.
 */

/** Sorted, disjoint, inclusive runs of task numbers, flat: [first, last, first, last, ...]. */
export type Ranges = readonly number[];

/** How many numbers are in the set. */
export const rangesCount = (ranges: Ranges): number => {
  let total = 0;
  for (let i = 0; i < ranges.length; i += 2)
    total += (ranges[i + 1] as number) - (ranges[i] as number) + 1;
  return total;
};

/** Whether a number is in the set, by binary search. */
export const rangesHas = (ranges: Ranges, value: number): boolean => {
  let low = 0;
  let high = ranges.length / 2 - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    if (value < (ranges[2 * middle] as number)) high = middle - 1;
    else if (value > (ranges[2 * middle + 1] as number)) low = middle + 1;
    else return true;
  }
  return false;
};

/** The set with one number more; the same object if it is in already. */
export const rangesAdd = (ranges: Ranges, value: number): Ranges => {
  if (rangesHas(ranges, value)) return ranges;
  const result: number[] = [];
  // The run that the number is in, grown by the runs that it touches.
  let first = value;
  let last = value;
  let placed = false;
  for (let i = 0; i < ranges.length; i += 2) {
    const runFirst = ranges[i] as number;
    const runLast = ranges[i + 1] as number;
    if (runLast + 1 < first) result.push(runFirst, runLast);
    else if (runFirst - 1 > last) {
      if (!placed) result.push(first, last);
      placed = true;
      result.push(runFirst, runLast);
    } else {
      first = Math.min(first, runFirst);
      last = Math.max(last, runLast);
    }
  }
  if (!placed) result.push(first, last);
  return result;
};

/** Numbers below `end` that are neither in the set nor in `except`, in order, computed lazily. */
export function* rangesMissing(
  ranges: Ranges,
  end: number,
  except: ReadonlySet<number>,
): Iterable<number> {
  let next = 0;
  for (let i = 0; i <= ranges.length; i += 2) {
    const stop = i < ranges.length ? (ranges[i] as number) : end;
    for (; next < stop; next++) if (!except.has(next)) yield next;
    if (i < ranges.length) next = (ranges[i + 1] as number) + 1;
  }
}

/** The empty set for anything that is no list of pairs of whole numbers. */
export const parseRanges = (value: unknown): Ranges =>
  Array.isArray(value) && value.length % 2 === 0 && value.every((n) => Number.isInteger(n))
    ? value
    : [];
