import type { ShardId } from "@umberfold/ids";

declare const tag: unique symbol;
/** A part of a team's quota, in millionths: whole numbers, so that sums are exact. */
export type Share = number & { readonly [tag]: "Share" };

export const share = (n: number): Share => n as Share;

/** All of a team's quota. */
export const WHOLE = share(1_000_000);

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
  /** What the leader would have it be; owners that have more give to those that have less. */
  readonly target: Share;
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
  entries: [{ shard: home, state: "active", share: WHOLE, target: WHOLE }],
});

export const shareOf = (span: Span, shard: ShardId): Share =>
  span.entries.find((e) => e.shard === shard)?.share ?? share(0);

export const sumOfShares = (shares: Iterable<Share>): Share => {
  let sum = 0;
  for (const part of shares) sum += part;
  return share(sum);
};
