import type { ShardId, TeamName } from "@umberfold/ids";
import { type Constraint, equalTo, greaterEq, inRange, lessEq, type Model, solve } from "yalps";
import { type PlanInput, type Targets, toTargets, UNMET_COST } from "./plan.js";

/** Sums of a solution may stray from the whole by this much; more is out of bounds. */
const TOLERANCE = 1e-6;
const BUSIEST = "busiest";

type Coefficients = Record<string, number>;

/**
 * The linear programme. For each shard of each team: `x` its part of the quota, `u` demand without
 * room, `g` what it gains. `busiest` bounds every owner's load, in units of the mean.
 */
const modelOf = (input: PlanInput): Model => {
  const variables: Record<string, Coefficients> = {};
  const constraints: Record<string, Constraint> = {};
  const owners = [...input.baseUnits];
  const tasks = input.teams.reduce((sum, t) => sum + t.tasks, 0);
  const total = owners.reduce((sum, [, units]) => sum + units, 0) + tasks;
  const mean = Math.max(1, total / Math.max(1, owners.length));
  const busiest: Coefficients = { cost: input.costs.loadCost };
  for (const [owner, units] of owners) {
    // load(owner) - busiest <= 0
    constraints[`load|${owner}`] = lessEq(-units / mean);
    busiest[`load|${owner}`] = -1;
  }
  variables[BUSIEST] = busiest;
  input.teams.forEach((team, t) => {
    constraints[`whole|${t}`] = equalTo(1);
    for (const row of team.shards) {
      const at = `${t}|${row.shard}`;
      constraints[`bounds|${at}`] = inRange(row.least, row.most);
      constraints[`demand|${at}`] = greaterEq(row.demand);
      constraints[`gain|${at}`] = lessEq(row.current);
      const part: Coefficients = {
        [`whole|${t}`]: 1,
        [`bounds|${at}`]: 1,
        [`demand|${at}`]: 1,
        [`gain|${at}`]: 1,
      };
      if (input.baseUnits.has(row.owner)) part[`load|${row.owner}`] = team.tasks / mean;
      variables[`x|${at}`] = part;
      variables[`u|${at}`] = { cost: UNMET_COST, [`demand|${at}`]: 1 };
      variables[`g|${at}`] = { cost: input.costs.transferCost, [`gain|${at}`]: -1 };
    }
  });
  return { direction: "minimize", objective: "cost", constraints, variables };
};

const readTeam = (
  shards: PlanInput["teams"][number]["shards"],
  values: ReadonlyMap<string, number>,
  t: number,
): Targets | undefined => {
  const parts = new Map<ShardId, number>();
  let sum = 0;
  for (const row of shards) {
    const part = values.get(`x|${t}|${row.shard}`) ?? 0;
    if (!Number.isFinite(part) || part < row.least - TOLERANCE || part > row.most + TOLERANCE)
      return undefined;
    sum += part;
    parts.set(row.shard, part);
  }
  if (Math.abs(sum - 1) > TOLERANCE) return undefined;
  // What strays within the tolerance must not raise the sum beyond the whole.
  return toTargets(new Map([...parts].map(([shard, part]) => [shard, part / Math.max(1, sum)])));
};

/** Undefined if the solver fails, takes too long or answers out of bounds. */
export const solveTargets = (
  input: PlanInput,
  timeoutMs: number,
): ReadonlyMap<TeamName, Targets> | undefined => {
  const solution = solve(modelOf(input), { timeout: timeoutMs });
  if (solution.status !== "optimal") return undefined;
  const values = new Map(solution.variables);
  const out = new Map<TeamName, Targets>();
  for (const [t, team] of input.teams.entries()) {
    const targets = readTeam(team.shards, values, t);
    if (targets === undefined) return undefined;
    out.set(team.team, targets);
  }
  return out;
};
