/**
 * Plans spans without a solver: the fallback, and what the solver's plans are compared with.
 *
 * No state. A plan keeps every shard's minimum and its targets add up to the whole, like the
 * solver's.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { buildSpanPlan, type PlanInput, type SpanPlan, type TeamPlanInput } from "./plan.js";

/**
 * Targets as parts of the quota: to each shard its minimum, then in proportion to the demand that
 * this doesn't cover; what is left goes to the active shards in equal parts.
 */
const targetsOf = ({ shards }: TeamPlanInput): ReadonlyMap<ShardId, number> => {
  const unmet = shards.map((row) =>
    Math.max(0, Math.min(row.demandFraction, row.maxTargetFraction) - row.minTargetFraction),
  );
  const totalUnmet = unmet.reduce((sum, part) => sum + part, 0);
  const rest = Math.max(0, 1 - shards.reduce((sum, row) => sum + row.minTargetFraction, 0));
  const givenToDemand = Math.min(rest, totalUnmet);
  const activeCount = shards.filter((row) => row.isActive).length;
  const targets = new Map<ShardId, number>();
  for (const [i, row] of shards.entries()) {
    const forDemand = totalUnmet > 0 ? (givenToDemand * (unmet[i] ?? 0)) / totalUnmet : 0;
    const equalPart = row.isActive ? (rest - givenToDemand) / activeCount : 0;
    targets.set(row.shard, row.minTargetFraction + forDemand + equalPart);
  }
  return targets;
};

/** Weights of the active shards, in proportion to how far their owners are below the busiest. */
const weightsOf = ({ shards }: TeamPlanInput, input: PlanInput): ReadonlyMap<ShardId, number> => {
  const active = shards.filter((row) => row.isActive);
  const units = active.map((row) => input.loadUnitsByOwner.get(row.owner) ?? 0);
  const headroom = units.map((ownUnits) => 1 + Math.max(0, ...units) - ownUnits);
  const totalHeadroom = headroom.reduce((sum, n) => sum + n, 0);
  const rest = 1 - input.minWeightFraction * active.length;
  return new Map(
    active.map((row, i) => [
      row.shard,
      input.minWeightFraction + (rest * (headroom[i] ?? 0)) / totalHeadroom,
    ]),
  );
};

/** A plan for each team of the input. */
export const greedyPlan = (input: PlanInput): ReadonlyMap<TeamName, SpanPlan> =>
  new Map(
    input.teams.map((team) => [team.team, buildSpanPlan(targetsOf(team), weightsOf(team, input))]),
  );
