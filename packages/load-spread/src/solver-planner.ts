/**
 * Plans spans with a linear programme, which weighs unmet demand, the busiest owner's load and the
 * transfer of shares against one another for all teams together.
 *
 * No state. The solver (yalps) is not trusted: an answer out of bounds counts as none.
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

/** A solution whose parts are out of their bounds, or add up to other than 1, by more is rejected. */
const SOLUTION_TOLERANCE = 1e-6;
/** Coefficients below this are zero to the solver, and its answers are rounded to it. */
const SOLVER_PRECISION = 1e-10;
/** The variable that bounds every owner's load, in multiples of the mean load. */
const BUSIEST_OWNER_LOAD = "busiest";

type Coefficients = Record<string, number>;

/** The linear programme while it is put together. */
interface LinearProgram {
  readonly variables: Record<string, Coefficients>;
  readonly constraints: Record<string, Constraint>;
}

/**
 * For each shard: `target`, its part of the quota; `unmet`, the demand that the target doesn't
 * cover; `gain`, what is transferred to it.
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

/** For each active shard: `weight`, its part of new jobs, which are taken for as many as now. */
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
  const programme: LinearProgram = { variables: {}, constraints: {} };
  const tasks = input.teams.reduce((sum, team) => sum + team.taskCount, 0);
  const totalLoad = [...input.loadUnitsByOwner.values()].reduce((sum, units) => sum + units, tasks);
  const meanLoad = Math.max(1, totalLoad / Math.max(1, input.loadUnitsByOwner.size));
  const busiest: Coefficients = { cost: input.costs.loadCost };
  for (const [owner, units] of input.loadUnitsByOwner) {
    programme.constraints[`load|${owner}`] = lessEq(-units / meanLoad);
    busiest[`load|${owner}`] = -1;
  }
  programme.variables[BUSIEST_OWNER_LOAD] = busiest;
  for (const [teamIndex, team] of input.teams.entries()) {
    addTargets(programme, team, teamIndex, input.costs.transferCost);
    addWeights(programme, team, teamIndex, input, meanLoad);
  }
  return { direction: "minimize", objective: "cost", ...programme };
};

/** Between what a solution's part for a shard must lie. */
interface FractionBounds {
  readonly shard: ShardId;
  readonly min: number;
  readonly max: number;
}

/** Parts of a solution that add up to 1, each within its bounds; undefined otherwise. */
const readFractions = (
  values: ReadonlyMap<string, number>,
  name: "target" | "weight",
  teamIndex: number,
  bounds: readonly FractionBounds[],
): ReadonlyMap<ShardId, number> | undefined => {
  const parts = new Map<ShardId, number>();
  let sum = 0;
  for (const { shard, min, max } of bounds) {
    const part = values.get(`${name}|${teamIndex}|${shard}`) ?? 0;
    const inBounds = part >= min - SOLUTION_TOLERANCE && part <= max + SOLUTION_TOLERANCE;
    // Written so that a part which is not a number is out of bounds.
    if (!inBounds) return undefined;
    sum += part;
    parts.set(shard, part);
  }
  if (Math.abs(sum - 1) > SOLUTION_TOLERANCE) return undefined;
  // What strays within the tolerance must not raise the sum beyond the whole.
  return new Map([...parts].map(([shard, part]) => [shard, part / Math.max(1, sum)]));
};

/**
 * A plan for each team of the input; undefined if the solver finds none within `timeoutMs` or its
 * answer is out of bounds. Throws whatever the solver throws.
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
