/**
 * Plans all spans: with the solver if the input is small enough, and with the greedy planner
 * otherwise.
 *
 * Owns counters of which planner was used, for the log. If the solver fails, exceeds its timeout or
 * returns a plan that costs more than the greedy one, the greedy plan is used and the case counted.
 */
import type { TeamName } from "@umberfold/ids";
import { share } from "@umberfold/spans";
import { greedyPlan } from "./greedy-planner.js";
import type { OwnerLoad, TeamLoad } from "./load.js";
import { consolidateTargets, minimumShares } from "./minimum-shares.js";
import { isWorthWriting, type PlanInput, planCost, planInput, type SpanPlan } from "./plan.js";
import type { LoadSpreadSettings } from "./settings.js";
import { solvePlan } from "./solver-planner.js";

/**
 * How often the solver's plans were used (`solved`), or the greedy ones, by reason (the others).
 */
export interface PlannerCounters {
  readonly solved: number;
  /** The input was larger than `solverCells`. */
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
  /** Totals since this planner was created. Only the planner changes them. */
  readonly counters = { solved: 0, tooLarge: 0, failed: 0, late: 0, noBetter: 0 };

  /**
   * @param now returns milliseconds of a monotonic clock
   * @param solver replaced in tests
   */
  constructor(
    private readonly settings: LoadSpreadSettings,
    private readonly now: () => number,
    private readonly solver: PlanSolver = solvePlan,
  ) {}

  /** Returns the plans that differ enough from the current ones to be written, by team. */
  plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): ReadonlyMap<TeamName, SpanPlan> {
    const input = planInput(loads, owners, this.settings);
    if (input.teams.length === 0) return new Map();
    const plans = this.#cheaperPlans(input);
    const { minShare, shareStep } = this.settings;
    const worthWriting = new Map<TeamName, SpanPlan>();
    for (const load of loads) {
      const draft = plans.get(load.team);
      if (load.span === undefined || draft === undefined) continue;
      const minimums = minimumShares(load, load.span, minShare);
      const plan = consolidatedPlan(draft, load);
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

  /** Returns the solver's plans, or undefined and counts the reason if there are none. */
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
      // An error in the solver must not stop load spreading; it is counted as failed below.
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

/** Applies `consolidateTargets` to the targets of a plan. */
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
