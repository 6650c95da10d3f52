import type { ShardId, TeamName } from "@umberfold/ids";
import { type Share, type Span, share, WHOLE } from "@umberfold/spans";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { tasksOf } from "./load.js";
import type { LoadSpreadSettings } from "./settings.js";

/** What each shard of a team's span should have of its quota. */
export type Targets = ReadonlyMap<ShardId, Share>;

/** One shard of one team, as a planner sees it; in parts of the team's quota, 0 to 1. */
export interface TeamPlanShard {
  readonly shard: ShardId;
  readonly owner: string;
  readonly current: number;
  readonly demand: number;
  readonly least: number;
  /** The whole, or for a shard that drains what its jobs still need. */
  readonly most: number;
}

export interface TeamPlan {
  readonly team: TeamName;
  readonly tasks: number;
  readonly shards: readonly TeamPlanShard[];
}

export interface PlanInput {
  readonly teams: readonly TeamPlan[];
  /** What each owner has to do beside the teams planned for. */
  readonly baseUnits: ReadonlyMap<string, number>;
  readonly costs: Pick<LoadSpreadSettings, "loadCost" | "transferCost">;
}

/** Demand without room for it weighs more than anything else. */
export const UNMET_COST = 1000;
const NO_OWNER = "";

const teamPlan = (
  load: TeamLoad,
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): TeamPlan | undefined => {
  if (load.span === undefined) return undefined;
  const least = leastShares(load, load.span, settings.minShare);
  const total = [...load.shards.values()].reduce((sum, s) => sum + s.demand, 0);
  // More demand than the quota is divided in proportion.
  const all = Math.max(WHOLE, total);
  const shards = load.span.entries.map((entry) => {
    const demand = (load.shards.get(entry.shard)?.demand ?? 0) / all;
    const leastPart = (least.get(entry.shard) ?? 0) / WHOLE;
    return {
      shard: entry.shard,
      owner: owners.find((o) => o.shards.includes(entry.shard))?.owner ?? NO_OWNER,
      current: entry.share / WHOLE,
      demand,
      least: leastPart,
      most: entry.state === "active" ? 1 : Math.max(leastPart, demand),
    };
  });
  return { team: load.team, tasks: tasksOf(load), shards };
};

/**
 * What each shard of a span must have: what its open attempts take; then, the longest waiting first,
 * room for its largest waiting task beside them, or that task would wait for ever; then the least
 * share of an active shard. Whatever no longer fits into the whole is left out.
 */
export const leastShares = (
  load: TeamLoad,
  span: Span,
  minShare: number,
): ReadonlyMap<ShardId, number> => {
  const out = new Map(span.entries.map((e) => [e.shard, load.shards.get(e.shard)?.used ?? 0]));
  let left = WHOLE - [...out.values()].reduce((sum, used) => sum + used, 0);
  const raise = (shard: ShardId, to: number): void => {
    const more = to - (out.get(shard) ?? 0);
    if (more <= 0 || more > left) return;
    out.set(shard, to);
    left -= more;
  };
  const waiting = [...load.shards.values()].filter((s) => s.waiting > 0 && out.has(s.shard));
  for (const s of waiting.sort((a, b) => a.oldest - b.oldest)) raise(s.shard, s.used + s.largest);
  for (const e of span.entries)
    if (e.state === "active") raise(e.shard, Math.floor(minShare * WHOLE));
  return out;
};

export const planInput = (
  loads: readonly TeamLoad[],
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): PlanInput => {
  const teams = loads.flatMap((load) => teamPlan(load, owners, settings) ?? []);
  const spread = new Set(teams.map((t) => t.team));
  const baseUnits = new Map(owners.map((o) => [o.owner, o.units]));
  for (const load of loads) {
    if (!spread.has(load.team)) continue;
    for (const here of load.shards.values()) {
      const owner = owners.find((o) => o.shards.includes(here.shard))?.owner ?? NO_OWNER;
      const rest = (baseUnits.get(owner) ?? 0) - here.open - here.waiting;
      baseUnits.set(owner, Math.max(0, rest));
    }
  }
  return { teams, baseUnits, costs: settings };
};

/** Parts are sums of decimals; what is meant to be a whole millionth must not be taken for less. */
const ROUNDING = 1e-3;

/** Parts of a quota as whole shares that add up to no more than the whole. */
export const toTargets = (parts: ReadonlyMap<ShardId, number>): Targets => {
  const out = new Map<ShardId, Share>();
  let left: number = WHOLE;
  for (const [shard, part] of parts) {
    const target = Math.min(left, Math.floor(part * WHOLE + ROUNDING));
    out.set(shard, share(target));
    left -= target;
  }
  return out;
};

/**
 * Whether targets differ enough from those in force to be written: by a step, or because a shard
 * could not run its largest task under the old ones. At a steady load nothing is written.
 */
export const worthWriting = (
  span: Span,
  targets: Targets,
  least: ReadonlyMap<ShardId, number>,
  step: number,
): boolean =>
  span.entries.some((e) => {
    const next = targets.get(e.shard) ?? 0;
    if (e.target < (least.get(e.shard) ?? 0) && next > e.target) return true;
    return Math.abs(next - e.target) >= step * WHOLE;
  });

/**
 * What a plan costs, by the same measure for every planner: demand without room, the busiest owner
 * as a multiple of the mean, and the shares that change hands.
 */
export const planCost = (input: PlanInput, plan: ReadonlyMap<TeamName, Targets>): number => {
  const units = new Map(input.baseUnits);
  let unmet = 0;
  let moved = 0;
  for (const team of input.teams) {
    const targets = plan.get(team.team);
    for (const row of team.shards) {
      const part = (targets?.get(row.shard) ?? 0) / WHOLE;
      unmet += Math.max(0, row.demand - part);
      moved += Math.max(0, part - row.current);
      units.set(row.owner, (units.get(row.owner) ?? 0) + team.tasks * part);
    }
  }
  const loads = [...units].filter(([owner]) => owner !== NO_OWNER).map(([, n]) => n);
  const mean = loads.reduce((sum, n) => sum + n, 0) / Math.max(1, loads.length);
  const busiest = mean > 0 ? Math.max(0, ...loads) / mean : 0;
  return UNMET_COST * unmet + input.costs.loadCost * busiest + input.costs.transferCost * moved;
};
