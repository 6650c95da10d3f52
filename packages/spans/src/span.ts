/**
 * The span of a team: the shards that it uses, and the shares of its quota that they hold in escrow.
 *
 * Spans are immutable values; `stepSpan` alone makes a changed one. A span's shares never add up to
 * more than the whole quota, so owners that start tasks within their own shard's share never exceed
 * the team's quota together, whatever they know of one another.
 */
import type { ShardId } from "@umberfold/ids";

declare const tag: unique symbol;
/** A part of a team's quota, in trillionths: whole numbers, so that sums are exact. */
export type Share = number & { readonly [tag]: "Share" };

/** Takes a whole number of trillionths for a share, unchecked. */
export const share = (trillionths: number): Share => trillionths as Share;

/**
 * All of a team's quota. The unit is so fine that rounding a task's part of it costs no task: a
 * third of a limit, three times, is all of it except for less than any task needs.
 */
export const FULL_SHARE = share(1_000_000_000_000);

/**
 * `active`: new jobs of the team may be placed in the shard. `draining`: they may not; the shard
 * keeps what its jobs still need, and leaves once it has no job and no share.
 */
export type EntryState = "active" | "draining";

/** One shard of a span. */
export interface SpanEntry {
  readonly shard: ShardId;
  readonly state: EntryState;
  /** What the shard's owner may use now. Only that owner ever lowers it. */
  readonly share: Share;
  /**
   * What the leader plans the share to be. An owner whose share is larger starts nothing beyond the
   * target, and transfers the rest as its attempts end.
   */
  readonly target: Share;
  /** The part of the team's new jobs that is to be placed here; 0 while the shard drains. */
  readonly weight: Share;
}

/**
 * Invariants: the home shard is among the entries and active, no shard appears twice, and neither
 * the shares nor the targets add up to more than the whole.
 */
export interface Span {
  /** The shard of the team's jobs whose records name none. */
  readonly home: ShardId;
  readonly entries: readonly SpanEntry[];
}

/** The span of a team that uses its home shard alone. A team without a record has this one. */
export const homeSpan = (home: ShardId): Span => ({
  home,
  entries: [
    { shard: home, state: "active", share: FULL_SHARE, target: FULL_SHARE, weight: FULL_SHARE },
  ],
});

/** The shard's entry; undefined if the shard is not in the span. */
export const entryOf = (span: Span, shard: ShardId): SpanEntry | undefined =>
  span.entries.find((entry) => entry.shard === shard);

/** What a shard holds of the quota; 0 if it is not in the span. */
export const shareOf = (span: Span, shard: ShardId): Share =>
  entryOf(span, shard)?.share ?? share(0);

/** What a shard's owner may start tasks in: its share, but no more than its target. */
export const usableShare = (span: Span, shard: ShardId): Share => {
  const entry = entryOf(span, shard);
  return share(entry === undefined ? 0 : Math.min(entry.share, entry.target));
};

/** The sum of shares; it may be more than the whole if they belong to no valid span. */
export const sumOfShares = (shares: Iterable<Share>): Share => {
  let sum = 0;
  for (const part of shares) sum += part;
  return share(sum);
};
