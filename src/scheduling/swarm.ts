/**
 * The swarm: periodic moves of running tasks that empty underfilled machines. Also computes the
 * move probability, which placement uses as a bin packing score.
 *
 * From M. Rusek and G. Dwornicki, "Swarm-Like Distributed Algorithm for Scheduling a
 * Microservice-Based Application to the Cloud Servers" (2021); equation numbers are the paper's.
 * Its symbols: n is the amount of one resource in use on a machine, n0 the machine's capacity, nmin
 * the smallest amount that one of its tasks uses, Q and R the amounts of tasks that are moving out
 * and in, p the move probability (the paper's repulsive "pheromone", 0 to 1).
 *
 * Owns no state. A period works on a copy of the machines' loads. It draws one random number for
 * each task of each machine that could be emptied, until it has reached the maximum number of
 * moves.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, NO_RESOURCES, RESOURCE_KINDS, subtract } from "./resources.js";

/** A share that exceeds 1 by at most this counts as full, not as overloaded. */
const SHARE_TOLERANCE = 1e-9;

/** The used shares of capacity that the paper's formulas are based on. */
interface UsedShares {
  /** max over k of n(k)/n0(k): the dominant share, eq. 1. */
  readonly dominant: number;
  /** The resource k with the least n(k)/n0(k), eq. 2; undefined for a machine without capacity. */
  readonly leastUsed: (typeof RESOURCE_KINDS)[number] | undefined;
}

const usedShares = (usedResources: Resources, capacity: Resources): UsedShares => {
  let leastUsed: UsedShares["leastUsed"];
  let leastShare = Number.POSITIVE_INFINITY;
  let dominant = 0;
  for (const kind of RESOURCE_KINDS) {
    if (capacity[kind] <= 0) continue;
    const share = usedResources[kind] / capacity[kind];
    if (share < leastShare) {
      leastShare = share;
      leastUsed = kind;
    }
    if (share > dominant) dominant = share;
  }
  return { dominant, leastUsed };
};

/**
 * The probability, 0 to 1, with which each task of a machine moves off it in one period.
 *
 * By eq. 23, the overload form applies if it is positive, and the bin packing form otherwise:
 * - overloaded, eq. 3: p = (n - n0)/n, for the resource with the dominant share (eq. 1);
 * - otherwise, eq. 9: p = ((n0 - n)/(n0 - nmin))^2, for the least used resource (eq. 2).
 *
 * Differences from the paper: eq. 9 is clamped to 0..1, and is 0 if n0 = nmin, that is if the
 * smallest task fills the machine.
 *
 * `usedResources` must be n - Q + R (eq. 18): the resources of the machine's tasks, without those
 * that are moving out and with those that are moving in. `smallestDemand` is nmin for each
 * resource. All amounts are in the units of `Resources`.
 */
export const moveProbability = (
  usedResources: Resources,
  capacity: Resources,
  smallestDemand: Resources,
): number => {
  const { dominant, leastUsed } = usedShares(usedResources, capacity);
  // (n - n0)/n, rewritten with the share n/n0.
  if (dominant > 1 + SHARE_TOLERANCE) return 1 - 1 / dominant;
  if (leastUsed === undefined) return 0;
  const total = capacity[leastUsed];
  const beyondSmallest = total - smallestDemand[leastUsed];
  if (beyondSmallest <= SHARE_TOLERANCE) return 0;
  const probability = ((total - usedResources[leastUsed]) / beyondSmallest) ** 2;
  return Math.min(1, Math.max(0, probability));
};

/** A running task that could move. */
export interface SwarmTask {
  readonly task: TaskId;
  readonly resources: Resources;
  /** Seconds of work that would be lost by restarting it on another machine. */
  readonly lostWorkS: number;
  /** Whether its job's placement rules permit this machine. Free capacity is not checked. */
  readonly mayRunOn: (machine: MachineId) => boolean;
}

/** A machine that tasks could move from or to. */
export interface SwarmMachine {
  readonly id: MachineId;
  readonly capacity: Resources;
  /** n - Q + R (eq. 18), for each resource. */
  readonly usedResources: Resources;
  /** Its tasks, without those that are moving out. */
  readonly tasks: readonly SwarmTask[];
}

/** One task to move. */
export interface SwarmMove {
  readonly task: TaskId;
  readonly from: MachineId;
  readonly to: MachineId;
}

/** The limits of one period. */
export interface SwarmLimits {
  /** The maximum number of moves. */
  readonly maxMoves: number;
  /** A machine is not emptied if the restart of any of its tasks loses more work than this. */
  readonly maxLostWorkS: number;
}

/** The smallest demand for each resource among these tasks (nmin); 0 if there are no tasks. */
export const smallestDemandOf = (
  tasks: readonly { readonly resources: Resources }[],
): Resources => {
  if (tasks.length === 0) return NO_RESOURCES;
  const smallest = {
    cpus: Number.POSITIVE_INFINITY,
    gpus: Number.POSITIVE_INFINITY,
    ramGb: Number.POSITIVE_INFINITY,
  };
  for (const { resources } of tasks)
    for (const kind of RESOURCE_KINDS) smallest[kind] = Math.min(smallest[kind], resources[kind]);
  return smallest;
};

/** The used resources and the tasks of a machine after the moves planned so far. */
interface MachineLoad {
  readonly usedResources: Resources;
  readonly tasks: readonly SwarmTask[];
}

/** The load of each machine by id, updated with each planned move. */
type MachineLoads = Map<MachineId, MachineLoad>;

/** A machine that the period tries to empty, and its move probability p. */
interface Origin {
  readonly machine: SwarmMachine;
  readonly probability: number;
}

/**
 * The destination for a task: a machine that stays within its capacity (eq. 26) and whose p after
 * the move is below the origin's p before it (eq. 27). Of several, the one with the lowest p.
 * Undefined if there is none. An empty machine is never a destination, because it could then not be
 * returned.
 */
const findDestination = (
  task: SwarmTask,
  origin: Origin,
  machines: readonly SwarmMachine[],
  loads: ReadonlyMap<MachineId, MachineLoad>,
): MachineId | undefined => {
  let best: MachineId | undefined;
  let lowestProbability = origin.probability;
  for (const { id, capacity } of machines) {
    const load = loads.get(id);
    if (id === origin.machine.id || load === undefined || load.tasks.length === 0) continue;
    if (!task.mayRunOn(id) || !fits(task.resources, subtract(capacity, load.usedResources)))
      continue;
    const probability = moveProbability(
      add(load.usedResources, task.resources),
      capacity,
      smallestDemandOf([...load.tasks, task]),
    );
    if (probability < lowestProbability) {
      lowestProbability = probability;
      best = id;
    }
  }
  return best;
};

const moveLoad = (loads: MachineLoads, task: SwarmTask, from: MachineId, to: MachineId): void => {
  const source = loads.get(from);
  const target = loads.get(to);
  if (source === undefined || target === undefined) return;
  loads.set(from, {
    usedResources: subtract(source.usedResources, task.resources),
    tasks: source.tasks.filter((other) => other.task !== task.task),
  });
  loads.set(to, {
    usedResources: add(target.usedResources, task.resources),
    tasks: [...target.tasks, task],
  });
};

/** Whether every task of the origin finds a destination if they move one after the other. */
const canBeEmptied = (
  origin: Origin,
  machines: readonly SwarmMachine[],
  loads: ReadonlyMap<MachineId, MachineLoad>,
): boolean => {
  const trial = new Map(loads);
  return origin.machine.tasks.every((task) => {
    const to = findDestination(task, origin, machines, trial);
    if (to !== undefined) moveLoad(trial, task, origin.machine.id, to);
    return to !== undefined;
  });
};

/** The machine as an origin of moves; undefined if its tasks should not move in this period. */
const originOf = (machine: SwarmMachine, loads: MachineLoads): Origin | undefined => {
  const load = loads.get(machine.id);
  // A machine that has been a destination in this period is not an origin in it.
  if (load === undefined || load.tasks.length > machine.tasks.length) return undefined;
  const probability = moveProbability(
    load.usedResources,
    machine.capacity,
    smallestDemandOf(load.tasks),
  );
  return probability > 0 ? { machine, probability } : undefined;
};

/**
 * Plans the moves of one period of the swarm (Algorithm A1): a random number r (0 to 1) is drawn
 * for each task, and if r < p, the task moves to a destination, if there is one (eqs. 26 and 27).
 *
 * Differences from the paper: only machines that could be emptied are origins (all of their tasks
 * are cheap to restart and have a destination), because a partly emptied machine costs as much as a
 * full one. Machines with the fewest tasks come first. A period plans at most `limits.maxMoves`
 * moves.
 */
export const planSwarmMoves = (
  machines: readonly SwarmMachine[],
  random: () => number,
  limits: SwarmLimits,
): readonly SwarmMove[] => {
  const moves: SwarmMove[] = [];
  const loads: MachineLoads = new Map(machines.map((machine) => [machine.id, machine]));
  const cheapToEmpty = machines
    .filter(
      ({ tasks }) => tasks.length > 0 && tasks.every((t) => t.lostWorkS <= limits.maxLostWorkS),
    )
    .sort((a, b) => a.tasks.length - b.tasks.length);
  for (const machine of cheapToEmpty) {
    if (moves.length >= limits.maxMoves) break;
    const origin = originOf(machine, loads);
    if (origin === undefined || !canBeEmptied(origin, machines, loads)) continue;
    for (const task of machine.tasks) {
      if (moves.length >= limits.maxMoves || random() >= origin.probability) continue;
      const to = findDestination(task, origin, machines, loads);
      if (to === undefined) continue;
      moveLoad(loads, task, machine.id, to);
      moves.push({ task: task.task, from: machine.id, to });
    }
  }
  return moves;
};
