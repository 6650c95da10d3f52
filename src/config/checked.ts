/** The outcome of reading a file that people write: a value, or every fault found in it. */

/** Each fault is one line: the field, what is allowed, and what is there instead. */
export type Checked<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly string[] };

/** The value, unless there are faults. */
export const checked = <T>(value: T, faults: readonly string[]): Checked<T> =>
  faults.length > 0 ? { ok: false, faults } : { ok: true, value };
