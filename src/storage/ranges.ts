/**
 * Sets of task indexes, stored as ranges. Most completed tasks of a job array have consecutive
 * indexes, so the set of a job with thousands of tasks takes only a few numbers in its page. A set
 * is never modified in place.
 */

/** Sorted, disjoint, inclusive ranges of task indexes as a flat list: [first, last, ...]. */
export type Ranges = readonly number[];

/** The number of elements of the set. */
export const rangesCount = (ranges: Ranges): number => {
  let total = 0;
  for (let i = 0; i < ranges.length; i += 2)
    total += (ranges[i + 1] as number) - (ranges[i] as number) + 1;
  return total;
};

/** Whether a number is in the set. Uses binary search. */
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

/** Returns the set with a number added; the same object if the set contains it already. */
export const rangesAdd = (ranges: Ranges, value: number): Ranges => {
  if (rangesHas(ranges, value)) return ranges;
  const result: number[] = [];
  // The range that contains the new number, merged with the ranges that overlap or adjoin it.
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

/** Lazily yields, in ascending order, the numbers below `end` in neither the set nor `excluded`. */
export function* rangesMissing(
  ranges: Ranges,
  end: number,
  excluded: ReadonlySet<number>,
): Iterable<number> {
  let next = 0;
  for (let i = 0; i <= ranges.length; i += 2) {
    const stop = i < ranges.length ? (ranges[i] as number) : end;
    for (; next < stop; next++) if (!excluded.has(next)) yield next;
    if (i < ranges.length) next = (ranges[i + 1] as number) + 1;
  }
}

/** Returns the empty set if the value isn't a list of pairs of integers. */
export const parseRanges = (value: unknown): Ranges =>
  Array.isArray(value) && value.length % 2 === 0 && value.every((n) => Number.isInteger(n))
    ? value
    : [];
