/** Sorted, disjoint, inclusive runs of task numbers, flat: [first, last, first, last, ...]. */
export type Ranges = readonly number[];

export const rangesCount = (r: Ranges): number => {
  let n = 0;
  for (let i = 0; i < r.length; i += 2) n += (r[i + 1] as number) - (r[i] as number) + 1;
  return n;
};

export const rangesHas = (r: Ranges, x: number): boolean => {
  let lo = 0;
  let hi = r.length / 2 - 1;
  while (lo <= hi) {
    const mid = (lo + hi) >> 1;
    if (x < (r[2 * mid] as number)) hi = mid - 1;
    else if (x > (r[2 * mid + 1] as number)) lo = mid + 1;
    else return true;
  }
  return false;
};

export const rangesAdd = (r: Ranges, x: number): Ranges => {
  if (rangesHas(r, x)) return r;
  const out: number[] = [];
  let first = x;
  let last = x;
  let placed = false;
  for (let i = 0; i < r.length; i += 2) {
    const a = r[i] as number;
    const b = r[i + 1] as number;
    if (b + 1 < first) out.push(a, b);
    else if (a - 1 > last) {
      if (!placed) out.push(first, last);
      placed = true;
      out.push(a, b);
    } else {
      first = Math.min(first, a);
      last = Math.max(last, b);
    }
  }
  if (!placed) out.push(first, last);
  return out;
};

/** Numbers below `end` that are in no range and not in `except`, in order, worked out as asked for. */
export function* rangesMissing(
  r: Ranges,
  end: number,
  except: ReadonlySet<number>,
): Iterable<number> {
  let x = 0;
  for (let i = 0; i <= r.length; i += 2) {
    const stop = i < r.length ? (r[i] as number) : end;
    for (; x < stop; x++) if (!except.has(x)) yield x;
    if (i < r.length) x = (r[i + 1] as number) + 1;
  }
}

export const parseRanges = (v: unknown): Ranges =>
  Array.isArray(v) && v.length % 2 === 0 && v.every((n) => Number.isInteger(n)) ? v : [];
