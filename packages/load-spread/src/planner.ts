import type { TeamName } from "@umberfold/ids";
import { greedyTargets } from "./greedy-planner.js";
import type { OwnerLoad, TeamLoad } from "./load.js";
import {
  leastShares,
  type PlanInput,
  planCost,
  planInput,
  type Targets,
  worthWriting,
} from "./plan.js";
import type { LoadSpreadSettings } from "./settings.js";
import { solveTargets } from "./solver-planner.js";

export interface PlannerCounters {
  readonly solved: number;
  /** Plans made without the solver: input too large, failed, late, or no better than greedy. */
  readonly tooLarge: number;
  readonly failed: number;
  readonly late: number;
  readonly noBetter: number;
}

type Solver = typeof solveTargets;

/** Targets worth writing, for all spans: the solver's within its bounds of size and time, else the greedy ones. */
export class LoadSpreadPlanner {
  readonly counters = { solved: 0, tooLarge: 0, failed: 0, late: 0, noBetter: 0 };

  constructor(
    private readonly settings: LoadSpreadSettings,
    /** Milliseconds of a steady clock. */
    private readonly now: () => number,
    private readonly solver: Solver = solveTargets,
  ) {}

  plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): ReadonlyMap<TeamName, Targets> {
    const input = planInput(loads, owners, this.settings);
    if (input.teams.length === 0) return new Map();
    const chosen = this.#choose(input);
    const { minShare, shareStep } = this.settings;
    const out = new Map<TeamName, Targets>();
    for (const load of loads) {
      const targets = chosen.get(load.team);
      if (load.span === undefined || targets === undefined) continue;
      const least = leastShares(load, load.span, minShare);
      if (worthWriting(load.span, targets, least, shareStep)) out.set(load.team, targets);
    }
    return out;
  }

  #choose(input: PlanInput): ReadonlyMap<TeamName, Targets> {
    const greedy = greedyTargets(input);
    const solved = this.#solve(input);
    if (solved === undefined) return greedy;
    if (planCost(input, solved) > planCost(input, greedy)) {
      this.counters.noBetter++;
      return greedy;
    }
    this.counters.solved++;
    return solved;
  }

  #solve(input: PlanInput): ReadonlyMap<TeamName, Targets> | undefined {
    const cells = input.teams.reduce((sum, t) => sum + t.shards.length, 0);
    if (cells > this.settings.solverCells) {
      this.counters.tooLarge++;
      return undefined;
    }
    const began = this.now();
    let solved: ReadonlyMap<TeamName, Targets> | undefined;
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
