/**
 * Decides which part of a shard's share its owner transfers to another shard. No state.
 *
 * An owner gives only what lies beyond its shard's target and what its open attempts don't use, so
 * the attempts of all shards together stay within the quota.
 */
import type { ShardId } from "@umberfold/ids";
import { type Share, type Span, type SpanEvent, share } from "@umberfold/spans";

/** What a transfer is decided by. */
export interface TransferInput {
  readonly span: Span;
  /** The shard whose owner asks. */
  readonly from: ShardId;
  /** What its open attempts take. */
  readonly usedShare: Share;
}

/**
 * The transfer that a shard's owner should make now, to the shard that lacks most of its target;
 * undefined if there is nothing to give or nobody lacks anything.
 */
export const nextTransfer = ({
  span,
  from,
  usedShare,
}: TransferInput): Extract<SpanEvent, { kind: "transfer" }> | undefined => {
  const giver = span.entries.find((entry) => entry.shard === from);
  if (giver === undefined) return undefined;
  const spare = Math.min(giver.share - giver.target, giver.share - usedShare);
  if (spare <= 0) return undefined;
  let receiver: { readonly shard: ShardId; readonly lack: number } | undefined;
  for (const entry of span.entries) {
    const lack = entry.target - entry.share;
    if (entry !== giver && lack > (receiver?.lack ?? 0)) receiver = { shard: entry.shard, lack };
  }
  if (receiver === undefined) return undefined;
  const amount = share(Math.min(spare, receiver.lack));
  return { kind: "transfer", from, to: receiver.shard, amount, used: usedShare };
};
