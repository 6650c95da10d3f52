import { Encoder } from "cbor-x";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export const encode = (value: unknown): Buffer => codec.encode(value);

/** Throws on anything that is not one whole CBOR item. */
export const decode = (bytes: Uint8Array): unknown => codec.decode(bytes);

export type Fields = Readonly<Record<string, unknown>>;

export const isMap = (v: unknown): v is Fields => {
  if (typeof v !== "object" || v === null) return false;
  const proto: unknown = Object.getPrototypeOf(v);
  return proto === Object.prototype || proto === null;
};

/** Integers past 32 bits would otherwise be written as floating point. */
export const wide = (n: number): number | bigint => (n > 0xffff_ffff ? BigInt(n) : n);

/** A count, version or token: whole, not negative, and exact in a double. */
export const count = (v: unknown): number | undefined => {
  const n = typeof v === "bigint" ? Number(v) : v;
  return typeof n === "number" && Number.isSafeInteger(n) && n >= 0 ? n : undefined;
};

export const amount = (v: unknown): number | undefined => {
  const n = typeof v === "bigint" ? Number(v) : v;
  return typeof n === "number" && Number.isFinite(n) && n >= 0 ? n : undefined;
};

export const text = (v: unknown): string | undefined => (typeof v === "string" ? v : undefined);

export const list = (v: unknown): readonly unknown[] | undefined =>
  Array.isArray(v) ? v : undefined;
