import type { TeamName } from "@umberfold/ids";
import { share } from "@umberfold/spans";
import { greedyPlan } from "./greedy-planner.js";
import { consolidated, leastShares } from "./least-shares.js";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { type PlanInput, planCost, planInput, type SpanPlan, worthWriting } from "./plan.js";
import type { LoadSpreadSettings } from "./settings.js";
import { solvePlan } from "./solver-planner.js";

export interface PlannerCounters {
  readonly solved: number;
  /** Plans made without the solver: input too large, failed, late, or no better than greedy. */
  readonly tooLarge: number;
  readonly failed: number;
  readonly late: number;
  readonly noBetter: number;
}

type Solver = typeof solvePlan;

/** Plans worth writing, for all spans: the solver's within its bounds of size and time, else greedy. */
export class LoadSpreadPlanner {
  readonly counters = { solved: 0, tooLarge: 0, failed: 0, late: 0, noBetter: 0 };

  constructor(
    private readonly settings: LoadSpreadSettings,
    /** Milliseconds of a steady clock. */
    private readonly now: () => number,
    private readonly solver: Solver = solvePlan,
  ) {}

  plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): ReadonlyMap<TeamName, SpanPlan> {
    const input = planInput(loads, owners, this.settings);
    if (input.teams.length === 0) return new Map();
    const chosen = this.#choose(input);
    const { minShare, shareStep } = this.settings;
    const out = new Map<TeamName, SpanPlan>();
    for (const load of loads) {
      const rough = chosen.get(load.team);
      if (load.span === undefined || rough === undefined) continue;
      const least = leastShares(load, load.span, minShare);
      const plan = withTargets(rough, load);
      if (worthWriting(load.span, plan, least, shareStep)) out.set(load.team, plan);
    }
    return out;
  }

  #choose(input: PlanInput): ReadonlyMap<TeamName, SpanPlan> {
    const greedy = greedyPlan(input);
    const solved = this.#solve(input);
    if (solved === undefined) return greedy;
    if (planCost(input, solved) > planCost(input, greedy)) {
      this.counters.noBetter++;
      return greedy;
    }
    this.counters.solved++;
    return solved;
  }

  #solve(input: PlanInput): ReadonlyMap<TeamName, SpanPlan> | undefined {
    const cells = input.teams.reduce((sum, t) => sum + t.shards.length, 0);
    if (cells > this.settings.solverCells) {
      this.counters.tooLarge++;
      return undefined;
    }
    const began = this.now();
    let solved: ReadonlyMap<TeamName, SpanPlan> | undefined;
    try {
      solved = this.solver(input, this.settings.solverMs);
    } catch {
      solved = undefined;
    }
    if (this.now() - began > this.settings.solverMs) {
      this.counters.late++;
      return undefined;
    }
    if (solved === undefined) this.counters.failed++;
    return solved;
  }
}

/** The plan with targets in which nothing is left over that a waiting task could use. */
const withTargets = (plan: SpanPlan, load: TeamLoad): SpanPlan => {
  if (load.span === undefined) return plan;
  const targets = new Map([...plan].map(([shard, { target }]) => [shard, target as number]));
  const better = consolidated(load, load.span, targets);
  return new Map(
    [...plan].map(([shard, { target, weight }]) => [
      shard,
      { target: share(better.get(shard) ?? target), weight },
    ]),
  );
};
