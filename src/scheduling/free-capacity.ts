/**
 * Computes the free capacity of the fleet's machines and fills it with the tasks of demand groups.
 *
 * State: `FreeCapacity` objects are mutable and belong to one step of one plan. Each step creates
 * its own, so that one step's planned tasks don't reduce the capacity of the next step. The free
 * amount falls only when tasks are planned, and rises only when lower-priority tasks are to be
 * preempted.
 */
import type { Resources } from "../protocol/jobs.js";
import type { DemandGroup, FleetMachine, FleetTask, TransferInput } from "./fleet-model.js";
import { countCompetingShapes, distinctShapes } from "./placement.js";
import { add, fits, subtract } from "./resources.js";

/** The free capacity of one machine during one step of a plan. */
export interface FreeCapacity {
  readonly machine: FleetMachine;
  free: Resources;
  /** Number of tasks that the plan has placed on the machine. */
  plannedTasks: number;
  /** Whether the plan transfers the machine to another shard. */
  transferred: boolean;
  /** Tasks to be preempted, whose resources are included in `free`. */
  readonly preempted: Set<FleetTask>;
  /** Seconds of work that would be lost if all of the machine's tasks were stopped. */
  readonly lostWorkS: number;
}

/** Whether a group's rules on machine type, zone and spot permit this offer. */
export const permitsOffer = (
  group: DemandGroup,
  offer: { readonly type: string; readonly zone: string; readonly spot: boolean },
): boolean =>
  (group.machineTypes === null || group.machineTypes.includes(offer.type)) &&
  (group.zone === null || group.zone === offer.zone) &&
  (group.spotAllowed || !offer.spot);

/** Price of a machine per processor, in the cloud's price unit. */
const pricePerCpu = (machine: FleetMachine): number =>
  (machine.spot ? machine.type.spotPrice : machine.type.price) /
  Math.max(1, machine.type.capacity.cpus);

/**
 * The free capacities of all machines, in the order in which they are filled. Types that fit the
 * fewest resource shapes come first. Then come cheap machines before expensive ones and those with
 * more open attempts before emptier ones, so that expensive and empty machines remain to be
 * returned. Of equal ones, the machine that has been idle for the shortest time comes first.
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
 * Fills the capacities, in their order, with up to `count` tasks of a group. Returns the number of
 * tasks for which there is no capacity.
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

/** Plans to preempt a machine's tasks of lower priority than the group's: counts them as free. */
export const preemptLowerPriority = (group: DemandGroup, capacity: FreeCapacity): void => {
  for (const task of capacity.machine.tasks)
    if (task.priority > group.priority && !capacity.preempted.has(task)) {
      capacity.free = add(capacity.free, task.resources);
      capacity.preempted.add(task);
    }
};
