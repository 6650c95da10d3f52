import type { ShardId, TeamName } from "@umberfold/ids";
import { type PlanInput, type SpanPlan, spanPlan, type TeamPlan } from "./plan.js";

/**
 * To each shard what it needs at least, then in proportion what demand lacks; what is left goes to
 * the shards that take new jobs, alike.
 */
const targetsOf = ({ shards }: TeamPlan): ReadonlyMap<ShardId, number> => {
  const parts = new Map<ShardId, number>();
  const lacks = shards.map((s) => Math.max(0, Math.min(s.demand, s.most) - s.least));
  const lack = lacks.reduce((sum, n) => sum + n, 0);
  const rest = Math.max(0, 1 - shards.reduce((sum, s) => sum + s.least, 0));
  const given = Math.min(rest, lack);
  const active = shards.filter((s) => s.active);
  for (const [i, s] of shards.entries()) {
    const forDemand = lack > 0 ? (given * (lacks[i] ?? 0)) / lack : 0;
    const alike = s.active ? (rest - given) / active.length : 0;
    parts.set(s.shard, s.least + forDemand + alike);
  }
  return parts;
};

/** New jobs by how far each owner is from the busiest. */
const weightsOf = ({ shards }: TeamPlan, input: PlanInput): ReadonlyMap<ShardId, number> => {
  const active = shards.filter((s) => s.active);
  const units = active.map((s) => input.units.get(s.owner) ?? 0);
  const room = units.map((n) => 1 + Math.max(0, ...units) - n);
  const all = room.reduce((sum, n) => sum + n, 0);
  const free = 1 - input.leastWeight * active.length;
  return new Map(
    active.map((s, i) => [s.shard, input.leastWeight + (free * (room[i] ?? 0)) / all]),
  );
};

/** Plans without a solver: the fallback, and what the solver is compared with. */
export const greedyPlan = (input: PlanInput): ReadonlyMap<TeamName, SpanPlan> =>
  new Map(
    input.teams.map((team) => [team.team, spanPlan(targetsOf(team), weightsOf(team, input))]),
  );
