/**
 * Which controller should own which shard, and which shard each team belongs to. Pure and without
 * state: all controllers compute the same from the same records; `ShardReconciler` carries it out.
 */
import { type ControllerLabel, type ShardId, shardId, type TeamName } from "@umberfold/ids";
import type { ControllerId } from "../../storage/records.js";

/** A shard is handed over only to a controller that owns at least this many fewer. */
const MIN_IMBALANCE = 2;

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
  shardCount: number,
): ReadonlyMap<TeamName, ShardId> => {
  const assigned = new Map(known);
  const teamCounts = Array.from({ length: shardCount }, () => 0);
  const countTeam = (shard: number): void => {
    teamCounts[shard] = (teamCounts[shard] ?? 0) + 1;
  };
  // The record may name shards beyond today's count.
  for (const shard of known.values()) if (shard < shardCount) countTeam(shard);
  for (const name of [...names].sort(byLabel)) {
    if (assigned.has(name)) continue;
    const emptiest = teamCounts.indexOf(Math.min(...teamCounts));
    countTeam(emptiest);
    assigned.set(name, shardId(emptiest));
  }
  return assigned;
};

/** What a controller does about one shard: make itself the owner, or make another one. */
export type ShardAction =
  | { readonly kind: "claim"; readonly shard: ShardId }
  | { readonly kind: "hand_over"; readonly shard: ShardId; readonly to: ControllerId };

/** The records that the plan follows from, as one controller sees them. */
export interface ShardView {
  readonly self: ControllerId;
  readonly shardCount: number;
  /** The owner of each shard by its record; absent for shards that were never claimed. */
  readonly shards: ReadonlyMap<ShardId, ControllerId>;
  /** Live members, this controller among them. */
  readonly members: ReadonlyMap<ControllerLabel, ControllerId>;
  /** Members present for long enough to be trusted with a shard that works where it is. */
  readonly stableMembers: ReadonlySet<ControllerLabel>;
}

/** How many shards each member owns. The order is that of the labels, which breaks ties. */
type ShardCounts = Map<ControllerLabel, number>;

const countShard = (counts: ShardCounts, owner: ControllerLabel): void => {
  counts.set(owner, (counts.get(owner) ?? 0) + 1);
};

/** The shards of a view by what their owner is. */
interface ShardCensus {
  readonly counts: ShardCounts;
  /** Shards without an owner, or whose owner is not alive. */
  readonly unowned: readonly ShardId[];
  /** Shards whose owner has this controller's label. */
  readonly own: readonly ShardId[];
  /** Those of `own` that an earlier, dead start of this label claimed. */
  readonly ownOfEarlierStart: readonly ShardId[];
}

const takeCensus = (view: ShardView): ShardCensus => {
  const counts: ShardCounts = new Map();
  for (const label of [...view.members.keys()].sort(byLabel)) counts.set(label, 0);
  const unowned: ShardId[] = [];
  const own: ShardId[] = [];
  const ownOfEarlierStart: ShardId[] = [];
  for (let n = 0; n < view.shardCount; n++) {
    const shard = shardId(n);
    const owner = view.shards.get(shard);
    if (owner === undefined || !view.members.has(owner.label)) {
      unowned.push(shard);
      continue;
    }
    countShard(counts, owner.label);
    if (owner.label !== view.self.label) continue;
    own.push(shard);
    if (owner.incarnation !== view.self.incarnation) ownOfEarlierStart.push(shard);
  }
  return { counts, unowned, own, ownOfEarlierStart };
};

/** The member with the fewest shards, the first by label among equals. */
const leastLoaded = (counts: ShardCounts, self: ControllerLabel): ControllerLabel => {
  const fewest = Math.min(counts.get(self) ?? 0, ...counts.values());
  for (const [label, count] of counts) if (count === fewest) return label;
  return self;
};

/** The shards that this controller claims: its own of an earlier start, and its part of the rest. */
const shardsToClaim = (view: ShardView, census: ShardCensus): readonly ShardId[] => {
  const { label: self } = view.self;
  const claimed = [...census.ownOfEarlierStart];
  const counts = new Map(census.counts);
  for (const shard of census.unowned) {
    const claimant = leastLoaded(counts, self);
    countShard(counts, claimant);
    if (claimant === self) claimed.push(shard);
  }
  return claimed;
};

/** At most one shard, from this controller to a stable member that owns clearly fewer. */
const handOver = (view: ShardView, census: ShardCensus): ShardAction | undefined => {
  const [emptiest] = [...census.counts]
    .filter(([label]) => view.stableMembers.has(label))
    .sort((a, b) => a[1] - b[1]);
  if (emptiest === undefined) return undefined;
  const [label, count] = emptiest;
  const ownCount = census.counts.get(view.self.label) ?? 0;
  if (label === view.self.label || ownCount < count + MIN_IMBALANCE) return undefined;
  const to = view.members.get(label);
  const shard = census.own.at(-1);
  return to === undefined || shard === undefined ? undefined : { kind: "hand_over", shard, to };
};

/**
 * What this controller should do about the shards. All controllers compute the same from the
 * same records, so claims seldom collide; when they do, the conditional write decides.
 */
export const planShardActions = (view: ShardView): readonly ShardAction[] => {
  const census = takeCensus(view);
  const claims = shardsToClaim(view, census);
  // One hand-over at a time, and never while any shard is being claimed.
  if (claims.length > 0 || census.unowned.length > 0)
    return claims.map((shard) => ({ kind: "claim", shard }));
  const transfer = handOver(view, census);
  return transfer === undefined ? [] : [transfer];
};
