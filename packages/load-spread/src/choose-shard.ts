/**
 * Chooses the shard of a new job within its team's span.
 *
 * Uses weighted rendezvous hashing: the choice depends on the span and the job's id alone, so all
 * controllers choose the same shard without any communication. Holds no state.
 */
import type { JobId, ShardId } from "@umberfold/ids";
import type { Span } from "@umberfold/spans";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes the text (FNV-1a with a final mix) to a number above 0 and below 1. All controllers of a
 * cluster must compute the same hash, so the function can't change while a cluster runs.
 */
const unitHash = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  hash = Math.imul(hash ^ (hash >>> 12), 0x297a2d39);
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32 + 2 ** -33;
};

/**
 * Returns the shard of a new job. Each active shard receives a fraction of the jobs that is
 * proportional to its weight, and a change of the span changes the choice for few jobs. Returns the
 * home shard if no active shard has a weight above 0.
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
