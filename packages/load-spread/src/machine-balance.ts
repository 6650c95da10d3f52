/**
 * Balances machines between shards, so that a team whose shard is full of another team's burst gets
 * its fair part of all machines.
 *
 * No state. All amounts are in processors.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import type { TeamLoad } from "./load.js";

/** Processors that should go from one shard to another. */
export interface CapacityTransfer {
  readonly from: ShardId;
  readonly to: ShardId;
  readonly cpus: number;
}

/** A shard is given machines once it lacks this part of its fair need. */
const MIN_DEFICIT_FRACTION = 0.1;
/** One call shifts no more than this part of all processors. */
const MAX_TRANSFERRED_FRACTION = 0.1;
/** Guards against division by zero for a team that wants nothing. */
const MIN_DEMAND_CPUS = 1e-9;

/** What one shard has too much or too little. */
interface ShardImbalance {
  readonly shard: ShardId;
  cpus: number;
}

/** Max-min fairness: what each team gets of the capacity, never more than it wants. */
const maxMinFairCpus = (
  wantedByTeam: ReadonlyMap<TeamName, number>,
  capacity: number,
): ReadonlyMap<TeamName, number> => {
  const parts = new Map<TeamName, number>();
  let remaining = capacity;
  const ascending = [...wantedByTeam].sort((a, b) => a[1] - b[1]);
  for (const [i, [team, cpus]] of ascending.entries()) {
    const part = Math.min(cpus, remaining / (ascending.length - i));
    parts.set(team, part);
    remaining -= part;
  }
  return parts;
};

/**
 * What each shard needs so that every team gets its fair part of the capacity, which is divided
 * between the team's shards in proportion to what it wants in them.
 */
export const fairCpusByShard = (
  loads: readonly TeamLoad[],
  capacity: number,
): ReadonlyMap<ShardId, number> => {
  const wantedByTeam = new Map<TeamName, number>();
  for (const { team, shards } of loads) {
    let cpus = 0;
    for (const row of shards.values()) cpus += row.demandCpus;
    if (cpus > 0) wantedByTeam.set(team, cpus);
  }
  const parts = maxMinFairCpus(wantedByTeam, capacity);
  const needs = new Map<ShardId, number>();
  for (const { team, shards } of loads) {
    const grantedFraction =
      (parts.get(team) ?? 0) / Math.max(MIN_DEMAND_CPUS, wantedByTeam.get(team) ?? 0);
    for (const row of shards.values())
      needs.set(row.shard, (needs.get(row.shard) ?? 0) + row.demandCpus * grantedFraction);
  }
  return needs;
};

const shardsWithWaitingTasks = (loads: readonly TeamLoad[]): ReadonlySet<ShardId> =>
  new Set(
    loads.flatMap((load) =>
      [...load.shards.values()].filter((row) => row.waitingTaskCount > 0).map((row) => row.shard),
    ),
  );

/**
 * Which shards should give machines to which, while none is idle: from those with most beyond their
 * fair need to those that lack most of theirs and have waiting tasks. `capacity`: what each shard
 * has.
 */
export const planCapacityTransfers = (
  loads: readonly TeamLoad[],
  capacity: ReadonlyMap<ShardId, number>,
): readonly CapacityTransfer[] => {
  const total = [...capacity.values()].reduce((sum, cpus) => sum + cpus, 0);
  const needs = fairCpusByShard(loads, total);
  const haveWaiting = shardsWithWaitingTasks(loads);
  const receivers: ShardImbalance[] = [];
  const givers: ShardImbalance[] = [];
  for (const [shard, cpus] of capacity) {
    const need = needs.get(shard) ?? 0;
    if (need - cpus > MIN_DEFICIT_FRACTION * need && haveWaiting.has(shard))
      receivers.push({ shard, cpus: need - cpus });
    else if (cpus > need) givers.push({ shard, cpus: cpus - need });
  }
  receivers.sort((a, b) => b.cpus - a.cpus);
  givers.sort((a, b) => b.cpus - a.cpus);
  const shifts: CapacityTransfer[] = [];
  let remaining = MAX_TRANSFERRED_FRACTION * total;
  for (const receiver of receivers)
    for (const giver of givers) {
      const cpus = Math.min(receiver.cpus, giver.cpus, remaining);
      if (cpus <= 0) continue;
      shifts.push({ from: giver.shard, to: receiver.shard, cpus });
      receiver.cpus -= cpus;
      giver.cpus -= cpus;
      remaining -= cpus;
    }
  return shifts;
};
