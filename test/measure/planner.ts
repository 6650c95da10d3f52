/**
 * `npm run measure:planner`: compares the solver's plan with the proportional plan on the same
 * random inputs, and prints the mean cost of each plan and how long each takes to compute.
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

const RUNS_PER_SIZE = 200;
const SOLVER_TIMEOUT_MS = 1000;
const INPUT_SIZES = [
  { teams: 1, shards: 2 },
  { teams: 1, shards: 4 },
  { teams: 4, shards: 4 },
  { teams: 10, shards: 5 },
  { teams: 20, shards: 8 },
] as const;

const rng = xoroshiro128plus(1);
/** A uniform random number from [0, 1). */
const random = (): number => uniformFloat64(rng);
const settings: LoadSpreadSettings = { ...defaultPackages().loadSpread, enabled: true };

/** A team with home shard 0 and random load on each of the shards. */
const randomTeam = (teamIndex: number, shards: number): TeamLoad => {
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
    const demandFields = {
      usedShare,
      demandShare,
      largestTaskShare,
      demandCpus,
      oldestAcceptedAt: random(),
    };
    loads.set(shard, { shard, jobCount: 1, openAttemptCount, waitingTaskCount, ...demandFields });
  }
  return { team: teamName(`t${teamIndex}`), home: shardId(0), span, shards: loads };
};

const randomInput = (teams: number, shards: number): PlanInput => {
  const owners = Array.from({ length: shards }, (_, i) => ({
    owner: `n-${i}`,
    shards: [shardId(i)],
    loadUnits: Math.floor(random() * 500),
  }));
  const loads = Array.from({ length: teams }, (_, index) => randomTeam(index, shards));
  return planInput(loads, owners, settings);
};

const measureTime = <T>(run: () => T): { readonly value: T; readonly microseconds: number } => {
  const startedAt = performance.now();
  const value = run();
  return { value, microseconds: Math.round((performance.now() - startedAt) * 1000) };
};

for (const { teams, shards } of INPUT_SIZES) {
  const times = { solver: build(), greedy: build() };
  let unsolved = 0;
  let solverCost = 0;
  let greedyCost = 0;
  for (let i = 0; i < RUNS_PER_SIZE; i++) {
    const input = randomInput(teams, shards);
    const solved = measureTime(() => solvePlan(input, SOLVER_TIMEOUT_MS));
    const greedy = measureTime(() => greedyPlan(input));
    times.solver.recordValue(solved.microseconds);
    times.greedy.recordValue(greedy.microseconds);
    if (solved.value === undefined) {
      unsolved++;
      continue;
    }
    solverCost += planCost(input, solved.value);
    greedyCost += planCost(input, greedy.value);
  }
  const solvedRuns = Math.max(1, RUNS_PER_SIZE - unsolved);
  console.log(
    JSON.stringify({
      teams,
      shards,
      runs: RUNS_PER_SIZE,
      unsolved,
      meanCost: { solver: solverCost / solvedRuns, greedy: greedyCost / solvedRuns },
      microseconds: {
        solver: [50, 99].map((percentile) => times.solver.getValueAtPercentile(percentile)),
        greedy: [50, 99].map((percentile) => times.greedy.getValueAtPercentile(percentile)),
      },
    }),
  );
}
