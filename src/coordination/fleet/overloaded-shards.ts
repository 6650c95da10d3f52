/**
 * Shards whose owners don't keep up with the machines they have: they are given no more. Pure, read
 * from the replica.
 *
 * (The owner of a flooded shard was rented four hundred machines whose heartbeats it could not
 * answer: each killed its tasks when its lease expired, and the jobs that waited for that had more
 * machines rented.)
 */
import type { ShardId } from "@umberfold/ids";
import type { Replica } from "../../storage/replica.js";
import { wallClockNow } from "../../transport/clock.js";

/**
 * A machine without a first heartbeat after this many times its type's boot time has probably come
 * up, and its owner doesn't get to it.
 */
const OVERDUE_BOOT_FACTOR = 1.5;
/** From so many of these on, beside this fraction of the shard's other machines, it is overloaded. */
const MIN_OVERDUE_COUNT = 4;
const MIN_OVERDUE_FRACTION = 0.1;

/**
 * Shards with many machines whose first heartbeat is overdue.
 *
 * @param reportS seconds between two heartbeats of a worker
 */
export const overloadedShards = (replica: Replica, reportS: number): ReadonlySet<ShardId> => {
  const bootS = new Map(replica.machineTypes?.value.map((type) => [type.name, type.bootS]));
  const now = wallClockNow();
  const overdue = new Map<ShardId, number>();
  const registered = new Map<ShardId, number>();
  for (const [id, machine] of replica.machines) {
    if (machine.phase !== "up" || replica.isGone(id)) continue;
    const dueS = (bootS.get(machine.type) ?? 0) * OVERDUE_BOOT_FACTOR + reportS;
    const isRegistered = machine.endpoint !== "";
    if (!isRegistered && (now - machine.rentedAt) / 1000 <= dueS) continue;
    const counts = isRegistered ? registered : overdue;
    counts.set(machine.shard, (counts.get(machine.shard) ?? 0) + 1);
  }
  const minOverdue = (shard: ShardId): number =>
    MIN_OVERDUE_COUNT + MIN_OVERDUE_FRACTION * (registered.get(shard) ?? 0);
  return new Set(
    [...overdue].filter(([shard, n]) => n >= minOverdue(shard)).map(([shard]) => shard),
  );
};
