/**
 * Parses HCL, the format of the operators' and the packages' settings files.
 *
 * Loading the library takes half a second of processor time, so it is loaded only if a file is
 * given.
 */
import type { Checked } from "./checked.js";
import type { FieldReader } from "./field-reader.js";

/** A parsed file. The value under a block's name is the list of all blocks with that name. */
export type HclMap = Readonly<Record<string, unknown>>;

/** Only the first line of the library's errors is useful. */
const firstLineOf = (error: unknown): string => String(error).split("\n")[0] ?? "";

/** The parsed text, or the first syntax error. */
export const parseHcl = async (source: string): Promise<Checked<HclMap>> => {
  const hcl = (await import("hcl2-parser")).default as {
    parseToObject: (text: string) => readonly [unknown, unknown];
  };
  try {
    const [value, error] = hcl.parseToObject(source);
    if (error !== null && error !== undefined) return { ok: false, faults: [`not HCL: ${error}`] };
    if (typeof value !== "object" || value === null) return { ok: false, faults: ["not HCL"] };
    return { ok: true, value: value as HclMap };
  } catch (error) {
    return { ok: false, faults: [`not HCL: ${firstLineOf(error)}`] };
  }
};

/**
 * The body of a block that may appear at most once; undefined if it is missing. In the JSON that
 * the build generates from HCL, the body may also appear directly instead of in a list of one.
 */
export const singleBlock = (raw: HclMap, name: string, faults: string[]): unknown => {
  const block = raw[name];
  if (!Array.isArray(block)) return block;
  if (block.length > 1) faults.push(`${name}: block appears twice`);
  return block[0];
};

/** The fields of a block's body; empty if it isn't a map. */
export const blockFields = (body: unknown): HclMap =>
  typeof body === "object" && body !== null ? { ...body } : {};

/** A numeric setting: its name in the file, its key in the code, its bounds and its default. */
export interface NumberSetting<Key> {
  readonly name: string;
  readonly key: Key;
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
  readonly isInteger?: boolean;
}

/** Reads a numeric setting; returns its default if the file doesn't contain it. */
export const readNumber = (reader: FieldReader, setting: NumberSetting<string>): number => {
  const { name, min, max, fallback } = setting;
  return setting.isInteger === true
    ? reader.integer(name, min, max, fallback)
    : reader.number(name, min, max, fallback);
};
