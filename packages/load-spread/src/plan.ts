/**
 * A plan for the spans of all teams: what a planner is given, what it returns, what that costs, and
 * whether it is worth a write.
 *
 * No state. Planners compute with parts of a team's quota, 0 to 1; spans hold `Share`s.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { FULL_SHARE, type PlannedShare, type Share, type Span, share } from "@umberfold/spans";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { taskCountOf } from "./load.js";
import { minimumShares } from "./minimum-shares.js";
import type { LoadSpreadSettings } from "./settings.js";

/** What each shard of a team's span should have of its quota and of its new jobs. */
export type SpanPlan = ReadonlyMap<ShardId, PlannedShare>;

/** One shard of one team as a planner sees it; amounts are parts of the team's quota, 0 to 1. */
export interface ShardPlanInput {
  readonly shard: ShardId;
  /** The owner's label; empty while the shard has none. */
  readonly owner: string;
  /** Whether new jobs may be placed there. */
  readonly isActive: boolean;
  /** The share that it has now. */
  readonly currentFraction: number;
  readonly demandFraction: number;
  readonly minTargetFraction: number;
  /** The whole, or for a draining shard what its jobs still need. */
  readonly maxTargetFraction: number;
}

/** One team as a planner sees it. */
export interface TeamPlanInput {
  readonly team: TeamName;
  /** Its open attempts and waiting tasks. */
  readonly taskCount: number;
  readonly shards: readonly ShardPlanInput[];
}

/** What a planner is given. */
export interface PlanInput {
  readonly teams: readonly TeamPlanInput[];
  /** What each owner has to do now, by label; new jobs come in addition. */
  readonly loadUnitsByOwner: ReadonlyMap<string, number>;
  /** The part (0 to 1) of its team's new jobs that each active shard gets at least. */
  readonly minWeightFraction: number;
  readonly costs: Pick<LoadSpreadSettings, "loadCost" | "transferCost">;
}

/** Cost of demand that targets don't cover, for a whole quota: far above all other costs. */
export const UNMET_DEMAND_COST = 1000;
const NO_OWNER = "";

const teamPlanInput = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): TeamPlanInput | undefined => {
  if (load.span === undefined) return undefined;
  const minimums = minimumShares(load, load.span, settings.minShare);
  const totalDemand = [...load.shards.values()].reduce((sum, row) => sum + row.demandShare, 0);
  // Demand beyond the quota is scaled down to it.
  const demandScale = Math.max(FULL_SHARE, totalDemand);
  const shards = load.span.entries.map((entry) => {
    const demandFraction = (load.shards.get(entry.shard)?.demandShare ?? 0) / demandScale;
    const minTargetFraction = (minimums.get(entry.shard) ?? 0) / FULL_SHARE;
    const isActive = entry.state === "active";
    return {
      shard: entry.shard,
      owner: owners.find((o) => o.shards.includes(entry.shard))?.owner ?? NO_OWNER,
      isActive,
      currentFraction: entry.share / FULL_SHARE,
      demandFraction,
      minTargetFraction,
      maxTargetFraction: isActive ? 1 : Math.max(minTargetFraction, demandFraction),
    };
  });
  return { team: load.team, taskCount: taskCountOf(load), shards };
};

/** The planners' input; teams without a span are left out. */
export const planInput = (
  loads: readonly TeamLoad[],
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): PlanInput => ({
  teams: loads.flatMap((load) => teamPlanInput(load, owners, settings) ?? []),
  loadUnitsByOwner: new Map(owners.map((o) => [o.owner, o.loadUnits])),
  minWeightFraction: settings.minShare,
  costs: settings,
});

/** The solver's parts are exact within this: parts are rounded to multiples of it. */
const FRACTION_PRECISION = 1e-9;
const FRACTION_PRECISION_SHARE = Math.round(FRACTION_PRECISION * FULL_SHARE);

/** Parts (0 to 1) of a whole as shares that add up to no more than the whole. */
export const toShares = (parts: ReadonlyMap<ShardId, number>): ReadonlyMap<ShardId, Share> => {
  const shares = new Map<ShardId, Share>();
  let remaining: number = FULL_SHARE;
  for (const [shard, part] of parts) {
    const rounded = Math.min(
      remaining,
      Math.round(part / FRACTION_PRECISION) * FRACTION_PRECISION_SHARE,
    );
    shares.set(shard, share(rounded));
    remaining -= rounded;
  }
  return shares;
};

/** A span's plan from targets and weights as parts (0 to 1); a shard without a weight gets none. */
export const buildSpanPlan = (
  targets: ReadonlyMap<ShardId, number>,
  weights: ReadonlyMap<ShardId, number>,
): SpanPlan => {
  const weightShares = toShares(weights);
  return new Map(
    [...toShares(targets)].map(([shard, target]) => [
      shard,
      { target, weight: weightShares.get(shard) ?? share(0) },
    ]),
  );
};

/**
 * What a plan costs, by the same measure for every planner: demand that targets don't cover, the
 * load of the busiest owner once new jobs have come, as a multiple of the mean, and the shares that
 * are transferred. No unit: only comparable with other plans for the same input.
 */
export const planCost = (input: PlanInput, plan: ReadonlyMap<TeamName, SpanPlan>): number => {
  const units = new Map(input.loadUnitsByOwner);
  let unmet = 0;
  let transferred = 0;
  for (const team of input.teams) {
    const planned = plan.get(team.team);
    for (const row of team.shards) {
      const { target, weight } = planned?.get(row.shard) ?? { target: 0, weight: 0 };
      unmet += Math.max(0, row.demandFraction - target / FULL_SHARE);
      transferred += Math.max(0, target / FULL_SHARE - row.currentFraction);
      units.set(row.owner, (units.get(row.owner) ?? 0) + (team.taskCount * weight) / FULL_SHARE);
    }
  }
  const loads = [...units].filter(([owner]) => owner !== NO_OWNER).map(([, load]) => load);
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  const busiest = mean > 0 ? Math.max(0, ...loads) / mean : 0;
  return (
    UNMET_DEMAND_COST * unmet +
    input.costs.loadCost * busiest +
    input.costs.transferCost * transferred
  );
};

/** Weights follow the owners' loads, which swing: only changes of this many steps are written. */
const MIN_WEIGHT_CHANGE_STEPS = 3;

/**
 * Whether a plan differs enough from the span's present one to be written: by `step` (a part, 0 to
 * 1, of the quota), or because a shard could not run its largest waiting task under the present one,
 * or because a draining shard keeps what it no longer needs. At a steady load nothing is written.
 */
export const isWorthWriting = (
  span: Span,
  plan: SpanPlan,
  minimums: ReadonlyMap<ShardId, number>,
  step: number,
): boolean =>
  span.entries.some((entry) => {
    const { target, weight } = plan.get(entry.shard) ?? { target: 0, weight: 0 };
    if (entry.target < (minimums.get(entry.shard) ?? 0) && target > entry.target) return true;
    // A draining shard must come to nothing, however little is left.
    if (entry.state === "draining" && target === 0 && entry.target > 0) return true;
    const weightChanged =
      Math.abs(weight - entry.weight) >= MIN_WEIGHT_CHANGE_STEPS * step * FULL_SHARE;
    return weightChanged || Math.abs(target - entry.target) >= step * FULL_SHARE;
  });
