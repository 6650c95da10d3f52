/**
 * The swarm: periodic moves of running tasks that empty underfilled machines, and the move
 * probability that bin packing uses too.
 *
 * From M. Rusek and G. Dwornicki, "Swarm-Like Distributed Algorithm for Scheduling a
 * Microservice-Based Application to the Cloud Servers" (2021); equation numbers are the paper's. Its
 * symbols: n is the use of one resource on a machine, n0 the machine's capacity, nmin the smallest
 * use by one of its tasks, Q and R the use of tasks on their way out and in, p the move probability
 * (the paper's repulsive "pheromone", 0 to 1).
 *
 * Owns no state. A period works on a copy of the machines' loads, and draws one random number for
 * each task of each machine that could be emptied, until its moves are used up.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, NO_RESOURCES, RESOURCE_KINDS, subtract } from "./resources.js";

/** Shares above 1 by no more than this are full, not overloaded. */
const SHARE_TOLERANCE = 1e-9;

/** The shares of capacity in use that the paper's formulas start from. */
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
 * By eq. 23, the overload form wherever it is positive, and the bin packing form otherwise:
 * - overloaded, eq. 3: p = (n - n0)/n, for the resource with the dominant share (eq. 1);
 * - otherwise, eq. 9: p = ((n0 - n)/(n0 - nmin))^2, for the least used resource (eq. 2).
 *
 * Ours: eq. 9 is clamped to 0..1, and 0 where n0 = nmin, that is where one smallest task already
 * fills the machine.
 *
 * `usedResources` must already be n - Q + R (eq. 18): what the machine's tasks take, without those on their
 * way out, with those on their way in. `smallestDemand` is nmin for each resource. All amounts are
 * in the units of `Resources`.
 */
export const moveProbability = (
  usedResources: Resources,
  capacity: Resources,
  smallestDemand: Resources,
): number => {
  const { dominant, leastUsed } = usedShares(usedResources, capacity);
  // (n - n0)/n, expressed by the share n/n0.
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
  /** Seconds of work that its restart on another machine would throw away. */
  readonly lostWorkS: number;
  /** Whether it may run on this machine by its job's placement rules, capacity aside. */
  readonly mayRunOn: (machine: MachineId) => boolean;
}

/** A machine that tasks could move from or to. */
export interface SwarmMachine {
  readonly id: MachineId;
  readonly capacity: Resources;
  /** n - Q + R (eq. 18), for each resource. */
  readonly usedResources: Resources;
  /** Its tasks without those on their way out. */
  readonly tasks: readonly SwarmTask[];
}

/** One task to move. */
export interface SwarmMove {
  readonly task: TaskId;
  readonly from: MachineId;
  readonly to: MachineId;
}

/** What bounds the moves of one period. */
export interface SwarmLimits {
  /** The most moves in one period. */
  readonly maxMoves: number;
  /** A machine with a task that would lose more seconds of work is not emptied. */
  readonly maxLostWorkS: number;
}

/** The smallest demand for each resource among these tasks (nmin); nothing if there are none. */
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

/** Use and tasks of a machine after the moves decided so far. */
interface MachineLoad {
  readonly usedResources: Resources;
  readonly tasks: readonly SwarmTask[];
}

/** The load of each machine by id; a period changes it move by move. */
type MachineLoads = Map<MachineId, MachineLoad>;

/** A machine that the period tries to empty, and its move probability p. */
interface Origin {
  readonly machine: SwarmMachine;
  readonly probability: number;
}

/**
 * Where a task moves to: a machine that stays within capacity (eq. 26) and whose p after the move
 * is below the origin's before it (eq. 27); of several the one with the lowest. Undefined if there
 * is none. An empty machine is no destination: it would have to be kept.
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

/** Whether each task of the origin would find a destination if they moved one after the other. */
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

/** The origin if its tasks should move in this period; undefined if not. */
const originOf = (machine: SwarmMachine, loads: MachineLoads): Origin | undefined => {
  const load = loads.get(machine.id);
  // A machine that was given tasks in this period is no origin in the same one.
  if (load === undefined || load.tasks.length > machine.tasks.length) return undefined;
  const probability = moveProbability(
    load.usedResources,
    machine.capacity,
    smallestDemandOf(load.tasks),
  );
  return probability > 0 ? { machine, probability } : undefined;
};

/**
 * One period of the swarm (Algorithm A1): each task draws a random number r (0 to 1), and if r < p
 * looks for a destination (eqs. 26 and 27).
 *
 * Ours: only machines that could be emptied are origins (all of their tasks are cheap to restart and
 * have a destination), because a half-emptied machine costs as much as a full one; those with the
 * fewest tasks first; and a period makes at most `limits.maxMoves` moves.
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
