/** The result of parsing and validating a settings file: a value, or all faults found in it. */

/** Each fault is one line that names the field, the allowed values and the actual value. */
export type Checked<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly string[] };

/** A successful result with the value, or a failed one if there are faults. */
export const checked = <T>(value: T, faults: readonly string[]): Checked<T> =>
  faults.length > 0 ? { ok: false, faults } : { ok: true, value };
