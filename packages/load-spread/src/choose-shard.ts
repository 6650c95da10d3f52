import type { JobId, ShardId } from "@umberfold/ids";
import type { Span } from "@umberfold/spans";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with a final mix, as a number between 0 and 1, never 0. */
const unitHash = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  hash = Math.imul(hash ^ (hash >>> 12), 0x297a2d39);
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32 + 2 ** -33;
};

/**
 * The shard of a new job: weighted rendezvous hashing over the active shards. All
 * controllers choose alike, and a change of the span leaves most choices as they were.
 */
export const chooseShard = (span: Span, job: JobId): ShardId => {
  let best = span.home;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const { shard, state, weight } of span.entries) {
    if (state !== "active" || weight === 0) continue;
    const score = -Math.log(unitHash(`${job}@${shard}`)) / weight;
    if (score < bestScore) {
      bestScore = score;
      best = shard;
    }
  }
  return best;
};
