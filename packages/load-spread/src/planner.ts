/**
 * Plans all spans: by the solver within its bounds of size and time, and greedily otherwise.
 *
 * State: counters of how the plans came about, for the log. A solver that fails, is late or answers
 * a worse plan never does harm: the greedy plan is used instead, and the case is counted.
 */
import type { TeamName } from "@umberfold/ids";
import { share } from "@umberfold/spans";
import { greedyPlan } from "./greedy-planner.js";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { consolidateTargets, minimumShares } from "./minimum-shares.js";
import { isWorthWriting, type PlanInput, planCost, planInput, type SpanPlan } from "./plan.js";
import type { LoadSpreadSettings } from "./settings.js";
import { solvePlan } from "./solver-planner.js";

/** How often plans came from the solver (`solved`), or greedily and why (all others). */
export interface PlannerCounters {
  readonly solved: number;
  /** The input was beyond `solverCells`. */
  readonly tooLarge: number;
  /** The solver threw, or found no valid plan. */
  readonly failed: number;
  /** The solver took longer than `solverMs`. */
  readonly late: number;
  /** The solver's plan cost more than the greedy one. */
  readonly noBetter: number;
}

type PlanSolver = typeof solvePlan;

/** Plans the spans of all teams. */
export class LoadSpreadPlanner {
  /** Totals since this planner was made; a `PlannerCounters` that only the planner changes. */
  readonly counters = { solved: 0, tooLarge: 0, failed: 0, late: 0, noBetter: 0 };

  /** `now`: milliseconds of a monotonic clock. `solver`: another one for tests. */
  constructor(
    private readonly settings: LoadSpreadSettings,
    private readonly now: () => number,
    private readonly solver: PlanSolver = solvePlan,
  ) {}

  /** The plans that are worth a write, by team. */
  plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): ReadonlyMap<TeamName, SpanPlan> {
    const input = planInput(loads, owners, this.settings);
    if (input.teams.length === 0) return new Map();
    const plans = this.#cheaperPlans(input);
    const { minShare, shareStep } = this.settings;
    const worthWriting = new Map<TeamName, SpanPlan>();
    for (const load of loads) {
      const rough = plans.get(load.team);
      if (load.span === undefined || rough === undefined) continue;
      const minimums = minimumShares(load, load.span, minShare);
      const plan = consolidatedPlan(rough, load);
      if (isWorthWriting(load.span, plan, minimums, shareStep)) worthWriting.set(load.team, plan);
    }
    return worthWriting;
  }

  #cheaperPlans(input: PlanInput): ReadonlyMap<TeamName, SpanPlan> {
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

  /** The solver's plans; undefined if there are none, which is then counted by its reason. */
  #solve(input: PlanInput): ReadonlyMap<TeamName, SpanPlan> | undefined {
    const cells = input.teams.reduce((sum, team) => sum + team.shards.length, 0);
    if (cells > this.settings.solverCells) {
      this.counters.tooLarge++;
      return undefined;
    }
    const startedAt = this.now();
    let solved: ReadonlyMap<TeamName, SpanPlan> | undefined;
    try {
      solved = this.solver(input, this.settings.solverMs);
    } catch {
      // A fault in the solver must not stop load spreading: counted as failed below.
      solved = undefined;
    }
    if (this.now() - startedAt > this.settings.solverMs) {
      this.counters.late++;
      return undefined;
    }
    if (solved === undefined) this.counters.failed++;
    return solved;
  }
}

/** The plan with targets of which nothing is left unused that a waiting task would fit into. */
const consolidatedPlan = (plan: SpanPlan, load: TeamLoad): SpanPlan => {
  if (load.span === undefined) return plan;
  const targets = new Map([...plan].map(([shard, { target }]) => [shard, target as number]));
  const consolidated = consolidateTargets(load, load.span, targets);
  return new Map(
    [...plan].map(([shard, { target, weight }]) => [
      shard,
      { target: share(consolidated.get(shard) ?? target), weight },
    ]),
  );
};
