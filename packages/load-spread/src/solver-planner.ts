import type { ShardId, TeamName } from "@umberfold/ids";
import { type Constraint, equalTo, greaterEq, inRange, lessEq, type Model, solve } from "yalps";
import { type PlanInput, type SpanPlan, spanPlan, type TeamPlan, UNMET_COST } from "./plan.js";

/** Sums of a solution may stray from the whole by this much; more is out of bounds. */
const TOLERANCE = 1e-6;
/** Coefficients below this are nothing to the solver, and its answers are rounded to it. */
const PRECISION = 1e-10;
const BUSIEST = "busiest";

type Coefficients = Record<string, number>;

interface Programme {
  readonly variables: Record<string, Coefficients>;
  readonly constraints: Record<string, Constraint>;
}

/** `target`: its part of the quota. `unmet`: demand without room. `gain`: what changes hands. */
const addTargets = ({ variables, constraints }: Programme, team: TeamPlan, t: number): void => {
  constraints[`quota|${t}`] = equalTo(1);
  for (const row of team.shards) {
    const at = `${t}|${row.shard}`;
    constraints[`bounds|${at}`] = inRange(row.least, row.most);
    constraints[`demand|${at}`] = greaterEq(row.demand);
    constraints[`current|${at}`] = lessEq(row.current);
    variables[`target|${at}`] = {
      [`quota|${t}`]: 1,
      [`bounds|${at}`]: 1,
      [`demand|${at}`]: 1,
      [`current|${at}`]: 1,
    };
    variables[`unmet|${at}`] = { cost: UNMET_COST, [`demand|${at}`]: 1 };
    variables[`gain|${at}`] = { [`current|${at}`]: -1 };
  }
};

/** `weight`: its part of new jobs, which are as many as the team has now. */
const addWeights = (
  { variables, constraints }: Programme,
  team: TeamPlan,
  t: number,
  input: PlanInput,
  mean: number,
): void => {
  constraints[`jobs|${t}`] = equalTo(1);
  for (const row of team.shards) {
    if (!row.active) continue;
    const at = `${t}|${row.shard}`;
    constraints[`least|${at}`] = greaterEq(input.leastWeight);
    const weight: Coefficients = { [`jobs|${t}`]: 1, [`least|${at}`]: 1 };
    if (input.units.has(row.owner)) weight[`load|${row.owner}`] = team.tasks / mean;
    variables[`weight|${at}`] = weight;
  }
};

/** The linear programme. `busiest` bounds every owner's load, in units of the mean. */
const modelOf = (input: PlanInput): Model => {
  const programme: Programme = { variables: {}, constraints: {} };
  const tasks = input.teams.reduce((sum, t) => sum + t.tasks, 0);
  const total = [...input.units.values()].reduce((sum, units) => sum + units, tasks);
  const mean = Math.max(1, total / Math.max(1, input.units.size));
  const busiest: Coefficients = { cost: input.costs.loadCost };
  for (const [owner, units] of input.units) {
    programme.constraints[`load|${owner}`] = lessEq(-units / mean);
    busiest[`load|${owner}`] = -1;
  }
  programme.variables[BUSIEST] = busiest;
  for (const [t, team] of input.teams.entries()) {
    addTargets(programme, team, t);
    addWeights(programme, team, t, input, mean);
    for (const row of team.shards) {
      const gain = programme.variables[`gain|${t}|${row.shard}`];
      if (gain !== undefined) gain.cost = input.costs.transferCost;
    }
  }
  return { direction: "minimize", objective: "cost", ...programme };
};

/** Parts that add up to one, within their bounds; undefined otherwise. */
const readParts = (
  values: ReadonlyMap<string, number>,
  name: "target" | "weight",
  t: number,
  rows: readonly { readonly shard: ShardId; readonly least: number; readonly most: number }[],
): ReadonlyMap<ShardId, number> | undefined => {
  const parts = new Map<ShardId, number>();
  let sum = 0;
  for (const { shard, least, most } of rows) {
    const part = values.get(`${name}|${t}|${shard}`) ?? 0;
    if (!(part >= least - TOLERANCE && part <= most + TOLERANCE)) return undefined;
    sum += part;
    parts.set(shard, part);
  }
  if (Math.abs(sum - 1) > TOLERANCE) return undefined;
  // What strays within the tolerance must not raise the sum beyond the whole.
  return new Map([...parts].map(([shard, part]) => [shard, part / Math.max(1, sum)]));
};

/** Undefined if the solver fails, takes too long or answers out of bounds. */
export const solvePlan = (
  input: PlanInput,
  timeoutMs: number,
): ReadonlyMap<TeamName, SpanPlan> | undefined => {
  const solution = solve(modelOf(input), { timeout: timeoutMs, precision: PRECISION });
  if (solution.status !== "optimal") return undefined;
  const values = new Map(solution.variables);
  const out = new Map<TeamName, SpanPlan>();
  for (const [t, team] of input.teams.entries()) {
    const targets = readParts(values, "target", t, team.shards);
    const active = team.shards.filter((s) => s.active);
    const bounds = active.map(({ shard }) => ({ shard, least: input.leastWeight, most: 1 }));
    const weights = readParts(values, "weight", t, bounds);
    if (targets === undefined || weights === undefined) return undefined;
    out.set(team.team, spanPlan(targets, weights));
  }
  return out;
};
