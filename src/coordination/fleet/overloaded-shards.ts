/**
 * Detects shards whose owners can't handle the heartbeats of all their machines. Such shards are
 * given no more machines. A pure function of the replica and the wall clock.
 *
 * Without this check, the owner of an overloaded shard was given 400 more rented machines whose
 * heartbeats it could not answer. Each of them killed its tasks when its worker lease expired, and
 * the jobs waiting because of that caused further rentals.
 */
import type { ShardId } from "@umberfold/ids";
import type { Replica } from "../../storage/replica.js";
import { wallClockNow } from "../../transport/clock.js";

/**
 * If a machine's first heartbeat has not been handled after this many times its type's boot time,
 * the machine is probably up and its owner is too busy to handle it.
 */
const OVERDUE_BOOT_FACTOR = 1.5;
/**
 * A shard is overloaded if it has at least `MIN_OVERDUE_COUNT` overdue machines, plus
 * `MIN_OVERDUE_FRACTION` of the number of its registered machines. A machine is registered once its
 * first heartbeat has been handled.
 */
const MIN_OVERDUE_COUNT = 4;
const MIN_OVERDUE_FRACTION = 0.1;

/**
 * Returns the shards with many machines whose first heartbeat is overdue.
 *
 * @param heartbeatIntervalS seconds between two heartbeats of a worker
 */
export const overloadedShards = (
  replica: Replica,
  heartbeatIntervalS: number,
): ReadonlySet<ShardId> => {
  const bootSByType = new Map(replica.machineTypes?.value.map((type) => [type.name, type.bootS]));
  const now = wallClockNow();
  const overdueCounts = new Map<ShardId, number>();
  const registeredCounts = new Map<ShardId, number>();
  for (const [id, machine] of replica.machines) {
    if (machine.phase !== "up" || replica.isGone(id)) continue;
    const overdueAfterS =
      (bootSByType.get(machine.type) ?? 0) * OVERDUE_BOOT_FACTOR + heartbeatIntervalS;
    const isRegistered = machine.endpoint !== "";
    if (!isRegistered && (now - machine.rentedAt) / 1000 <= overdueAfterS) continue;
    const counts = isRegistered ? registeredCounts : overdueCounts;
    counts.set(machine.shard, (counts.get(machine.shard) ?? 0) + 1);
  }
  const minOverdueCount = (shard: ShardId): number =>
    MIN_OVERDUE_COUNT + MIN_OVERDUE_FRACTION * (registeredCounts.get(shard) ?? 0);
  return new Set(
    [...overdueCounts]
      .filter(([shard, count]) => count >= minOverdueCount(shard))
      .map(([shard]) => shard),
  );
};
