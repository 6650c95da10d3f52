import type { ShardId } from "@umberfold/ids";
import { type Span, WHOLE } from "@umberfold/spans";
import type { ShardLoad, TeamLoad } from "./load.js";

/** Targets this much short of a whole task are rounded, not short. */
const ROUNDING = WHOLE * 1e-8;

/** What of a share is less than one more task. */
const beyondWholeTasks = (target: number, task: number): number =>
  task <= 0 ? 0 : Math.max(0, target - task * Math.floor((target + ROUNDING) / task));

const waitingOldestFirst = (load: TeamLoad, span: Span): readonly ShardLoad[] =>
  [...load.shards.values()]
    .filter((s) => s.waiting > 0 && span.entries.some((e) => e.shard === s.shard))
    .sort((a, b) => a.oldest - b.oldest);

/**
 * What each shard of a span must be planned at least: the longest waiting first, room for its
 * largest waiting task, or that would wait for ever; then the least share of an active shard.
 * Whatever no longer fits into the whole is left out.
 */
export const leastShares = (
  load: TeamLoad,
  span: Span,
  minShare: number,
): ReadonlyMap<ShardId, number> => {
  const out = new Map<ShardId, number>(span.entries.map((e) => [e.shard, 0]));
  let left: number = WHOLE;
  const raise = (shard: ShardId, to: number): void => {
    const more = to - (out.get(shard) ?? 0);
    if (more <= 0 || more > left) return;
    out.set(shard, to);
    left -= more;
  };
  for (const s of waitingOldestFirst(load, span)) raise(s.shard, s.largest);
  for (const e of span.entries)
    if (e.state === "active") raise(e.shard, Math.floor(minShare * WHOLE));
  return out;
};

/**
 * Targets in which no room is left over that a waiting task fits: what each shard can't use, being
 * less than one more of its tasks or more than it wants, goes to the shard that has waited longest.
 */
export const consolidated = (
  load: TeamLoad,
  span: Span,
  targets: ReadonlyMap<ShardId, number>,
): ReadonlyMap<ShardId, number> => {
  const waiting = waitingOldestFirst(load, span);
  if (waiting.length === 0) return targets;
  const out = new Map(targets);
  let spare = 0;
  const sparing = new Map<ShardId, number>();
  for (const [shard, target] of targets) {
    const here = load.shards.get(shard);
    const unused =
      here === undefined || here.waiting === 0
        ? Math.max(0, target - (here?.used ?? 0))
        : beyondWholeTasks(target, here.largest);
    sparing.set(shard, unused);
    spare += unused;
  }
  for (const { shard, largest, demand } of waiting) {
    const own = sparing.get(shard) ?? 0;
    const lack = largest - own;
    const target = out.get(shard) ?? 0;
    if (largest === 0 || lack <= 0 || spare - own < lack || target - own >= demand) continue;
    let missing = lack;
    for (const [other, unused] of sparing) {
      if (other === shard || missing === 0) continue;
      const taken = Math.min(unused, missing);
      sparing.set(other, unused - taken);
      out.set(other, (out.get(other) ?? 0) - taken);
      missing -= taken;
    }
    sparing.set(shard, 0);
    out.set(shard, target + lack);
    spare -= largest;
  }
  return out;
};
