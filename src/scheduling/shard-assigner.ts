/**
 * Chooses the shard of each newly rented machine.
 *
 * State: the number of processors of each shard and of the task slots that it lacks, updated with
 * each assignment during one fleet plan. Overloaded shards get no machines.
 */
import { type ShardId, shardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";

/** The properties of the fleet that decide which shard gets a new machine. */
interface AssignmentInput {
  readonly shardCount: number;
  /** Shards that get no more machines. */
  readonly overloaded: ReadonlySet<ShardId>;
  readonly machines: Iterable<{ readonly shard: ShardId; readonly type: MachineType }>;
}

/**
 * Returns the shard for one more machine with this many processors and slots. Slots are the number
 * of tasks that fit on it, of the group for which it is rented. Later calls take the assignment
 * into account.
 */
type ShardAssigner = (cpus: number, slots: number) => ShardId;

/**
 * Creates an assigner that chooses the shard that lacks the most slots, or, if none lacks any, the
 * one with the fewest processors. `unmetSlots`: the number of slots that each shard lacks.
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
