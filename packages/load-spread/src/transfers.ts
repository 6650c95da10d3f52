/**
 * Decides how much of a shard's share its owner transfers to another shard. Holds no state.
 *
 * An owner transfers only what exceeds its shard's target and is not used by open attempts, so the
 * open attempts of all shards together stay within the quota.
 */
import type { ShardId } from "@umberfold/ids";
import { type Share, type Span, type SpanEvent, share } from "@umberfold/spans";

/** The input of `nextTransfer`. */
export interface TransferInput {
  readonly span: Span;
  /** The shard whose owner may transfer a part of its share. */
  readonly from: ShardId;
  /** The share that the shard's open attempts use. */
  readonly usedShare: Share;
}

/**
 * Returns the transfer that a shard's owner should make now, to the shard with the largest deficit
 * from its target; undefined if the shard has no surplus or no other shard has a deficit.
 */
export const nextTransfer = ({
  span,
  from,
  usedShare,
}: TransferInput): Extract<SpanEvent, { kind: "transfer" }> | undefined => {
  const donor = span.entries.find((entry) => entry.shard === from);
  if (donor === undefined) return undefined;
  const surplus = Math.min(donor.share - donor.target, donor.share - usedShare);
  if (surplus <= 0) return undefined;
  let receiver: { readonly shard: ShardId; readonly deficit: number } | undefined;
  for (const entry of span.entries) {
    const deficit = entry.target - entry.share;
    if (entry !== donor && deficit > (receiver?.deficit ?? 0))
      receiver = { shard: entry.shard, deficit };
  }
  if (receiver === undefined) return undefined;
  const amount = share(Math.min(surplus, receiver.deficit));
  return { kind: "transfer", from, to: receiver.shard, amount, used: usedShare };
};
