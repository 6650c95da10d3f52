/** Teams, spans and loads that the tests of this package share. */
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

/** Load spreading switched on, with bounds that the tests' loads pass or not. */
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

/** Shares are given in millionths of a quota. */
export const MILLIONTH = FULL_SHARE / 1_000_000;
/** Shares that differ by less were only rounded. */
export const ROUNDING = FULL_SHARE * 1e-8;
export const millionths = (count: number): Share => share(count * MILLIONTH);

/** What the team has in a shard: nothing but what is given. */
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

/** Owners `n-0`, `n-1`, ..., each of the shard with its number, and what they have to do. */
export const owners = (...units: readonly number[]): readonly OwnerLoad[] =>
  units.map((ownUnits, i) => ({ owner: `n-${i}`, shards: [shardId(i)], loadUnits: ownUnits }));

/** The home shard and these, all active; the home shard has all of the quota. */
export const spanOf = (...shards: readonly ShardId[]): Span => {
  let span = homeSpan(HOME);
  for (const shard of shards) {
    const stepped = stepSpan(span, { kind: "join", shard });
    assert.ok(stepped.ok);
    span = stepped.span;
  }
  return span;
};

/** Many waiting tasks in the home shard. */
export const burst = shardLoad(HOME, { jobCount: 50, openAttemptCount: 20, waitingTaskCount: 100 });

/** A planner's input for one team and owners with these units. */
export const planned = (load: TeamLoad, ...units: readonly number[]) =>
  planInput([load], owners(...units), SETTINGS);

/** A shard's planned target and weight, in millionths. */
export const plan = (shard: ShardId, target: number, weight: number) =>
  [shard, { target: millionths(target), weight: millionths(weight) }] as const;
