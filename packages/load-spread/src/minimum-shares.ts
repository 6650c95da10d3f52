/**
 * Prevents fragmentation of a quota that is divided between shards: no task may wait forever
 * because each shard's share is too small for it although the shares together are large enough.
 *
 * Holds no state. With both functions the targets of a span add up to at most the full quota.
 */
import type { ShardId } from "@umberfold/ids";
import { FULL_SHARE, type Span } from "@umberfold/spans";
import type { ShardLoad, TeamLoad } from "./load.js";

/** A target that lacks at most this share for one more task is short only because of rounding. */
const ROUNDING_TOLERANCE_SHARE = FULL_SHARE * 1e-8;

/** Returns what remains of a target after as many whole tasks as fit; 0 for tasks of size 0. */
const remainderAfterWholeTasks = (target: number, taskShare: number): number =>
  taskShare <= 0
    ? 0
    : Math.max(0, target - taskShare * Math.floor((target + ROUNDING_TOLERANCE_SHARE) / taskShare));

const waitingOldestFirst = (load: TeamLoad, span: Span): readonly ShardLoad[] =>
  [...load.shards.values()]
    .filter(
      (row) => row.waitingTaskCount > 0 && span.entries.some((entry) => entry.shard === row.shard),
    )
    .sort((a, b) => a.oldestAcceptedAt - b.oldestAcceptedAt);

/**
 * Returns the minimum target of each shard, in units of `Share`. First each shard with waiting
 * tasks gets enough for its largest waiting task, which would wait forever otherwise, in the order
 * of the shards' oldest waiting jobs. Then each active shard gets at least `minShare`. A minimum
 * that no longer fits into the quota is skipped.
 *
 * @param minShare a fraction of the quota, from 0 to 1
 */
export const minimumShares = (
  load: TeamLoad,
  span: Span,
  minShare: number,
): ReadonlyMap<ShardId, number> => {
  const minimums = new Map<ShardId, number>(span.entries.map((entry) => [entry.shard, 0]));
  let remaining: number = FULL_SHARE;
  const raiseTo = (shard: ShardId, minimum: number): void => {
    const increase = minimum - (minimums.get(shard) ?? 0);
    if (increase <= 0 || increase > remaining) return;
    minimums.set(shard, minimum);
    remaining -= increase;
  };
  for (const row of waitingOldestFirst(load, span)) raiseTo(row.shard, row.largestTaskShare);
  for (const entry of span.entries)
    if (entry.state === "active") raiseTo(entry.shard, Math.floor(minShare * FULL_SHARE));
  return minimums;
};

/**
 * Returns the part of each shard's target that it can't use: without waiting tasks, all that its
 * open attempts don't use; otherwise the remainder that is too small for one more task.
 */
const unusableShares = (
  load: TeamLoad,
  targets: ReadonlyMap<ShardId, number>,
): Map<ShardId, number> => {
  const unusable = new Map<ShardId, number>();
  for (const [shard, target] of targets) {
    const row = load.shards.get(shard);
    unusable.set(
      shard,
      row === undefined || row.waitingTaskCount === 0
        ? Math.max(0, target - (row?.usedShare ?? 0))
        : remainderAfterWholeTasks(target, row.largestTaskShare),
    );
  }
  return unusable;
};

/**
 * Collects the parts of the targets that the shards can't use and gives them to shards with waiting
 * tasks, oldest waiting job first, if they suffice for one more task there. The sum of the targets
 * stays the same.
 */
export const consolidateTargets = (
  load: TeamLoad,
  span: Span,
  targets: ReadonlyMap<ShardId, number>,
): ReadonlyMap<ShardId, number> => {
  const waiting = waitingOldestFirst(load, span);
  if (waiting.length === 0) return targets;
  const consolidated = new Map(targets);
  const unusable = unusableShares(load, targets);
  let totalUnusable = 0;
  for (const amount of unusable.values()) totalUnusable += amount;
  for (const { shard, largestTaskShare, demandShare } of waiting) {
    const ownUnusable = unusable.get(shard) ?? 0;
    const deficit = largestTaskShare - ownUnusable;
    const target = consolidated.get(shard) ?? 0;
    if (
      largestTaskShare === 0 ||
      deficit <= 0 ||
      totalUnusable - ownUnusable < deficit ||
      target - ownUnusable >= demandShare
    )
      continue;
    let missing = deficit;
    for (const [other, amount] of unusable) {
      if (other === shard || missing === 0) continue;
      const taken = Math.min(amount, missing);
      unusable.set(other, amount - taken);
      consolidated.set(other, (consolidated.get(other) ?? 0) - taken);
      missing -= taken;
    }
    unusable.set(shard, 0);
    consolidated.set(shard, target + deficit);
    totalUnusable -= largestTaskShare;
  }
  return consolidated;
};
