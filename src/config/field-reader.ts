/**
 * Reads fields of an untrusted map and collects all faults instead of stopping at the first.
 *
 * Each method always returns a value. If the field is missing without a fallback, or is invalid, it
 * adds a line to `faults` that names the field, the allowed values and the actual value. Readers of
 * nested maps share the list.
 */
import { isMap } from "../protocol/cbor.js";

const MAX_SHOWN_LENGTH = 60;

/** A value as shown in a fault, shortened but recognizable. */
export const describeValue = (value: unknown): string => {
  if (value === undefined || value === null) return "nothing";
  if (typeof value === "string") return JSON.stringify(value.slice(0, MAX_SHOWN_LENGTH));
  if (Array.isArray(value)) return "a list";
  return isMap(value) ? "a table" : String(value);
};

/** Reads the fields of one map: a section, a block or an element of a list of tables. */
export class FieldReader {
  constructor(
    private readonly source: Readonly<Record<string, unknown>>,
    /** The map's path in its file; empty for the file itself. */
    readonly path: string,
    /** A line for each fault found so far. */
    readonly faults: string[],
  ) {}

  /** A reader of the same fields that adds its faults to another list. */
  withFaults(faults: string[]): FieldReader {
    return new FieldReader(this.source, this.path, faults);
  }

  /** Whether a field is present with any value but null. */
  has(name: string): boolean {
    return this.source[name] !== undefined && this.source[name] !== null;
  }

  /** A non-empty string. */
  string(name: string, fallback?: string): string {
    const value = this.source[name];
    if (typeof value === "string" && value !== "") return value;
    if (!this.has(name) && fallback !== undefined) return fallback;
    this.#addFault(name, "must be a non-empty string");
    return "";
  }

  /** Host and port; the host must be an IPv4 address, so that no DNS lookup is needed. */
  address(name: string): string {
    const address = this.string(name, "");
    if (/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(address)) return address;
    this.#addFault(name, "must be an IPv4 address with a port, such as 10.0.0.1:80");
    return "0.0.0.0:0";
  }

  /** A number within inclusive bounds; `max` may be infinite. */
  number(name: string, min: number, max: number, fallback?: number): number {
    const value = this.source[name];
    if (value === undefined && fallback !== undefined) return fallback;
    if (typeof value === "number" && Number.isFinite(value) && value >= min && value <= max)
      return value;
    const range = max === Number.POSITIVE_INFINITY ? `at least ${min}` : `${min} to ${max}`;
    this.#addFault(name, `must be a number, ${range}`);
    return min;
  }

  /** An integer within inclusive bounds. */
  integer(name: string, min: number, max: number, fallback?: number): number {
    const number = this.number(name, min, max, fallback);
    if (Number.isInteger(number)) return number;
    this.#addFault(name, "must be a whole number");
    return min;
  }

  /** A boolean. */
  boolean(name: string, fallback: boolean): boolean {
    const value = this.source[name];
    if (value === undefined) return fallback;
    if (typeof value === "boolean") return value;
    this.#addFault(name, "must be true or false");
    return fallback;
  }

  /** A required nested map. If it is missing, this is one fault; its fields add no others. */
  section(name: string): FieldReader {
    const value = this.source[name];
    if (isMap(value)) return new FieldReader(value, this.#pathOf(name), this.faults);
    this.faults.push(`${this.#pathOf(name)}: section is missing`);
    return new FieldReader({}, this.#pathOf(name), []);
  }

  /** A list of nested maps; empty if it is missing. */
  tables(name: string): readonly FieldReader[] {
    const value = this.source[name];
    if (value === undefined) return [];
    if (!Array.isArray(value)) {
      this.#addFault(name, "must be a list");
      return [];
    }
    return value.map((row, index) => {
      const where = `${this.#pathOf(name)}[${index}]`;
      if (isMap(row)) return new FieldReader(row, where, this.faults);
      this.faults.push(`${where}: must be a table, not ${describeValue(row)}`);
      return new FieldReader({}, where, []);
    });
  }

  /** A list of strings; empty if it is missing. */
  strings(name: string): readonly string[] {
    const value = this.source[name];
    if (value === undefined) return [];
    if (Array.isArray(value) && value.every((item) => typeof item === "string"))
      return value as string[];
    this.#addFault(name, "must be a list of strings");
    return [];
  }

  /** Adds a fault for each field not in `names`, so that a misspelt setting isn't ignored. */
  refuseUnknown(names: readonly string[]): void {
    for (const name of Object.keys(this.source))
      if (!names.includes(name))
        this.faults.push(`${this.#pathOf(name)}: is not a known setting (${names.join(", ")})`);
  }

  #pathOf(name: string): string {
    return this.path === "" ? name : `${this.path}.${name}`;
  }

  #addFault(name: string, allowed: string): void {
    this.faults.push(`${this.#pathOf(name)}: ${allowed}, not ${describeValue(this.source[name])}`);
  }
}
