/**
 * The CBOR codec of all messages and stored records, and parsers of single fields.
 *
 * All input is untrusted: a parser returns the typed value, or undefined if the field is missing,
 * has another type or is out of range. Only `decode` throws.
 */
import { Encoder } from "cbor-x";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Encodes a value; the fields of a map are written in the order of the object's keys. */
export const encode = (value: unknown): Buffer => codec.encode(value);

/** Decodes a value. Throws unless the bytes are exactly one complete CBOR item. */
export const decode = (bytes: Uint8Array): unknown => codec.decode(bytes);

/** A decoded map, or one to be encoded; its keys are the field names on the wire. */
export type Fields = Readonly<Record<string, unknown>>;

/** Whether a decoded value is a map, and not a list, bytes or null. */
export const isMap = (value: unknown): value is Fields => {
  if (typeof value !== "object" || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === Object.prototype || prototype === null;
};

const MAX_UINT32 = 0xffff_ffff;

/**
 * Converts integers over 32 bits to `bigint`: the encoder would write numbers as floating point.
 */
export const toCborInteger = (integer: number): number | bigint =>
  integer > MAX_UINT32 ? BigInt(integer) : integer;

/**
 * Parses a count, revision or fencing token: a non-negative integer that a double holds exactly.
 */
export const count = (value: unknown): number | undefined => {
  const number = typeof value === "bigint" ? Number(value) : value;
  return typeof number === "number" && Number.isSafeInteger(number) && number >= 0
    ? number
    : undefined;
};

/** Parses a quantity in any unit: a finite, non-negative number. */
export const amount = (value: unknown): number | undefined => {
  const number = typeof value === "bigint" ? Number(value) : value;
  return typeof number === "number" && Number.isFinite(number) && number >= 0 ? number : undefined;
};

/** Parses a string, which may be empty. */
export const text = (value: unknown): string | undefined =>
  typeof value === "string" ? value : undefined;

/** Parses a list; its items are not checked. */
export const list = (value: unknown): readonly unknown[] | undefined =>
  Array.isArray(value) ? value : undefined;
