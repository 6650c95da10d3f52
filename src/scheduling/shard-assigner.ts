import { type ShardId, shardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";

/** What of the fleet decides where new machines go. */
interface AssignmentInput {
  readonly shardCount: number;
  /** Shards that are given no more machines. */
  readonly overloaded: ReadonlySet<ShardId>;
  readonly machines: Iterable<{ readonly shard: ShardId; readonly type: MachineType }>;
}

/** New machines go to the shard that lacks most, and else to the one that has least. */
export const shardAssigner = (
  input: AssignmentInput,
  short: ReadonlyMap<ShardId, number>,
): ((cpus: number, slots: number) => ShardId) => {
  const lacks = new Map(short);
  const has = new Map<ShardId, number>();
  for (let n = 0; n < input.shardCount; n++)
    if (!input.overloaded.has(shardId(n))) has.set(shardId(n), 0);
  for (const m of input.machines) {
    const cpus = has.get(m.shard);
    if (cpus !== undefined) has.set(m.shard, cpus + m.type.capacity.cpus);
  }
  return (cpus, perMachine) => {
    let to = shardId(0);
    let most = Number.NEGATIVE_INFINITY;
    for (const [n, owned] of has) {
      const lack = lacks.get(n) ?? 0;
      const score = lack > 0 ? lack : -owned;
      if (score > most) {
        most = score;
        to = n;
      }
    }
    lacks.set(to, (lacks.get(to) ?? 0) - perMachine);
    has.set(to, (has.get(to) ?? 0) + cpus);
    return to;
  };
};
