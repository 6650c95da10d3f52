import type { ShardId, TeamName } from "@umberfold/ids";
import { type PlannedShare, type Share, type Span, share, WHOLE } from "@umberfold/spans";
import { leastShares } from "./least-shares.js";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { tasksOf } from "./load.js";
import type { LoadSpreadSettings } from "./settings.js";

/** What each shard of a team's span should have of its quota and of its new jobs. */
export type SpanPlan = ReadonlyMap<ShardId, PlannedShare>;

/** One shard of one team, as a planner sees it; in parts of the team's quota, 0 to 1. */
export interface TeamPlanShard {
  readonly shard: ShardId;
  readonly owner: string;
  /** Whether new jobs may be placed there. */
  readonly active: boolean;
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
  /** What each owner has to do now; new jobs come on top. */
  readonly units: ReadonlyMap<string, number>;
  /** The least part of its new jobs that each active shard takes. */
  readonly leastWeight: number;
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
    const active = entry.state === "active";
    return {
      shard: entry.shard,
      owner: owners.find((o) => o.shards.includes(entry.shard))?.owner ?? NO_OWNER,
      active,
      current: entry.share / WHOLE,
      demand,
      least: leastPart,
      most: active ? 1 : Math.max(leastPart, demand),
    };
  });
  return { team: load.team, tasks: tasksOf(load), shards };
};

export const planInput = (
  loads: readonly TeamLoad[],
  owners: readonly OwnerLoad[],
  settings: LoadSpreadSettings,
): PlanInput => ({
  teams: loads.flatMap((load) => teamPlan(load, owners, settings) ?? []),
  units: new Map(owners.map((o) => [o.owner, o.units])),
  leastWeight: settings.minShare,
  costs: settings,
});

/** A solver's parts are right within this; they are rounded to it. */
const PRECISION = 1e-9;

const PRECISION_SHARE = Math.round(PRECISION * WHOLE);

/** Parts of a whole as shares that add up to no more than it. */
export const toShares = (parts: ReadonlyMap<ShardId, number>): ReadonlyMap<ShardId, Share> => {
  const out = new Map<ShardId, Share>();
  let left: number = WHOLE;
  for (const [shard, part] of parts) {
    const target = Math.min(left, Math.round(part / PRECISION) * PRECISION_SHARE);
    out.set(shard, share(target));
    left -= target;
  }
  return out;
};

export const spanPlan = (
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
 * What a plan costs, by the same measure for every planner: demand without room, the busiest owner
 * as a multiple of the mean once new jobs have come, and the shares that change hands.
 */
export const planCost = (input: PlanInput, plan: ReadonlyMap<TeamName, SpanPlan>): number => {
  const units = new Map(input.units);
  let unmet = 0;
  let moved = 0;
  for (const team of input.teams) {
    const planned = plan.get(team.team);
    for (const row of team.shards) {
      const { target, weight } = planned?.get(row.shard) ?? { target: 0, weight: 0 };
      unmet += Math.max(0, row.demand - target / WHOLE);
      moved += Math.max(0, target / WHOLE - row.current);
      units.set(row.owner, (units.get(row.owner) ?? 0) + (team.tasks * weight) / WHOLE);
    }
  }
  const loads = [...units].filter(([owner]) => owner !== NO_OWNER).map(([, n]) => n);
  const mean = loads.reduce((sum, n) => sum + n, 0) / Math.max(1, loads.length);
  const busiest = mean > 0 ? Math.max(0, ...loads) / mean : 0;
  return UNMET_COST * unmet + input.costs.loadCost * busiest + input.costs.transferCost * moved;
};

/** Weights follow the owners' load, which swings: they are written at changes of so many steps. */
const WEIGHT_STEPS = 3;

/**
 * Whether a plan differs enough from the one in force to be written: by a step, or because a shard
 * could not run its largest task under the old one, or keeps what it no longer needs while it
 * drains. At a steady load nothing is written.
 */
export const worthWriting = (
  span: Span,
  plan: SpanPlan,
  least: ReadonlyMap<ShardId, number>,
  step: number,
): boolean =>
  span.entries.some((e) => {
    const { target, weight } = plan.get(e.shard) ?? { target: 0, weight: 0 };
    if (e.target < (least.get(e.shard) ?? 0) && target > e.target) return true;
    // What drains must come to nothing, however little is left.
    if (e.state === "draining" && target === 0 && e.target > 0) return true;
    const reweighed = Math.abs(weight - e.weight) >= WEIGHT_STEPS * step * WHOLE;
    return reweighed || Math.abs(target - e.target) >= step * WHOLE;
  });
