/**
 * Reads HCL, the language of the operators' and the packages' files.
 *
 * The library costs half a second of processor time to load, so that is left until there is a file.
 */
import type { Checked } from "./checked.js";
import type { FieldReader } from "./field-reader.js";

/** A file as a map. A block's name stands for the list of all blocks of that name. */
export type HclMap = Readonly<Record<string, unknown>>;

/** What of an error of the library is of use: its first line. */
const firstLineOf = (error: unknown): string => String(error).split("\n")[0] ?? "";

/** The text as a map, or the first fault of its form. */
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
 * The body of a block that may stand once; undefined if it is missing. In JSON, which the build
 * makes of HCL, it may stand as it is instead of in a list of one.
 */
export const singleBlock = (raw: HclMap, name: string, faults: string[]): unknown => {
  const block = raw[name];
  if (!Array.isArray(block)) return block;
  if (block.length > 1) faults.push(`${name}: block appears twice`);
  return block[0];
};

/** A body's fields; none if it is no map. */
export const blockFields = (body: unknown): HclMap =>
  typeof body === "object" && body !== null ? { ...body } : {};

/** A setting that is a number: its name in the file, its name here, its bounds and its default. */
export interface NumberSetting<Key> {
  readonly name: string;
  readonly key: Key;
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
  readonly isInteger?: boolean;
}

/** Reads one, which is its default where the file doesn't name it. */
export const readNumber = (reader: FieldReader, setting: NumberSetting<string>): number => {
  const { name, min, max, fallback } = setting;
  return setting.isInteger === true
    ? reader.integer(name, min, max, fallback)
    : reader.number(name, min, max, fallback);
};
