import type { ShardId } from "@umberfold/ids";
import { type Share, type Span, type SpanEvent, share } from "@umberfold/spans";

export interface TransferInput {
  readonly span: Span;
  /** The shard whose owner asks. */
  readonly from: ShardId;
  /** What the open attempts there take. */
  readonly used: Share;
}

/**
 * What a shard's owner should hand on now: what it has beyond its target and doesn't use, to the
 * shard that lacks most. Undefined: nothing.
 */
export const nextTransfer = ({
  span,
  from,
  used,
}: TransferInput): Extract<SpanEvent, { kind: "transfer" }> | undefined => {
  const giver = span.entries.find((e) => e.shard === from);
  if (giver === undefined) return undefined;
  const spare = Math.min(giver.share - giver.target, giver.share - used);
  if (spare <= 0) return undefined;
  let receiver: { readonly shard: ShardId; readonly lack: number } | undefined;
  for (const entry of span.entries) {
    const lack = entry.target - entry.share;
    if (entry !== giver && lack > (receiver?.lack ?? 0)) receiver = { shard: entry.shard, lack };
  }
  if (receiver === undefined) return undefined;
  const amount = share(Math.min(spare, receiver.lack));
  return { kind: "transfer", from, to: receiver.shard, amount, used };
};
