/**
 * Keeps a quota that is divided between shards from being fragmented: no task may wait forever
 * because each shard's share is too small for it while their sum is not.
 *
 * No state. Both functions keep the sum of a span's targets at the whole quota or below.
 */
import type { ShardId } from "@umberfold/ids";
import { FULL_SHARE, type Span } from "@umberfold/spans";
import type { ShardLoad, TeamLoad } from "./load.js";

/** Targets that are short of a whole task by no more than this were only rounded. */
const ROUNDING_TOLERANCE_SHARE = FULL_SHARE * 1e-8;

/** The part of a target that is left once as many whole tasks as possible have taken theirs. */
const remainderAfterWholeTasks = (target: number, task: number): number =>
  task <= 0
    ? 0
    : Math.max(0, target - task * Math.floor((target + ROUNDING_TOLERANCE_SHARE) / task));

const waitingOldestFirst = (load: TeamLoad, span: Span): readonly ShardLoad[] =>
  [...load.shards.values()]
    .filter(
      (row) => row.waitingTaskCount > 0 && span.entries.some((entry) => entry.shard === row.shard),
    )
    .sort((a, b) => a.oldestAcceptedAt - b.oldestAcceptedAt);

/**
 * What each shard's target must be at least, as shares. Each shard with waiting tasks, the one that
 * has waited longest first, gets enough for its largest waiting task, which would wait forever
 * otherwise; then each active shard gets `minShare` (0 to 1). What no longer fits into the whole
 * quota is left out.
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

/** What of each shard's target it can't use: less than one more task, or more than it demands. */
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
 * Targets in which no part is left unused that a waiting task would fit into: what each shard can't
 * use is collected for one more task of the shard that has waited longest.
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
  for (const part of unusable.values()) totalUnusable += part;
  for (const { shard, largestTaskShare, demandShare } of waiting) {
    const own = unusable.get(shard) ?? 0;
    const lack = largestTaskShare - own;
    const target = consolidated.get(shard) ?? 0;
    if (
      largestTaskShare === 0 ||
      lack <= 0 ||
      totalUnusable - own < lack ||
      target - own >= demandShare
    )
      continue;
    let missing = lack;
    for (const [other, part] of unusable) {
      if (other === shard || missing === 0) continue;
      const taken = Math.min(part, missing);
      unusable.set(other, part - taken);
      consolidated.set(other, (consolidated.get(other) ?? 0) - taken);
      missing -= taken;
    }
    unusable.set(shard, 0);
    consolidated.set(shard, target + lack);
    totalUnusable -= largestTaskShare;
  }
  return consolidated;
};
