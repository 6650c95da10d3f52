import type { ShardId } from "@umberfold/ids";

declare const tag: unique symbol;
/** A part of a team's quota, in trillionths: whole numbers, so that sums are exact. */
export type Share = number & { readonly [tag]: "Share" };

export const share = (n: number): Share => n as Share;

/**
 * All of a team's quota. The unit is so fine that rounding a task's part of it costs no task: a
 * third of a limit, three times, is all of it but for less than any task needs.
 */
export const WHOLE = share(1_000_000_000_000);

/**
 * `active`: new jobs of the team may be placed in the shard. `draining`: they may not; the shard
 * keeps what its jobs still need, and leaves once it has no job and no share.
 */
export type EntryState = "active" | "draining";

export interface SpanEntry {
  readonly shard: ShardId;
  readonly state: EntryState;
  /** What the shard's owner may use now. Only that owner ever lowers it. */
  readonly share: Share;
  /**
   * What the leader would have it be. An owner that has more starts nothing beyond it, and hands the
   * rest on as its attempts end.
   */
  readonly target: Share;
  /** The part of the team's new jobs that is to be placed here; 0 while it drains. */
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

/** A span of the home shard alone means the same as no span. */
export const homeSpan = (home: ShardId): Span => ({
  home,
  entries: [{ shard: home, state: "active", share: WHOLE, target: WHOLE, weight: WHOLE }],
});

export const shareOf = (span: Span, shard: ShardId): Share =>
  span.entries.find((e) => e.shard === shard)?.share ?? share(0);

/** What a shard may start tasks in: never more than it holds. */
export const usableShare = (span: Span, shard: ShardId): Share => {
  const entry = span.entries.find((e) => e.shard === shard);
  return share(entry === undefined ? 0 : Math.min(entry.share, entry.target));
};

export const sumOfShares = (shares: Iterable<Share>): Share => {
  let sum = 0;
  for (const part of shares) sum += part;
  return share(sum);
};
