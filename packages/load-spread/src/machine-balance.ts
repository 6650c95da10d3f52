/**
 * Balances machines between shards, so that a team gets its fair share of all machines even if
 * another team's burst occupies its shard.
 *
 * Holds no state. All amounts are in CPUs.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import type { TeamLoad } from "./load.js";

/** Capacity, in CPUs, that should be transferred from one shard to another. */
export interface CapacityTransfer {
  readonly from: ShardId;
  readonly to: ShardId;
  readonly cpus: number;
}

/** A shard receives machines if it lacks more than this fraction of its fair amount of CPUs. */
const MIN_DEFICIT_FRACTION = 0.1;
/** One call transfers at most this fraction of all CPUs. */
const MAX_TRANSFERRED_FRACTION = 0.1;
/** Prevents a division by zero for a team without demand. */
const MIN_DEMAND_CPUS = 1e-9;

/** The CPUs that one shard lacks, or has beyond its fair amount. */
interface ShardImbalance {
  readonly shard: ShardId;
  cpus: number;
}

/** Divides the capacity by max-min fairness; no team gets more than its demand. */
const maxMinFairCpus = (
  demandByTeam: ReadonlyMap<TeamName, number>,
  capacity: number,
): ReadonlyMap<TeamName, number> => {
  const cpusByTeam = new Map<TeamName, number>();
  let remaining = capacity;
  const ascending = [...demandByTeam].sort((a, b) => a[1] - b[1]);
  for (const [i, [team, demand]] of ascending.entries()) {
    const cpus = Math.min(demand, remaining / (ascending.length - i));
    cpusByTeam.set(team, cpus);
    remaining -= cpus;
  }
  return cpusByTeam;
};

/**
 * Returns the CPUs that each shard needs for every team to get its fair share of the capacity. A
 * team's fair share is divided between its shards in proportion to its demand in them.
 */
export const fairCpusByShard = (
  loads: readonly TeamLoad[],
  capacity: number,
): ReadonlyMap<ShardId, number> => {
  const demandByTeam = new Map<TeamName, number>();
  for (const { team, shards } of loads) {
    let cpus = 0;
    for (const row of shards.values()) cpus += row.demandCpus;
    if (cpus > 0) demandByTeam.set(team, cpus);
  }
  const fairCpusByTeam = maxMinFairCpus(demandByTeam, capacity);
  const fairCpus = new Map<ShardId, number>();
  for (const { team, shards } of loads) {
    const grantedFraction =
      (fairCpusByTeam.get(team) ?? 0) / Math.max(MIN_DEMAND_CPUS, demandByTeam.get(team) ?? 0);
    for (const row of shards.values())
      fairCpus.set(row.shard, (fairCpus.get(row.shard) ?? 0) + row.demandCpus * grantedFraction);
  }
  return fairCpus;
};

const shardsWithWaitingTasks = (loads: readonly TeamLoad[]): ReadonlySet<ShardId> =>
  new Set(
    loads.flatMap((load) =>
      [...load.shards.values()].filter((row) => row.waitingTaskCount > 0).map((row) => row.shard),
    ),
  );

/**
 * Returns how much capacity should be transferred between which shards while no machine is idle.
 * Shards with the largest surplus over their fair amount give to those with the largest deficit;
 * only shards with waiting tasks receive.
 *
 * @param capacity the CPUs of each shard
 */
export const planCapacityTransfers = (
  loads: readonly TeamLoad[],
  capacity: ReadonlyMap<ShardId, number>,
): readonly CapacityTransfer[] => {
  const totalCpus = [...capacity.values()].reduce((sum, cpus) => sum + cpus, 0);
  const fairCpus = fairCpusByShard(loads, totalCpus);
  const withWaitingTasks = shardsWithWaitingTasks(loads);
  const receivers: ShardImbalance[] = [];
  const donors: ShardImbalance[] = [];
  for (const [shard, cpus] of capacity) {
    const fair = fairCpus.get(shard) ?? 0;
    if (fair - cpus > MIN_DEFICIT_FRACTION * fair && withWaitingTasks.has(shard))
      receivers.push({ shard, cpus: fair - cpus });
    else if (cpus > fair) donors.push({ shard, cpus: cpus - fair });
  }
  receivers.sort((a, b) => b.cpus - a.cpus);
  donors.sort((a, b) => b.cpus - a.cpus);
  const transfers: CapacityTransfer[] = [];
  let remaining = MAX_TRANSFERRED_FRACTION * totalCpus;
  for (const receiver of receivers)
    for (const donor of donors) {
      const cpus = Math.min(receiver.cpus, donor.cpus, remaining);
      if (cpus <= 0) continue;
      transfers.push({ from: donor.shard, to: receiver.shard, cpus });
      receiver.cpus -= cpus;
      donor.cpus -= cpus;
      remaining -= cpus;
    }
  return transfers;
};
