/**
 * Plans spans with a linear program that minimizes the weighted sum of unmet demand, the busiest
 * owner's load and the transferred shares, for all teams together.
 *
 * Holds no state. The solver (yalps) is not trusted: an answer that is out of bounds is discarded.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { type Constraint, equalTo, greaterEq, inRange, lessEq, type Model, solve } from "yalps";
import {
  buildSpanPlan,
  type PlanInput,
  type SpanPlan,
  type TeamPlanInput,
  UNMET_DEMAND_COST,
} from "./plan.js";

/**
 * A solution is rejected if a fraction exceeds its bounds, or their sum differs from 1, by more.
 */
const SOLUTION_TOLERANCE = 1e-6;
/** The solver treats coefficients below this as 0 and rounds its answers to multiples of it. */
const SOLVER_PRECISION = 1e-10;
/** The variable that is an upper bound of every owner's load, as a multiple of the mean load. */
const BUSIEST_OWNER_LOAD = "busiest";

type Coefficients = Record<string, number>;

/** The linear program while it is being built. */
interface LinearProgram {
  readonly variables: Record<string, Coefficients>;
  readonly constraints: Record<string, Constraint>;
}

/**
 * Adds three variables for each shard: `target`, its fraction of the quota; `unmet`, the demand
 * that the target doesn't cover; `gain`, the fraction that is transferred to it.
 */
const addTargets = (
  { variables, constraints }: LinearProgram,
  team: TeamPlanInput,
  teamIndex: number,
  transferCost: number,
): void => {
  constraints[`quota|${teamIndex}`] = equalTo(1);
  for (const row of team.shards) {
    const cell = `${teamIndex}|${row.shard}`;
    constraints[`bounds|${cell}`] = inRange(row.minTargetFraction, row.maxTargetFraction);
    constraints[`demand|${cell}`] = greaterEq(row.demandFraction);
    constraints[`current|${cell}`] = lessEq(row.currentFraction);
    variables[`target|${cell}`] = {
      [`quota|${teamIndex}`]: 1,
      [`bounds|${cell}`]: 1,
      [`demand|${cell}`]: 1,
      [`current|${cell}`]: 1,
    };
    variables[`unmet|${cell}`] = { cost: UNMET_DEMAND_COST, [`demand|${cell}`]: 1 };
    variables[`gain|${cell}`] = { [`current|${cell}`]: -1, cost: transferCost };
  }
};

/**
 * Adds the variable `weight` for each active shard: its fraction of the team's new jobs. The new
 * jobs are assumed to have as many tasks as the team has now.
 */
const addWeights = (
  { variables, constraints }: LinearProgram,
  team: TeamPlanInput,
  teamIndex: number,
  input: PlanInput,
  meanLoad: number,
): void => {
  constraints[`jobs|${teamIndex}`] = equalTo(1);
  for (const row of team.shards) {
    if (!row.isActive) continue;
    const cell = `${teamIndex}|${row.shard}`;
    constraints[`least|${cell}`] = greaterEq(input.minWeightFraction);
    const weight: Coefficients = { [`jobs|${teamIndex}`]: 1, [`least|${cell}`]: 1 };
    if (input.loadUnitsByOwner.has(row.owner))
      weight[`load|${row.owner}`] = team.taskCount / meanLoad;
    variables[`weight|${cell}`] = weight;
  }
};

const modelOf = (input: PlanInput): Model => {
  const program: LinearProgram = { variables: {}, constraints: {} };
  const tasks = input.teams.reduce((sum, team) => sum + team.taskCount, 0);
  const totalLoad = [...input.loadUnitsByOwner.values()].reduce((sum, units) => sum + units, tasks);
  const meanLoad = Math.max(1, totalLoad / Math.max(1, input.loadUnitsByOwner.size));
  const busiest: Coefficients = { cost: input.costs.loadCost };
  for (const [owner, units] of input.loadUnitsByOwner) {
    program.constraints[`load|${owner}`] = lessEq(-units / meanLoad);
    busiest[`load|${owner}`] = -1;
  }
  program.variables[BUSIEST_OWNER_LOAD] = busiest;
  for (const [teamIndex, team] of input.teams.entries()) {
    addTargets(program, team, teamIndex, input.costs.transferCost);
    addWeights(program, team, teamIndex, input, meanLoad);
  }
  return { direction: "minimize", objective: "cost", ...program };
};

/** The bounds of a solution's fraction for one shard. */
interface FractionBounds {
  readonly shard: ShardId;
  readonly min: number;
  readonly max: number;
}

/**
 * Reads a team's fractions of a solution; undefined if one is out of bounds or the sum is not 1.
 */
const readFractions = (
  values: ReadonlyMap<string, number>,
  name: "target" | "weight",
  teamIndex: number,
  bounds: readonly FractionBounds[],
): ReadonlyMap<ShardId, number> | undefined => {
  const fractions = new Map<ShardId, number>();
  let sum = 0;
  for (const { shard, min, max } of bounds) {
    const fraction = values.get(`${name}|${teamIndex}|${shard}`) ?? 0;
    const inBounds = fraction >= min - SOLUTION_TOLERANCE && fraction <= max + SOLUTION_TOLERANCE;
    // Written so that NaN counts as out of bounds.
    if (!inBounds) return undefined;
    sum += fraction;
    fractions.set(shard, fraction);
  }
  if (Math.abs(sum - 1) > SOLUTION_TOLERANCE) return undefined;
  // A deviation within the tolerance must not raise the sum above 1.
  return new Map([...fractions].map(([shard, fraction]) => [shard, fraction / Math.max(1, sum)]));
};

/**
 * Returns a plan for each team of the input; undefined if the solver finds none within `timeoutMs`,
 * or if its answer is out of bounds. Errors of the solver are not caught.
 */
export const solvePlan = (
  input: PlanInput,
  timeoutMs: number,
): ReadonlyMap<TeamName, SpanPlan> | undefined => {
  const solution = solve(modelOf(input), { timeout: timeoutMs, precision: SOLVER_PRECISION });
  if (solution.status !== "optimal") return undefined;
  const values = new Map(solution.variables);
  const plans = new Map<TeamName, SpanPlan>();
  for (const [teamIndex, { team, shards }] of input.teams.entries()) {
    const targetBounds = shards.map(({ shard, minTargetFraction, maxTargetFraction }) => ({
      shard,
      min: minTargetFraction,
      max: maxTargetFraction,
    }));
    const weightBounds = shards
      .filter((row) => row.isActive)
      .map(({ shard }) => ({ shard, min: input.minWeightFraction, max: 1 }));
    const targets = readFractions(values, "target", teamIndex, targetBounds);
    const weights = readFractions(values, "weight", teamIndex, weightBounds);
    if (targets === undefined || weights === undefined) return undefined;
    plans.set(team, buildSpanPlan(targets, weights));
  }
  return plans;
};
