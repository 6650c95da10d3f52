/**
 * The CBOR codec of all messages and stored records, and the checks of single fields.
 *
 * Whatever comes in is untrusted: a check returns the value in its type, or undefined if the field
 * is missing, of another type or out of range. Nothing here throws except `decode`.
 */
import { Encoder } from "cbor-x";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** The bytes of a value; fields of a map are written in the order of the object's keys. */
export const encode = (value: unknown): Buffer => codec.encode(value);

/** The value of some bytes. Throws on anything that is not one whole CBOR item. */
export const decode = (bytes: Uint8Array): unknown => codec.decode(bytes);

/** A decoded map, or one to be encoded, by the names of the wire. */
export type Fields = Readonly<Record<string, unknown>>;

/** Whether a decoded value is a map: not a list, not bytes, not null. */
export const isMap = (value: unknown): value is Fields => {
  if (typeof value !== "object" || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === Object.prototype || prototype === null;
};

const MAX_UINT32 = 0xffff_ffff;

/** An integer as the encoder needs it: past 32 bits it would write a number as floating point. */
export const wide = (integer: number): number | bigint =>
  integer > MAX_UINT32 ? BigInt(integer) : integer;

/** A count, revision or fencing token: whole, not negative, and exact in a double. */
export const count = (value: unknown): number | undefined => {
  const number = typeof value === "bigint" ? Number(value) : value;
  return typeof number === "number" && Number.isSafeInteger(number) && number >= 0
    ? number
    : undefined;
};

/** A quantity in any unit: finite and not negative. */
export const amount = (value: unknown): number | undefined => {
  const number = typeof value === "bigint" ? Number(value) : value;
  return typeof number === "number" && Number.isFinite(number) && number >= 0 ? number : undefined;
};

/** A text, which may be empty. */
export const text = (value: unknown): string | undefined =>
  typeof value === "string" ? value : undefined;

/** A list, whatever its items are. */
export const list = (value: unknown): readonly unknown[] | undefined =>
  Array.isArray(value) ? value : undefined;
