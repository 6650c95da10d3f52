/**
 * Chooses the shard of each newly rented machine.
 *
 * State: the processors that each shard has and the task slots that it lacks, kept up to date for
 * the length of one fleet plan. Overloaded shards are given no machine.
 */
import { type ShardId, shardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";

/** The part of the fleet's state that decides which shard a new machine goes to. */
interface AssignmentInput {
  readonly shardCount: number;
  /** Shards that are given no more machines. */
  readonly overloaded: ReadonlySet<ShardId>;
  readonly machines: Iterable<{ readonly shard: ShardId; readonly type: MachineType }>;
}

/**
 * Returns the shard for one more machine with this many processors, which has slots for this many
 * of the tasks it is rented for. Each answer counts as given in the answers after it.
 */
type ShardAssigner = (cpus: number, slots: number) => ShardId;

/**
 * An assigner that gives new machines to the shard that lacks most slots, and once none lacks any,
 * to the one with the fewest processors. `unmetSlots`: slots that each shard lacks.
 */
export const createShardAssigner = (
  input: AssignmentInput,
  unmetSlots: ReadonlyMap<ShardId, number>,
): ShardAssigner => {
  const lackingSlots = new Map(unmetSlots);
  const cpusOf = new Map<ShardId, number>();
  for (let index = 0; index < input.shardCount; index++)
    if (!input.overloaded.has(shardId(index))) cpusOf.set(shardId(index), 0);
  for (const machine of input.machines) {
    const cpus = cpusOf.get(machine.shard);
    if (cpus !== undefined) cpusOf.set(machine.shard, cpus + machine.type.capacity.cpus);
  }
  return (cpus, slots) => {
    let chosen = shardId(0);
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const [shard, shardCpus] of cpusOf) {
      const lacking = lackingSlots.get(shard) ?? 0;
      const score = lacking > 0 ? lacking : -shardCpus;
      if (score > bestScore) {
        bestScore = score;
        chosen = shard;
      }
    }
    lackingSlots.set(chosen, (lackingSlots.get(chosen) ?? 0) - slots);
    cpusOf.set(chosen, (cpusOf.get(chosen) ?? 0) + cpus);
    return chosen;
  };
};
