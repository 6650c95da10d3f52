/**
 * The span of a team: the shards that it uses, and the shares of its quota that they hold in
 * escrow.
 *
 * Spans are immutable values; only `stepSpan` derives a changed one. A span's shares never add up
 * to more than the full quota. So owners that start tasks only within their own shards' shares
 * never exceed the team's quota together, even if they don't know of each other's tasks.
 */
import type { ShardId } from "@umberfold/ids";

declare const tag: unique symbol;
/** A share of a team's quota in trillionths: an integer, so that sums are exact. */
export type Share = number & { readonly [tag]: "Share" };

/** Brands an integer number of trillionths as a share, without a check. */
export const share = (trillionths: number): Share => trillionths as Share;

/**
 * The full quota of a team. The unit is so small that rounding never keeps a task from fitting:
 * three times a third of a limit differs from the full limit by less than any task needs.
 */
export const FULL_SHARE = share(1_000_000_000_000);

/**
 * `active`: new jobs of the team may be placed in the shard. `draining`: they may not; the shard
 * keeps the share that its jobs still need, and leaves the span once it has no jobs and no share.
 */
export type EntryState = "active" | "draining";

/** One shard of a span. */
export interface SpanEntry {
  readonly shard: ShardId;
  readonly state: EntryState;
  /** The share of the quota that the shard holds now. Only the shard's owner may lower it. */
  readonly share: Share;
  /**
   * The share that the leader plans for the shard. If the current share is larger, the shard's
   * owner starts no tasks beyond the target and transfers the surplus as its attempts end.
   */
  readonly target: Share;
  /** The fraction of the team's new jobs to be placed here, as a `Share`; 0 while draining. */
  readonly weight: Share;
}

/**
 * Invariants: the home shard is among the entries and active, no shard appears twice, and neither
 * the shares nor the targets add up to more than `FULL_SHARE`.
 */
export interface Span {
  /** The shard of those jobs of the team whose records name no shard. */
  readonly home: ShardId;
  readonly entries: readonly SpanEntry[];
}

/**
 * Returns the span of a team that uses its home shard alone, as every team without a record does.
 */
export const homeSpan = (home: ShardId): Span => ({
  home,
  entries: [
    { shard: home, state: "active", share: FULL_SHARE, target: FULL_SHARE, weight: FULL_SHARE },
  ],
});

/** Returns the shard's entry; undefined if the shard is not in the span. */
export const entryOf = (span: Span, shard: ShardId): SpanEntry | undefined =>
  span.entries.find((entry) => entry.shard === shard);

/** Returns the shard's current share of the quota; 0 if the shard is not in the span. */
export const shareOf = (span: Span, shard: ShardId): Share =>
  entryOf(span, shard)?.share ?? share(0);

/** Returns the share within which a shard's owner may start tasks: at most the shard's target. */
export const usableShare = (span: Span, shard: ShardId): Share => {
  const entry = entryOf(span, shard);
  return share(entry === undefined ? 0 : Math.min(entry.share, entry.target));
};

/** Returns the sum of shares, which exceeds `FULL_SHARE` if they are not those of a valid span. */
export const sumOfShares = (shares: Iterable<Share>): Share => {
  let sum = 0;
  for (const amount of shares) sum += amount;
  return share(sum);
};
