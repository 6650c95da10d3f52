/**
 * Plans spans with a greedy method: the fallback if the solver fails, and the baseline that the
 * cost of the solver's plans is compared with.
 *
 * Holds no state. Like the solver's plans, a plan gives every shard at least its minimum target,
 * and its targets add up to the full quota.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { buildSpanPlan, type PlanInput, type SpanPlan, type TeamPlanInput } from "./plan.js";

/**
 * Returns the targets as fractions of the quota. Each shard gets its minimum; the rest is divided
 * in proportion to the demand that the minimums don't cover; what then remains is divided equally
 * between the active shards.
 */
const targetsOf = ({ shards }: TeamPlanInput): ReadonlyMap<ShardId, number> => {
  const unmet = shards.map((row) =>
    Math.max(0, Math.min(row.demandFraction, row.maxTargetFraction) - row.minTargetFraction),
  );
  const totalUnmet = unmet.reduce((sum, fraction) => sum + fraction, 0);
  const rest = Math.max(0, 1 - shards.reduce((sum, row) => sum + row.minTargetFraction, 0));
  const givenToDemand = Math.min(rest, totalUnmet);
  const activeCount = shards.filter((row) => row.isActive).length;
  const targets = new Map<ShardId, number>();
  for (const [i, row] of shards.entries()) {
    const forDemand = totalUnmet > 0 ? (givenToDemand * (unmet[i] ?? 0)) / totalUnmet : 0;
    const equalFraction = row.isActive ? (rest - givenToDemand) / activeCount : 0;
    targets.set(row.shard, row.minTargetFraction + forDemand + equalFraction);
  }
  return targets;
};

/**
 * Returns the weights of the active shards. Beyond the minimum weight, they are proportional to how
 * far the load of a shard's owner is below the load of the busiest of these owners.
 */
const weightsOf = ({ shards }: TeamPlanInput, input: PlanInput): ReadonlyMap<ShardId, number> => {
  const active = shards.filter((row) => row.isActive);
  const ownerUnits = active.map((row) => input.loadUnitsByOwner.get(row.owner) ?? 0);
  const headroom = ownerUnits.map((units) => 1 + Math.max(0, ...ownerUnits) - units);
  const totalHeadroom = headroom.reduce((sum, units) => sum + units, 0);
  const rest = 1 - input.minWeightFraction * active.length;
  return new Map(
    active.map((row, i) => [
      row.shard,
      input.minWeightFraction + (rest * (headroom[i] ?? 0)) / totalHeadroom,
    ]),
  );
};

/** Returns a plan for each team of the input. */
export const greedyPlan = (input: PlanInput): ReadonlyMap<TeamName, SpanPlan> =>
  new Map(
    input.teams.map((team) => [team.team, buildSpanPlan(targetsOf(team), weightsOf(team, input))]),
  );
