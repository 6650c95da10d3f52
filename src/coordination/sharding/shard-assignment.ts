/**
 * Decides which controller should own which shard, and which shard each team belongs to. Pure
 * functions: all controllers compute the same result from the same records. `ShardReconciler`
 * carries out the result.
 */
import { type ControllerLabel, type ShardId, shardId, type TeamName } from "@umberfold/ids";
import type { ControllerId } from "../../storage/records.js";

/** A shard is handed over only to a controller that owns at least this many shards fewer. */
const MIN_SHARD_COUNT_DIFFERENCE = 2;

const compareStrings = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/**
 * Assigns teams that have no home shard yet, in the order of their names, each to the shard with
 * the fewest teams. (Hashing the name put seven of ten teams of one deployment on one shard.)
 *
 * An assignment is permanent: if a team with open attempts changed its shard, two owners could
 * start attempts of it and together exceed its limit.
 *
 * @param recorded the assignments so far; the result contains all of them
 * @param names the teams of the settings
 */
export const assignTeams = (
  recorded: ReadonlyMap<TeamName, ShardId>,
  names: readonly TeamName[],
  shardCount: number,
): ReadonlyMap<TeamName, ShardId> => {
  const assigned = new Map(recorded);
  const teamCounts = Array.from({ length: shardCount }, () => 0);
  const countTeam = (shard: number): void => {
    teamCounts[shard] = (teamCounts[shard] ?? 0) + 1;
  };
  // The record may name shards beyond the current shard count.
  for (const shard of recorded.values()) if (shard < shardCount) countTeam(shard);
  for (const name of [...names].sort(compareStrings)) {
    if (assigned.has(name)) continue;
    const leastLoaded = teamCounts.indexOf(Math.min(...teamCounts));
    countTeam(leastLoaded);
    assigned.set(name, shardId(leastLoaded));
  }
  return assigned;
};

/** A change of a shard's owner: a controller claims the shard, or hands it over to another. */
export type ShardAction =
  | { readonly kind: "claim"; readonly shard: ShardId }
  | { readonly kind: "hand_over"; readonly shard: ShardId; readonly to: ControllerId };

/** The state from which one controller computes its plan. */
export interface ShardPlanInput {
  readonly self: ControllerId;
  readonly shardCount: number;
  /** The recorded owner of each shard, alive or not; absent for shards that were never claimed. */
  readonly shardOwners: ReadonlyMap<ShardId, ControllerId>;
  /** All live controllers, including this one. */
  readonly members: ReadonlyMap<ControllerLabel, ControllerId>;
  /** Members that have been present for long enough to have a shard handed over to them. */
  readonly stableMembers: ReadonlySet<ControllerLabel>;
}

/** How many shards each member owns, in the order of the labels, which breaks ties. */
type ShardCounts = Map<ControllerLabel, number>;

const countShard = (counts: ShardCounts, owner: ControllerLabel): void => {
  counts.set(owner, (counts.get(owner) ?? 0) + 1);
};

/** The shards, classified by their owner. */
interface ShardSummary {
  readonly counts: ShardCounts;
  /** Shards that have no owner or whose owner is not alive. */
  readonly unowned: readonly ShardId[];
  /** Shards whose recorded owner has this controller's label. */
  readonly owned: readonly ShardId[];
  /** Those of `owned` that an earlier incarnation of this controller claimed before a restart. */
  readonly ownedByEarlierIncarnation: readonly ShardId[];
}

const summarizeShards = (input: ShardPlanInput): ShardSummary => {
  const counts: ShardCounts = new Map();
  for (const label of [...input.members.keys()].sort(compareStrings)) counts.set(label, 0);
  const unowned: ShardId[] = [];
  const owned: ShardId[] = [];
  const ownedByEarlierIncarnation: ShardId[] = [];
  for (let n = 0; n < input.shardCount; n++) {
    const shard = shardId(n);
    const owner = input.shardOwners.get(shard);
    if (owner === undefined || !input.members.has(owner.label)) {
      unowned.push(shard);
      continue;
    }
    countShard(counts, owner.label);
    if (owner.label !== input.self.label) continue;
    owned.push(shard);
    if (owner.incarnation !== input.self.incarnation) ownedByEarlierIncarnation.push(shard);
  }
  return { counts, unowned, owned, ownedByEarlierIncarnation };
};

/** The member with the fewest shards; among equals the first by label. */
const leastLoadedMember = (counts: ShardCounts, self: ControllerLabel): ControllerLabel => {
  const fewest = Math.min(counts.get(self) ?? 0, ...counts.values());
  for (const [label, count] of counts) if (count === fewest) return label;
  return self;
};

/**
 * The shards that this controller claims: those of its earlier incarnation, and its part of the
 * unowned shards, which go one by one to the member that has the fewest shards by then.
 */
const shardsToClaim = (input: ShardPlanInput, summary: ShardSummary): readonly ShardId[] => {
  const { label: self } = input.self;
  const claimed = [...summary.ownedByEarlierIncarnation];
  const counts = new Map(summary.counts);
  for (const shard of summary.unowned) {
    const claimant = leastLoadedMember(counts, self);
    countShard(counts, claimant);
    if (claimant === self) claimed.push(shard);
  }
  return claimed;
};

/**
 * The hand-over of one shard to the stable member with the fewest shards, if that member owns at
 * least `MIN_SHARD_COUNT_DIFFERENCE` fewer than this controller.
 */
const planHandOver = (input: ShardPlanInput, summary: ShardSummary): ShardAction | undefined => {
  const [leastLoaded] = [...summary.counts]
    .filter(([label]) => input.stableMembers.has(label))
    .sort((a, b) => a[1] - b[1]);
  if (leastLoaded === undefined) return undefined;
  const [label, count] = leastLoaded;
  const ownedCount = summary.counts.get(input.self.label) ?? 0;
  if (label === input.self.label || ownedCount < count + MIN_SHARD_COUNT_DIFFERENCE)
    return undefined;
  const to = input.members.get(label);
  const shard = summary.owned.at(-1);
  return to === undefined || shard === undefined ? undefined : { kind: "hand_over", shard, to };
};

/**
 * The shards that this controller should claim or hand over. All controllers compute the same plan
 * from the same records, so two of them seldom claim the same shard; if they do, only one of the
 * conditional writes succeeds.
 */
export const planShardActions = (input: ShardPlanInput): readonly ShardAction[] => {
  const summary = summarizeShards(input);
  const claims = shardsToClaim(input, summary);
  // Hand over one shard at a time, and none while any shard is unowned or about to be claimed.
  if (claims.length > 0 || summary.unowned.length > 0)
    return claims.map((shard) => ({ kind: "claim", shard }));
  const handOver = planHandOver(input, summary);
  return handOver === undefined ? [] : [handOver];
};
