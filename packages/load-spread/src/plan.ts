/**
 * Plans for the spans of all teams: the planners' input and output, the cost of a plan, and whether
 * a plan differs enough from the current one to be written.
 *
 * Holds no state. Planners compute with fractions of a team's quota, from 0 to 1; spans hold
 * `Share`s.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { FULL_SHARE, type PlannedShare, type Share, type Span, share } from "@umberfold/spans";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { taskCountOf } from "./load.js";
import { minimumShares } from "./minimum-shares.js";
import type { LoadSpreadSettings } from "./settings.js";

/** The planned target and weight of each shard in a team's span. */
export type SpanPlan = ReadonlyMap<ShardId, PlannedShare>;

/**
 * A planner's input for one shard of one team. Amounts are fractions, 0 to 1, of the team's quota.
 */
export interface ShardPlanInput {
  readonly shard: ShardId;
  /** The owner's label; empty while the shard has no owner. */
  readonly owner: string;
  /** Whether new jobs may be placed in the shard. */
  readonly isActive: boolean;
  /** The shard's current share. */
  readonly currentFraction: number;
  readonly demandFraction: number;
  readonly minTargetFraction: number;
  /** 1 for an active shard; for a draining one, the larger of its demand and its minimum. */
  readonly maxTargetFraction: number;
}

/** A planner's input for one team. */
export interface TeamPlanInput {
  readonly team: TeamName;
  /** The number of its open attempts and waiting tasks. */
  readonly taskCount: number;
  readonly shards: readonly ShardPlanInput[];
}

/** A planner's input. */
export interface PlanInput {
  readonly teams: readonly TeamPlanInput[];
  /** Each owner's current load, by label. A plan's new jobs add to it. */
  readonly loadUnitsByOwner: ReadonlyMap<string, number>;
  /** The minimum fraction, from 0 to 1, of its team's new jobs that each active shard gets. */
  readonly minWeightFraction: number;
  readonly costs: Pick<LoadSpreadSettings, "loadCost" | "transferCost">;
}

/**
 * The cost of a full quota of demand that the targets don't cover: far above all other costs, so
 * that demand is covered first.
 */
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

/** Returns the planners' input; teams without a span are left out. */
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

/** Fractions are rounded to multiples of this; the solver's answers are at least as precise. */
const FRACTION_PRECISION = 1e-9;
const FRACTION_PRECISION_SHARE = Math.round(FRACTION_PRECISION * FULL_SHARE);

/** Converts fractions from 0 to 1 to shares that add up to at most a full share. */
export const toShares = (fractions: ReadonlyMap<ShardId, number>): ReadonlyMap<ShardId, Share> => {
  const shares = new Map<ShardId, Share>();
  let remaining: number = FULL_SHARE;
  for (const [shard, fraction] of fractions) {
    const rounded = Math.min(
      remaining,
      Math.round(fraction / FRACTION_PRECISION) * FRACTION_PRECISION_SHARE,
    );
    shares.set(shard, share(rounded));
    remaining -= rounded;
  }
  return shares;
};

/** Builds a span's plan from fractions, 0 to 1. A shard that is not in `weights` gets weight 0. */
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
 * Returns the cost of a plan, so that the plans of different planners can be compared. It is the
 * weighted sum of the demand that targets don't cover, the load of the busiest owner after new jobs
 * have been placed, as a multiple of the mean load, and the shares that are transferred. The cost
 * has no unit: compare it only with that of other plans for the same input.
 */
export const planCost = (input: PlanInput, plan: ReadonlyMap<TeamName, SpanPlan>): number => {
  const unitsByOwner = new Map(input.loadUnitsByOwner);
  let unmet = 0;
  let transferred = 0;
  for (const team of input.teams) {
    const planned = plan.get(team.team);
    for (const row of team.shards) {
      const { target, weight } = planned?.get(row.shard) ?? { target: 0, weight: 0 };
      unmet += Math.max(0, row.demandFraction - target / FULL_SHARE);
      transferred += Math.max(0, target / FULL_SHARE - row.currentFraction);
      unitsByOwner.set(
        row.owner,
        (unitsByOwner.get(row.owner) ?? 0) + (team.taskCount * weight) / FULL_SHARE,
      );
    }
  }
  const units = [...unitsByOwner].filter(([owner]) => owner !== NO_OWNER).map(([, n]) => n);
  const meanUnits = units.reduce((sum, n) => sum + n, 0) / Math.max(1, units.length);
  const busiestRatio = meanUnits > 0 ? Math.max(0, ...units) / meanUnits : 0;
  return (
    UNMET_DEMAND_COST * unmet +
    input.costs.loadCost * busiestRatio +
    input.costs.transferCost * transferred
  );
};

/**
 * A weight is written only if it changes by at least this many steps, because weights follow the
 * owners' loads, which fluctuate.
 */
const MIN_WEIGHT_CHANGE_STEPS = 3;

/**
 * Whether a plan differs enough from the span's current one to be written. It does if a target
 * changes by at least `step` or a weight by several steps, if a shard can't run its largest waiting
 * task under the current plan, or if a draining shard keeps a target that it no longer needs. At a
 * steady load nothing is written.
 *
 * @param step a fraction of the quota, from 0 to 1
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
    // The target of a draining shard must reach 0, even if the rest is smaller than a step.
    if (entry.state === "draining" && target === 0 && entry.target > 0) return true;
    const weightChanged =
      Math.abs(weight - entry.weight) >= MIN_WEIGHT_CHANGE_STEPS * step * FULL_SHARE;
    return weightChanged || Math.abs(target - entry.target) >= step * FULL_SHARE;
  });
