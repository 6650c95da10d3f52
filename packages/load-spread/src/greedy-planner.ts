import type { ShardId, TeamName } from "@umberfold/ids";
import { type PlanInput, type Targets, type TeamPlan, toTargets } from "./plan.js";

/**
 * To each shard what it needs at least, then in proportion what demand lacks; what is left goes to
 * the shards that take new jobs, alike.
 */
const greedyTeam = ({ shards }: TeamPlan): Targets => {
  const parts = new Map<ShardId, number>(shards.map((s) => [s.shard, s.least]));
  const lacks = shards.map((s) => Math.max(0, Math.min(s.demand, s.most) - s.least));
  const lack = lacks.reduce((sum, n) => sum + n, 0);
  const rest = Math.max(0, 1 - shards.reduce((sum, s) => sum + s.least, 0));
  const given = Math.min(rest, lack);
  const open = shards.filter((s) => s.most >= 1);
  for (const [i, s] of shards.entries()) {
    const forDemand = lack > 0 ? (given * (lacks[i] ?? 0)) / lack : 0;
    const alike = s.most >= 1 ? (rest - given) / open.length : 0;
    parts.set(s.shard, s.least + forDemand + alike);
  }
  return toTargets(parts);
};

/** Targets without a solver: the fallback, and what the solver is compared with. */
export const greedyTargets = (input: PlanInput): ReadonlyMap<TeamName, Targets> =>
  new Map(input.teams.map((team) => [team.team, greedyTeam(team)]));
