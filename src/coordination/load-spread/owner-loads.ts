/** What each owner has to do over all its shards. Pure, read from the replica. */
import type { ControllerLabel, ShardId } from "@umberfold/ids";
import type { OwnerLoad } from "@umberfold/load-spread";
import { waitingTaskCount } from "../../storage/records.js";
import type { Replica } from "../../storage/replica.js";
import type { ControllerContext } from "../context.js";

/** Waiting tasks beyond this say nothing more about an owner's load. */
const MAX_WAITING_TASK_UNITS = 1000;

const machineCountByShard = (replica: Replica): ReadonlyMap<ShardId, number> => {
  const counts = new Map<ShardId, number>();
  for (const { shard } of replica.machines.values())
    counts.set(shard, (counts.get(shard) ?? 0) + 1);
  return counts;
};

/** Open attempts and waiting tasks of one shard, each a unit of work. */
const taskUnits = (replica: Replica, shard: ShardId): number => {
  const { index } = replica.shardJobs(shard);
  let open = 0;
  for (const counts of index.openByTeam().values())
    for (const { count } of counts.values()) open += count;
  let waiting = 0;
  for (const job of index.waiting.values()) waiting += waitingTaskCount(job);
  return open + Math.min(waiting, MAX_WAITING_TASK_UNITS);
};

/** Machines, open attempts and waiting tasks of each owner's shards; owners without any are left out. */
export const ownerLoads = ({ replica }: ControllerContext): readonly OwnerLoad[] => {
  const machines = machineCountByShard(replica);
  const loads = new Map<ControllerLabel, { owner: string; shards: ShardId[]; loadUnits: number }>();
  for (const label of replica.members.keys())
    loads.set(label, { owner: label, shards: [], loadUnits: 0 });
  for (const [shard, record] of replica.shardOwners) {
    const load = loads.get(record.value.label);
    // A shard whose owner is no member waits for its failover.
    if (load === undefined) continue;
    load.shards.push(shard);
    load.loadUnits += (machines.get(shard) ?? 0) + taskUnits(replica, shard);
  }
  return [...loads.values()].filter(({ shards }) => shards.length > 0);
};
