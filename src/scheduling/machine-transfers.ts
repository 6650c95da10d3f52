/**
 * Plans which machines to transfer from one shard to another: a shard receives machines if its own
 * have no capacity for its waiting tasks.
 *
 * Owns no state beyond one call. A plan transfers a machine at most once, and never to an
 * overloaded shard. A machine of another shard is drained only for urgent work. Preemption on a
 * shard's own machines is not part of the plan: the shard's owner decides it.
 */
import type { ShardId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../protocol/peer.js";
import type { DemandGroup } from "./fleet-model.js";
import { type FreeCapacity, fillCapacities, preemptLowerPriority } from "./free-capacity.js";

/** Waiting tasks of one group in one shard for which the shard's machines have no capacity. */
interface UnmetDemand {
  readonly group: DemandGroup;
  readonly shard: ShardId;
  tasks: number;
}

/** The transfers, and the number of waiting tasks by shard that have no capacity even with them. */
export interface TransferPlan {
  readonly transfers: readonly MachineTransferRequest[];
  readonly unmetTasks: ReadonlyMap<ShardId, number>;
}

/**
 * Sorts machines of the same type and price class so that those of the shard with the most such
 * machines come first. Transfers then come from few shards, which matters because every source
 * shard writes a record for its transfers, regardless of how many there are.
 */
const sortByLargestSourceShard = (capacities: FreeCapacity[]): void => {
  const kindOf = ({ machine }: FreeCapacity): string => `${machine.type.name}|${machine.spot}`;
  const sourceOf = (capacity: FreeCapacity): string =>
    `${kindOf(capacity)}|${capacity.machine.shard}`;
  const kindOrder = new Map<string, number>();
  const countBySource = new Map<string, number>();
  for (const capacity of capacities) {
    const kind = kindOf(capacity);
    if (!kindOrder.has(kind)) kindOrder.set(kind, kindOrder.size);
    const source = sourceOf(capacity);
    countBySource.set(source, (countBySource.get(source) ?? 0) + 1);
  }
  const countOf = (capacity: FreeCapacity): number => countBySource.get(sourceOf(capacity)) ?? 0;
  capacities.sort(
    (a, b) =>
      (kindOrder.get(kindOf(a)) ?? 0) - (kindOrder.get(kindOf(b)) ?? 0) ||
      countOf(b) - countOf(a) ||
      a.machine.shard - b.machine.shard,
  );
};

/**
 * Booted machines of other shards that the plan has neither filled, transferred nor preempted on.
 */
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

/** Machines of other shards without open attempts. */
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

/** Machines of other shards that run only lower-priority tasks, least lost work first. */
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

/**
 * Plans to transfer candidates, in their order, until the demand is met. `drain`: the tasks that
 * run on them are stopped.
 */
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
 * Places the waiting tasks of each shard on its own machines, urgent ones also by preemption, and
 * returns the tasks that don't fit. Those of overloaded shards are left out of the result, because
 * overloaded shards get no machines.
 */
const fillMachinesOfSameShard = (
  demand: readonly DemandGroup[],
  capacities: readonly FreeCapacity[],
  overloaded: ReadonlySet<ShardId>,
): readonly UnmetDemand[] => {
  const unmet: UnmetDemand[] = [];
  for (const group of [...demand].sort((a, b) => a.priority - b.priority))
    for (const [shard, waiting] of group.waitingTasksByShard) {
      const machinesOfShard = capacities.filter((c) => c.machine.shard === shard);
      let tasks = fillCapacities(group, waiting, machinesOfShard);
      if (tasks > 0 && group.urgent) {
        for (const capacity of machinesOfShard) preemptLowerPriority(group, capacity);
        tasks = fillCapacities(group, tasks, machinesOfShard);
      }
      if (tasks > 0 && !overloaded.has(shard)) unmet.push({ group, shard, tasks });
    }
  return unmet;
};

/**
 * Places the waiting tasks of each shard on its own machines, then on idle machines of other
 * shards. Urgent tasks that remain are placed on machines of other shards that run only
 * lower-priority work. Modifies `capacities`.
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
