/** Teams, spans and loads that several tests of this package use. */
import assert from "node:assert/strict";
import { type ShardId, shardId, teamName } from "@umberfold/ids";
import {
  type LoadSpreadSettings,
  type OwnerLoad,
  planInput,
  type ShardLoad,
  type TeamLoad,
} from "@umberfold/load-spread";
import { FULL_SHARE, homeSpan, type Share, type Span, share, stepSpan } from "@umberfold/spans";

export const SEED = 20261202;
export const TEAM = teamName("t");
export const HOME = shardId(0);
export const OTHER = shardId(1);
export const THIRD = shardId(2);

/** Enabled load spreading; the thresholds are chosen to match the loads in the tests. */
export const SETTINGS: LoadSpreadSettings = {
  enabled: true,
  maxSpan: 3,
  minTasks: 40,
  growAfterS: 3,
  shrinkAfterS: 30,
  imbalance: 1.5,
  minShare: 0.05,
  shareStep: 0.05,
  loadCost: 1,
  transferCost: 0.1,
  solverCells: 400,
  solverMs: 1000,
  balanceMachines: true,
  periodMs: 1000,
  fairShares: true,
};

/** The tests state shares in millionths of a quota. */
export const MILLIONTH = FULL_SHARE / 1_000_000;
/** Differences between shares up to this are rounding errors. */
export const ROUNDING = FULL_SHARE * 1e-8;
export const millionths = (count: number): Share => share(count * MILLIONTH);

/** A team's load in a shard: 0 except for the given values. */
export const shardLoad = (shard: ShardId, change: Partial<ShardLoad> = {}): ShardLoad => ({
  shard,
  jobCount: 0,
  openAttemptCount: 0,
  waitingTaskCount: 0,
  usedShare: share(0),
  demandShare: share(0),
  largestTaskShare: share(0),
  demandCpus: 0,
  oldestAcceptedAt: Number.POSITIVE_INFINITY,
  ...change,
});

export const teamLoad = (span: Span | undefined, rows: readonly ShardLoad[]): TeamLoad => ({
  team: TEAM,
  home: HOME,
  span,
  shards: new Map(rows.map((row) => [row.shard, row])),
});

/** Owners `n-0`, `n-1`, ... with these load units; each owns the shard with the same number. */
export const owners = (...units: readonly number[]): readonly OwnerLoad[] =>
  units.map((ownUnits, i) => ({ owner: `n-${i}`, shards: [shardId(i)], loadUnits: ownUnits }));

/** A span of the home shard and these shards, all active. The home shard has the full quota. */
export const spanOf = (...shards: readonly ShardId[]): Span => {
  let span = homeSpan(HOME);
  for (const shard of shards) {
    const stepped = stepSpan(span, { kind: "join", shard });
    assert.ok(stepped.ok);
    span = stepped.span;
  }
  return span;
};

/** A load with many waiting tasks in the home shard. */
export const burst = shardLoad(HOME, { jobCount: 50, openAttemptCount: 20, waitingTaskCount: 100 });

/** The planners' input for one team and owners with these load units. */
export const planInputOf = (load: TeamLoad, ...units: readonly number[]) =>
  planInput([load], owners(...units), SETTINGS);

/** An entry of a plan: a shard's target and weight in millionths. */
export const plan = (shard: ShardId, target: number, weight: number) =>
  [shard, { target: millionths(target), weight: millionths(weight) }] as const;
