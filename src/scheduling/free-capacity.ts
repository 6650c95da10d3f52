/**
 * The free capacity of the fleet's machines, and filling it with the tasks of demand groups.
 *
 * State: `FreeCapacity` is mutable and belongs to one step of one plan: each step starts from new
 * ones, so that what one step filled doesn't count in the next. Free amounts only fall as tasks
 * are planned, and only rise when lower-priority tasks are counted as preempted.
 */
import type { Resources } from "../protocol/jobs.js";
import type { DemandGroup, FleetMachine, FleetTask, TransferInput } from "./fleet-model.js";
import { countCompetingShapes, distinctShapes } from "./placement.js";
import { add, fits, subtract } from "./resources.js";

/** What one machine has free while a plan is made. */
export interface FreeCapacity {
  readonly machine: FleetMachine;
  free: Resources;
  /** Number of tasks that the plan has put there. */
  plannedTasks: number;
  /** The plan gives the machine to another shard. */
  transferred: boolean;
  /** Tasks whose resources count as free already. */
  readonly preempted: Set<FleetTask>;
  /** Seconds of work that stopping all of the machine's tasks would throw away. */
  readonly lostWorkS: number;
}

/** Whether the tasks of a group may run on a machine of this offer. */
export const permitsOffer = (
  group: DemandGroup,
  offer: { readonly type: string; readonly zone: string; readonly spot: boolean },
): boolean =>
  (group.machineTypes === null || group.machineTypes.includes(offer.type)) &&
  (group.zone === null || group.zone === offer.zone) &&
  (group.spotAllowed || !offer.spot);

/** Price of a machine per processor, in the cloud's unit of price. */
const pricePerCpu = (machine: FleetMachine): number =>
  (machine.spot ? machine.type.spotPrice : machine.type.price) /
  Math.max(1, machine.type.capacity.cpus);

/**
 * The free capacities of all machines, in the order in which they are filled: types that the fewest
 * resource shapes could use first; then the cheap and the full machines, so that the expensive and
 * the empty ones are left over to be returned.
 */
export const freeCapacities = (input: TransferInput): FreeCapacity[] => {
  const shapes = distinctShapes(input.demand.map((group) => group.resources));
  const competingShapes = new Map(
    input.types.map((type) => [type.name, countCompetingShapes(type.capacity, shapes)]),
  );
  const capacities = input.machines.map((machine) => ({
    machine,
    free: subtract(machine.type.capacity, machine.usedResources),
    plannedTasks: 0,
    transferred: false,
    preempted: new Set<FleetTask>(),
    lostWorkS: machine.tasks.reduce((sum, task) => sum + task.lostWorkS, 0),
  }));
  return capacities.sort(
    (a, b) =>
      (competingShapes.get(a.machine.type.name) ?? 0) -
        (competingShapes.get(b.machine.type.name) ?? 0) ||
      pricePerCpu(a.machine) - pricePerCpu(b.machine) ||
      b.machine.openAttempts - a.machine.openAttempts ||
      a.machine.idleS - b.machine.idleS,
  );
};

/**
 * Fills capacities, in their order, with up to `count` tasks of a group. Returns how many found no
 * capacity.
 */
export const fillCapacities = (
  group: DemandGroup,
  count: number,
  capacities: readonly FreeCapacity[],
): number => {
  let unplaced = count;
  for (const capacity of capacities) {
    if (unplaced === 0) break;
    const { type, zone, spot } = capacity.machine;
    if (!permitsOffer(group, { type: type.name, zone, spot })) continue;
    while (unplaced > 0 && fits(group.resources, capacity.free)) {
      capacity.free = subtract(capacity.free, group.resources);
      capacity.plannedTasks++;
      unplaced--;
    }
  }
  return unplaced;
};

/** Counts the tasks there of lower priority than the group's as free from here on. */
export const preemptLowerPriority = (group: DemandGroup, capacity: FreeCapacity): void => {
  for (const task of capacity.machine.tasks)
    if (task.priority > group.priority && !capacity.preempted.has(task)) {
      capacity.free = add(capacity.free, task.resources);
      capacity.preempted.add(task);
    }
};
