/** Computes the load of each owner over all its shards from the replica. Holds no state. */
import type { ControllerLabel, ShardId } from "@umberfold/ids";
import type { OwnerLoad } from "@umberfold/load-spread";
import { waitingTaskCount } from "../../storage/records.js";
import type { Replica } from "../../storage/replica.js";
import type { ControllerContext } from "../context.js";

/**
 * At most this many waiting tasks of a shard count, because a longer backlog does not mean that its
 * owner has more load.
 */
const MAX_WAITING_TASK_UNITS = 1000;

const machineCountByShard = (replica: Replica): ReadonlyMap<ShardId, number> => {
  const counts = new Map<ShardId, number>();
  for (const { shard } of replica.machines.values())
    counts.set(shard, (counts.get(shard) ?? 0) + 1);
  return counts;
};

/** Returns the load units of one shard's tasks: one for each open attempt and each waiting task. */
const taskUnits = (replica: Replica, shard: ShardId): number => {
  const { index } = replica.shardJobs(shard);
  let open = 0;
  for (const counts of index.openAttemptCountsByTeam().values())
    for (const { count } of counts.values()) open += count;
  let waiting = 0;
  for (const job of index.waitingJobs.values()) waiting += waitingTaskCount(job);
  return open + Math.min(waiting, MAX_WAITING_TASK_UNITS);
};

/**
 * Returns the load of each owner: machines, open attempts and waiting tasks of its shards.
 * Controllers that own no shard are left out.
 */
export const ownerLoads = ({ replica }: ControllerContext): readonly OwnerLoad[] => {
  const machines = machineCountByShard(replica);
  const loads = new Map<ControllerLabel, { owner: string; shards: ShardId[]; loadUnits: number }>();
  for (const label of replica.members.keys())
    loads.set(label, { owner: label, shards: [], loadUnits: 0 });
  for (const [shard, record] of replica.shardOwners) {
    const load = loads.get(record.value.label);
    // A shard whose owner is no longer a member awaits its failover.
    if (load === undefined) continue;
    load.shards.push(shard);
    load.loadUnits += (machines.get(shard) ?? 0) + taskUnits(replica, shard);
  }
  return [...loads.values()].filter(({ shards }) => shards.length > 0);
};
