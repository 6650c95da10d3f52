import { type ShardId, shardId } from "@umberfold/ids";
import { type EntryState, type Share, type Span, type SpanEntry, share, WHOLE } from "./span.js";

/** The layout of the record; one of another version is not read. */
const FORMAT = 1;
const STATES: readonly EntryState[] = ["active", "draining"];

export const encodeSpan = (span: Span): unknown => ({
  f: FORMAT,
  h: span.home,
  e: span.entries.map((e) => [e.shard, STATES.indexOf(e.state), e.share, e.target, e.weight]),
});

const isIndex = (v: unknown, below: number): v is number =>
  typeof v === "number" && Number.isInteger(v) && v >= 0 && v < below;

const parseEntry = (row: unknown, shards: number): SpanEntry | undefined => {
  if (!Array.isArray(row) || row.length < 5) return undefined;
  const [shard, state, held, target, weight] = row as readonly unknown[];
  if (!isIndex(shard, shards) || !isIndex(state, STATES.length)) return undefined;
  if (!isIndex(held, WHOLE + 1) || !isIndex(target, WHOLE + 1)) return undefined;
  if (!isIndex(weight, WHOLE + 1)) return undefined;
  return {
    shard: shardId(shard),
    state: STATES[state] ?? "draining",
    share: share(held),
    target: share(target),
    weight: share(weight),
  };
};

const sum = (parts: readonly Share[]): number => parts.reduce((total, part) => total + part, 0);

/**
 * Undefined for anything that breaks an invariant: such a record must never raise a limit, so
 * nothing of it is believed. `shards` is how many shards there are.
 */
export const parseSpan = (value: unknown, shards: number): Span | undefined => {
  if (typeof value !== "object" || value === null) return undefined;
  const { f, h, e } = value as Readonly<Record<string, unknown>>;
  if (f !== FORMAT || !isIndex(h, shards) || !Array.isArray(e)) return undefined;
  const entries: SpanEntry[] = [];
  const seen = new Set<ShardId>();
  for (const row of e) {
    const entry = parseEntry(row, shards);
    if (entry === undefined || seen.has(entry.shard)) return undefined;
    seen.add(entry.shard);
    entries.push(entry);
  }
  const home = shardId(h);
  if (entries.find((entry) => entry.shard === home)?.state !== "active") return undefined;
  if (sum(entries.map((entry) => entry.share)) > WHOLE) return undefined;
  if (sum(entries.map((entry) => entry.target)) > WHOLE) return undefined;
  return { home, entries };
};
