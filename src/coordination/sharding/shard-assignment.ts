import { type ControllerLabel, type ShardId, shardId, type TeamName } from "@umberfold/ids";
import type { ControllerId } from "../../storage/records.js";

const byLabel = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/**
 * Which shard each team belongs to, for good. The record that holds it only ever grows: a team
 * that changed its shard while it had open attempts could pass its limit under two owners. New
 * teams go to the shard with the fewest, in name order. (A hash of the name, as first designed,
 * put seven of ten teams of one deployment on one shard.)
 */
export const assignTeams = (
  known: ReadonlyMap<TeamName, ShardId>,
  names: readonly TeamName[],
  size: number,
): ReadonlyMap<TeamName, ShardId> => {
  const out = new Map(known);
  const load = Array.from({ length: size }, () => 0);
  for (const n of known.values()) if (n < size) load[n] = (load[n] ?? 0) + 1;
  for (const name of [...names].sort(byLabel)) {
    if (out.has(name)) continue;
    const least = load.indexOf(Math.min(...load));
    load[least] = (load[least] ?? 0) + 1;
    out.set(name, shardId(least));
  }
  return out;
};

export type ShardAction =
  | { readonly kind: "claim"; readonly shard: ShardId }
  | { readonly kind: "hand_over"; readonly shard: ShardId; readonly to: ControllerId };

export interface ShardView {
  readonly self: ControllerId;
  readonly shardCount: number;
  readonly shards: ReadonlyMap<ShardId, ControllerId>;
  /** Live members, this controller among them. */
  readonly members: ReadonlyMap<ControllerLabel, ControllerId>;
  /** Members present for long enough to be trusted with a shard that works where it is. */
  readonly stableMembers: ReadonlySet<ControllerLabel>;
}

/**
 * What this controller should do about the shards. All controllers compute the same from the
 * same records, so claims seldom collide; when they do, the conditional write decides.
 */
export const planShardActions = (v: ShardView): readonly ShardAction[] => {
  const out: ShardAction[] = [];
  const load = new Map<ControllerLabel, number>();
  for (const label of [...v.members.keys()].sort(byLabel)) load.set(label, 0);
  const orphans: ShardId[] = [];
  const mine: ShardId[] = [];
  for (let i = 0; i < v.shardCount; i++) {
    const n = shardId(i);
    const h = v.shards.get(n);
    const member = h === undefined ? undefined : v.members.get(h.label);
    if (h === undefined || member === undefined) {
      orphans.push(n);
      continue;
    }
    load.set(h.label, (load.get(h.label) ?? 0) + 1);
    if (h.label !== v.self.label) continue;
    mine.push(n);
    // ShardState by this label's earlier start, which is dead: take it back at once.
    if (h.incarnation !== v.self.incarnation) out.push({ kind: "claim", shard: n });
  }
  for (const n of orphans) {
    const least = [...load].reduce((a, b) => (b[1] < a[1] ? b : a), [
      v.self.label,
      load.get(v.self.label) ?? 0,
    ] as const);
    const taker = [...load].find(([, k]) => k === least[1])?.[0] ?? v.self.label;
    load.set(taker, (load.get(taker) ?? 0) + 1);
    if (taker === v.self.label) out.push({ kind: "claim", shard: n });
  }
  if (out.length > 0 || orphans.length > 0) return out;
  // One at a time, and never while anything is being taken over.
  const idle = [...load].filter(([l]) => v.stableMembers.has(l)).sort((a, b) => a[1] - b[1])[0];
  const own = load.get(v.self.label) ?? 0;
  if (idle !== undefined && idle[0] !== v.self.label && own >= idle[1] + 2) {
    const to = v.members.get(idle[0]);
    const shard = mine[mine.length - 1];
    if (to !== undefined && shard !== undefined) out.push({ kind: "hand_over", shard, to });
  }
  return out;
};
