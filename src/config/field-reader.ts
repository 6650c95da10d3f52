import { isMap } from "../protocol/cbor.js";

/** Reads fields of an untrusted map and gathers every fault instead of stopping at the first. */
export class FieldReader {
  constructor(
    private readonly source: Readonly<Record<string, unknown>>,
    readonly where: string,
    readonly faults: string[],
  ) {}

  #at(name: string): string {
    return this.where === "" ? name : `${this.where}.${name}`;
  }

  /** The same fields, with faults gathered apart. */
  apart(faults: string[]): FieldReader {
    return new FieldReader(this.source, this.where, faults);
  }

  has(name: string): boolean {
    return this.source[name] !== undefined && this.source[name] !== null;
  }

  text(name: string, fallback?: string): string {
    const v = this.source[name];
    if (typeof v === "string" && v !== "") return v;
    if (!this.has(name) && fallback !== undefined) return fallback;
    this.faults.push(`${this.#at(name)}: must be a non-empty text`);
    return "";
  }

  address(name: string): string {
    const v = this.text(name, "");
    if (/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(v)) return v;
    this.faults.push(`${this.#at(name)}: must be an IPv4 address with a port, such as 10.0.0.1:80`);
    return "0.0.0.0:0";
  }

  number(name: string, least: number, most: number, fallback?: number): number {
    const v = this.source[name];
    if (v === undefined && fallback !== undefined) return fallback;
    if (typeof v === "number" && Number.isFinite(v) && v >= least && v <= most) return v;
    const range = most === Number.POSITIVE_INFINITY ? `at least ${least}` : `${least} to ${most}`;
    this.faults.push(`${this.#at(name)}: must be a number, ${range}`);
    return least;
  }

  whole(name: string, least: number, most: number, fallback?: number): number {
    const n = this.number(name, least, most, fallback);
    if (Number.isInteger(n)) return n;
    this.faults.push(`${this.#at(name)}: must be a whole number`);
    return least;
  }

  flag(name: string, fallback: boolean): boolean {
    const v = this.source[name];
    if (v === undefined) return fallback;
    if (typeof v === "boolean") return v;
    this.faults.push(`${this.#at(name)}: must be true or false`);
    return fallback;
  }

  section(name: string): FieldReader {
    const v = this.source[name];
    if (isMap(v)) return new FieldReader(v, this.#at(name), this.faults);
    this.faults.push(`${this.#at(name)}: section is missing`);
    return new FieldReader({}, this.#at(name), []);
  }

  rows(name: string): readonly FieldReader[] {
    const v = this.source[name];
    if (v === undefined) return [];
    if (!Array.isArray(v)) {
      this.faults.push(`${this.#at(name)}: must be a list`);
      return [];
    }
    return v.map((row, i) => {
      const at = `${this.#at(name)}[${i}]`;
      if (isMap(row)) return new FieldReader(row, at, this.faults);
      this.faults.push(`${at}: must be a table`);
      return new FieldReader({}, at, []);
    });
  }

  texts(name: string): readonly string[] {
    const v = this.source[name];
    if (v === undefined) return [];
    if (Array.isArray(v) && v.every((s) => typeof s === "string")) return v as string[];
    this.faults.push(`${this.#at(name)}: must be a list of texts`);
    return [];
  }

  /** A misspelt setting must not pass for a set one. */
  only(names: readonly string[]): void {
    for (const name of Object.keys(this.source))
      if (!names.includes(name)) this.faults.push(`${this.#at(name)}: is not a known setting`);
  }
}
