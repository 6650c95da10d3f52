/**
 * Chooses the shard of a new job within its team's span.
 *
 * Weighted rendezvous hashing: the choice depends on the span and the job's id alone, so all
 * controllers choose alike without asking one another. No state.
 */
import type { JobId, ShardId } from "@umberfold/ids";
import type { Span } from "@umberfold/spans";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * A hash of the text (FNV-1a with a final mix), as a number between 0 and 1, never 0. Every
 * controller must compute the same one, so it can't be changed while a cluster runs.
 */
const unitHash = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  hash = Math.imul(hash ^ (hash >>> 12), 0x297a2d39);
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32 + 2 ** -33;
};

/**
 * The shard of a new job: each active shard gets the part of the jobs that its weight is of all
 * weights, and a change of the span leaves most choices as they were. The home shard if no active
 * shard has a weight.
 */
export const chooseShard = (span: Span, job: JobId): ShardId => {
  let chosen = span.home;
  let lowestScore = Number.POSITIVE_INFINITY;
  for (const { shard, state, weight } of span.entries) {
    if (state !== "active" || weight === 0) continue;
    const score = -Math.log(unitHash(`${job}@${shard}`)) / weight;
    if (score < lowestScore) {
      lowestScore = score;
      chosen = shard;
    }
  }
  return chosen;
};
