/**
 * Plans which machines go from one shard to another, because tasks wait that their own shard's
 * machines have no capacity for.
 *
 * Owns no state beyond one call. A machine is transferred whole and at most once in a plan, and
 * never to an overloaded shard. Only urgent work has another shard's machine drained for it; within
 * its own shard an owner preempts by itself.
 */
import type { ShardId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../protocol/peer.js";
import type { DemandGroup } from "./fleet-model.js";
import { type FreeCapacity, fillCapacities, preemptLowerPriority } from "./free-capacity.js";

/** Waiting tasks of one group in one shard that its own machines have no capacity for. */
interface UnmetDemand {
  readonly group: DemandGroup;
  readonly shard: ShardId;
  tasks: number;
}

/** The transfers, and how many waiting tasks of each shard have no capacity even after them. */
export interface TransferPlan {
  readonly transfers: readonly MachineTransferRequest[];
  readonly unmetTasks: ReadonlyMap<ShardId, number>;
}

/**
 * Sorts machines that are as good as one another so that those of the shard with the most come
 * first: each shard that gives some away writes a record for it, however many it gives.
 */
const sortByLargestSourceShard = (capacities: FreeCapacity[]): void => {
  const kindOf = ({ machine }: FreeCapacity): string => `${machine.type.name}|${machine.spot}`;
  const giverOf = (capacity: FreeCapacity): string =>
    `${kindOf(capacity)}|${capacity.machine.shard}`;
  const kindOrder = new Map<string, number>();
  const countByGiver = new Map<string, number>();
  for (const capacity of capacities) {
    const kind = kindOf(capacity);
    if (!kindOrder.has(kind)) kindOrder.set(kind, kindOrder.size);
    const giver = giverOf(capacity);
    countByGiver.set(giver, (countByGiver.get(giver) ?? 0) + 1);
  }
  const countOf = (capacity: FreeCapacity): number => countByGiver.get(giverOf(capacity)) ?? 0;
  capacities.sort(
    (a, b) =>
      (kindOrder.get(kindOf(a)) ?? 0) - (kindOrder.get(kindOf(b)) ?? 0) ||
      countOf(b) - countOf(a) ||
      a.machine.shard - b.machine.shard,
  );
};

/** Running machines of other shards that the plan has not used in any way yet. */
const unusedMachinesOfOtherShards = (
  demand: UnmetDemand,
  capacities: readonly FreeCapacity[],
): FreeCapacity[] =>
  capacities.filter(
    ({ machine, transferred, plannedTasks, preempted }) =>
      machine.shard !== demand.shard &&
      machine.isUp &&
      !transferred &&
      plannedTasks === 0 &&
      preempted.size === 0,
  );

const idleCandidates = (
  demand: UnmetDemand,
  capacities: readonly FreeCapacity[],
): readonly FreeCapacity[] => {
  const idle = unusedMachinesOfOtherShards(demand, capacities).filter(
    (c) => c.machine.openAttempts === 0,
  );
  sortByLargestSourceShard(idle);
  return idle;
};

/** Machines that run only tasks of lower priority, those that lose the least work first. */
const drainCandidates = (
  demand: UnmetDemand,
  capacities: readonly FreeCapacity[],
): readonly FreeCapacity[] => {
  const drainable = unusedMachinesOfOtherShards(demand, capacities).filter(
    ({ machine }) =>
      machine.openAttempts > 0 &&
      machine.tasks.every((task) => task.priority > demand.group.priority),
  );
  return drainable.sort((a, b) => a.lostWorkS - b.lostWorkS);
};

/** Transfers candidates, in their order, until the demand is met; `drain`: their tasks are stopped. */
const planTransfersFor = (
  demand: UnmetDemand,
  candidates: readonly FreeCapacity[],
  drain: boolean,
): readonly MachineTransferRequest[] => {
  const transfers: MachineTransferRequest[] = [];
  for (const capacity of candidates) {
    if (demand.tasks === 0) break;
    if (drain) preemptLowerPriority(demand.group, capacity);
    demand.tasks = fillCapacities(demand.group, demand.tasks, [capacity]);
    if (capacity.plannedTasks === 0) continue;
    capacity.transferred = true;
    transfers.push({ machine: capacity.machine.id, to: demand.shard, drain });
  }
  return transfers;
};

/**
 * Plans the waiting tasks of each shard onto its own machines, preempting for the urgent ones, and
 * returns what is left over. An overloaded shard's rest is left out: it is given no machine.
 */
const fillMachinesOfSameShard = (
  demand: readonly DemandGroup[],
  capacities: readonly FreeCapacity[],
  overloaded: ReadonlySet<ShardId>,
): readonly UnmetDemand[] => {
  const unmet: UnmetDemand[] = [];
  for (const group of [...demand].sort((a, b) => a.priority - b.priority))
    for (const [shard, waiting] of group.waitingTasksByShard) {
      const own = capacities.filter((c) => c.machine.shard === shard);
      let tasks = fillCapacities(group, waiting, own);
      if (tasks > 0 && group.urgent) {
        for (const capacity of own) preemptLowerPriority(group, capacity);
        tasks = fillCapacities(group, tasks, own);
      }
      if (tasks > 0 && !overloaded.has(shard)) unmet.push({ group, shard, tasks });
    }
  return unmet;
};

/**
 * Plans the waiting tasks of each shard onto its own machines, then onto idle machines of other
 * shards, and urgent ones also onto machines of others that run only work of lower priority. Uses
 * up the capacities that it is given.
 */
export const planTransfers = (
  demand: readonly DemandGroup[],
  capacities: readonly FreeCapacity[],
  overloaded: ReadonlySet<ShardId>,
): TransferPlan => {
  const unmet = fillMachinesOfSameShard(demand, capacities, overloaded);
  const idle = unmet.flatMap((u) => planTransfersFor(u, idleCandidates(u, capacities), false));
  const drained = unmet
    .filter((u) => u.group.urgent)
    .flatMap((u) => planTransfersFor(u, drainCandidates(u, capacities), true));
  const unmetTasks = new Map<ShardId, number>();
  for (const { shard, tasks } of unmet)
    if (tasks > 0) unmetTasks.set(shard, (unmetTasks.get(shard) ?? 0) + tasks);
  return { transfers: [...idle, ...drained], unmetTasks };
};
