/**
 * `npm run measure:planner`: solver and proportional plan on the same random inputs, what each costs
 * and how long it takes.
 */
import { shardId, teamName } from "@umberfold/ids";
import {
  greedyPlan,
  type LoadSpreadSettings,
  type PlanInput,
  planCost,
  planInput,
  type ShardLoad,
  solvePlan,
  type TeamLoad,
} from "@umberfold/load-spread";
import { FULL_SHARE, homeSpan, share, stepSpan } from "@umberfold/spans";
import { build } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { defaultPackages } from "../../src/config/packages.js";

const RUNS = 200;
const SOLVER_MS = 1000;
const SIZES = [
  { teams: 1, shards: 2 },
  { teams: 1, shards: 4 },
  { teams: 4, shards: 4 },
  { teams: 10, shards: 5 },
  { teams: 20, shards: 8 },
] as const;

const rng = xoroshiro128plus(1);
const random = (): number => uniformFloat64(rng);
const settings: LoadSpreadSettings = { ...defaultPackages().loadSpread, enabled: true };

const randomTeam = (number: number, shards: number): TeamLoad => {
  let span = homeSpan(shardId(0));
  const loads = new Map<ShardLoad["shard"], ShardLoad>();
  for (let i = 0; i < shards; i++) {
    const shard = shardId(i);
    const stepped = stepSpan(span, { kind: "join", shard });
    if (stepped.ok) span = stepped.span;
    const openAttemptCount = Math.floor(random() * 50);
    const waitingTaskCount = Math.floor(random() * random() * 500);
    const largestTaskShare = share(Math.floor(random() * 0.05 * FULL_SHARE));
    const usedShare = share(Math.floor((random() * FULL_SHARE) / shards));
    const demandShare = share(usedShare + waitingTaskCount * largestTaskShare);
    const demandCpus = openAttemptCount + waitingTaskCount;
    const rest = {
      usedShare,
      demandShare,
      largestTaskShare,
      demandCpus,
      oldestAcceptedAt: random(),
    };
    loads.set(shard, { shard, jobCount: 1, openAttemptCount, waitingTaskCount, ...rest });
  }
  return { team: teamName(`t${number}`), home: shardId(0), span, shards: loads };
};

const randomInput = (teams: number, shards: number): PlanInput => {
  const owners = Array.from({ length: shards }, (_, i) => ({
    owner: `n-${i}`,
    shards: [shardId(i)],
    loadUnits: Math.floor(random() * 500),
  }));
  const loads = Array.from({ length: teams }, (_, number) => randomTeam(number, shards));
  return planInput(loads, owners, settings);
};

const timed = <T>(run: () => T): { readonly value: T; readonly microseconds: number } => {
  const startedAt = performance.now();
  const value = run();
  return { value, microseconds: Math.round((performance.now() - startedAt) * 1000) };
};

for (const { teams, shards } of SIZES) {
  const times = { solver: build(), greedy: build() };
  let unsolved = 0;
  let solverCost = 0;
  let greedyCost = 0;
  for (let i = 0; i < RUNS; i++) {
    const input = randomInput(teams, shards);
    const solved = timed(() => solvePlan(input, SOLVER_MS));
    const greedy = timed(() => greedyPlan(input));
    times.solver.recordValue(solved.microseconds);
    times.greedy.recordValue(greedy.microseconds);
    if (solved.value === undefined) {
      unsolved++;
      continue;
    }
    solverCost += planCost(input, solved.value);
    greedyCost += planCost(input, greedy.value);
  }
  const solvedRuns = Math.max(1, RUNS - unsolved);
  console.log(
    JSON.stringify({
      teams,
      shards,
      runs: RUNS,
      unsolved,
      meanCost: { solver: solverCost / solvedRuns, greedy: greedyCost / solvedRuns },
      microseconds: {
        solver: [50, 99].map((percentile) => times.solver.getValueAtPercentile(percentile)),
        greedy: [50, 99].map((percentile) => times.greedy.getValueAtPercentile(percentile)),
      },
    }),
  );
}
