import type { ShardId } from "@umberfold/ids";
import type { Replica } from "../../storage/replica.js";
import { wallClockNow } from "../../transport/clock.js";

/**
 * A machine that is not heard by this many times its type's boot time has probably come up, and its
 * owner doesn't get to it. From this part of a shard's machines on, and no fewer than a few, the
 * owner counts as overloaded. (The owner of a flooded shard was rented four hundred machines whose
 * reports it could not answer: each killed its tasks when its lease ran out, and the jobs that
 * waited for that had more machines rented.)
 */
const UNHEARD_BOOTS = 1.5;
const OVERLOADED_PART = 0.1;
const OVERLOADED_LEAST = 4;

/** Shards with many machines that should have been heard by now and were not. */
export const overloadedShards = (replica: Replica, reportS: number): ReadonlySet<ShardId> => {
  const bootS = new Map(replica.machineTypes?.value.map((type) => [type.name, type.bootS]));
  const now = wallClockNow();
  const unheard = new Map<ShardId, number>();
  const heard = new Map<ShardId, number>();
  for (const [id, m] of replica.machines) {
    if (m.phase !== "up" || replica.isGone(id)) continue;
    const dueS = (bootS.get(m.type) ?? 0) * UNHEARD_BOOTS + reportS;
    const isHeard = m.endpoint !== "";
    if (!isHeard && (now - m.rentedAt) / 1000 <= dueS) continue;
    const counts = isHeard ? heard : unheard;
    counts.set(m.shard, (counts.get(m.shard) ?? 0) + 1);
  }
  const least = (shard: ShardId): number =>
    OVERLOADED_LEAST + OVERLOADED_PART * (heard.get(shard) ?? 0);
  return new Set([...unheard].filter(([shard, n]) => n >= least(shard)).map(([shard]) => shard));
};
