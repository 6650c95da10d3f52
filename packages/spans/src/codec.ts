/**
 * Encodes and parses the stored record of a span.
 *
 * The layout is `{ f: version, h: home, e: [[shard, state, share, target, weight], ...] }`; the
 * state is an index into `STATE_BY_CODE`. A record of another version, or one that violates an
 * invariant of `Span`, is rejected as a whole, because it must never raise a limit. Holds no state.
 */
import { type ShardId, shardId } from "@umberfold/ids";
import {
  type EntryState,
  FULL_SHARE,
  type Span,
  type SpanEntry,
  share,
  sumOfShares,
} from "./span.js";

/** The version of the layout. Records of other versions are rejected. */
const LAYOUT_VERSION = 1;
/** The index is stored in records: append new states at the end, never reorder. */
const STATE_BY_CODE: readonly EntryState[] = ["active", "draining"];
/** The number of fields of a stored entry; additional fields are ignored. */
const ENTRY_FIELD_COUNT = 5;

/** Returns the record's value, which can be written as JSON or CBOR. */
export const encodeSpan = (span: Span): unknown => ({
  f: LAYOUT_VERSION,
  h: span.home,
  e: span.entries.map(({ shard, state, share, target, weight }) => [
    shard,
    STATE_BY_CODE.indexOf(state),
    share,
    target,
    weight,
  ]),
});

const isIntegerBelow = (value: unknown, limit: number): value is number =>
  typeof value === "number" && Number.isInteger(value) && value >= 0 && value < limit;

const parseEntry = (row: unknown, shardCount: number): SpanEntry | undefined => {
  if (!Array.isArray(row) || row.length < ENTRY_FIELD_COUNT) return undefined;
  const [shard, state, entryShare, target, weight] = row as readonly unknown[];
  if (!isIntegerBelow(shard, shardCount) || !isIntegerBelow(state, STATE_BY_CODE.length))
    return undefined;
  if (!isIntegerBelow(entryShare, FULL_SHARE + 1) || !isIntegerBelow(target, FULL_SHARE + 1))
    return undefined;
  if (!isIntegerBelow(weight, FULL_SHARE + 1)) return undefined;
  return {
    shard: shardId(shard),
    state: STATE_BY_CODE[state] ?? "draining",
    share: share(entryShare),
    target: share(target),
    weight: share(weight),
  };
};

/** Returns all entries; undefined if one is invalid or a shard appears twice. */
const parseEntries = (
  rows: readonly unknown[],
  shardCount: number,
): readonly SpanEntry[] | undefined => {
  const entries: SpanEntry[] = [];
  const seen = new Set<ShardId>();
  for (const row of rows) {
    const entry = parseEntry(row, shardCount);
    if (entry === undefined || seen.has(entry.shard)) return undefined;
    seen.add(entry.shard);
    entries.push(entry);
  }
  return entries;
};

/**
 * Parses a record's value. Returns undefined if it is not a valid span of a cluster with this many
 * shards.
 */
export const parseSpan = (value: unknown, shardCount: number): Span | undefined => {
  if (typeof value !== "object" || value === null) return undefined;
  const { f, h, e } = value as Readonly<Record<string, unknown>>;
  if (f !== LAYOUT_VERSION || !isIntegerBelow(h, shardCount) || !Array.isArray(e)) return undefined;
  const entries = parseEntries(e, shardCount);
  if (entries === undefined) return undefined;
  const home = shardId(h);
  if (entries.find((entry) => entry.shard === home)?.state !== "active") return undefined;
  if (sumOfShares(entries.map((entry) => entry.share)) > FULL_SHARE) return undefined;
  if (sumOfShares(entries.map((entry) => entry.target)) > FULL_SHARE) return undefined;
  return { home, entries };
};
