import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, NO_RESOURCES, RESOURCE_KINDS, subtract } from "./resources.js";

/**
 * The paper's repulsive "pheromone" of one machine.
 *
 * `use` must already be n - Q + R (eq. 18): what its tasks take, less those waiting to leave,
 * plus those on their way in. `least` is the smallest task's need of each resource there.
 *
 * Past capacity in any resource, the overload form of eq. 3 on the dominant share (eq. 1).
 * Otherwise the squared form of eq. 9 on the least used share (eq. 2), clamped to 0..1, and 0
 * when a single smallest task already fills the machine (n0 = nmin).
 */
export const moveProbability = (use: Resources, capacity: Resources, least: Resources): number => {
  let lowest: (typeof RESOURCE_KINDS)[number] | undefined;
  let lowShare = Number.POSITIVE_INFINITY;
  let highShare = 0;
  for (const k of RESOURCE_KINDS) {
    if (capacity[k] <= 0) continue;
    const share = use[k] / capacity[k];
    if (share < lowShare) {
      lowShare = share;
      lowest = k;
    }
    if (share > highShare) highShare = share;
  }
  // Eq. 23: the overload form while it is positive. (n - n0)/n in terms of the share n/n0.
  if (highShare > 1 + 1e-9) return 1 - 1 / highShare;
  if (lowest === undefined) return 0;
  const n0 = capacity[lowest];
  const nmin = least[lowest];
  if (n0 - nmin <= 1e-9) return 0;
  const p = ((n0 - use[lowest]) / (n0 - nmin)) ** 2;
  return Math.min(1, Math.max(0, p));
};

export interface SwarmTask {
  readonly task: TaskId;
  readonly resources: Resources;
  /** What a restart elsewhere would throw away, in seconds. */
  readonly lossS: number;
  /** May it stand on this machine (type, zone, kind, spread)? */
  readonly allowed: (machine: MachineId) => boolean;
}

export interface SwarmMachine {
  readonly id: MachineId;
  readonly capacity: Resources;
  /** n - Q + R. */
  readonly use: Resources;
  /** Those that stay: not already waiting to leave. */
  readonly tasks: readonly SwarmTask[];
}

export interface SwarmMove {
  readonly task: TaskId;
  readonly from: MachineId;
  readonly to: MachineId;
}

export const smallestDemandOf = (
  tasks: readonly { readonly resources: Resources }[],
): Resources => {
  if (tasks.length === 0) return NO_RESOURCES;
  const least = {
    cpus: Number.POSITIVE_INFINITY,
    gpus: Number.POSITIVE_INFINITY,
    ramGb: Number.POSITIVE_INFINITY,
  };
  for (const t of tasks)
    for (const k of RESOURCE_KINDS) least[k] = Math.min(least[k], t.resources[k]);
  return least;
};

/** Use and tasks of a machine while a round is worked out. */
interface Standing {
  readonly use: Resources;
  readonly tasks: readonly SwarmTask[];
}

/** The destination of eqs. 26 and 27 with the lowest p after, or undefined. */
const destination = (
  t: SwarmTask,
  from: MachineId,
  before: number,
  machines: readonly SwarmMachine[],
  now: ReadonlyMap<MachineId, Standing>,
): MachineId | undefined => {
  let best: MachineId | undefined;
  let bestP = before;
  for (const d of machines) {
    const there = now.get(d.id);
    if (d.id === from || there === undefined || there.tasks.length === 0) continue;
    if (!t.allowed(d.id) || !fits(t.resources, subtract(d.capacity, there.use))) continue;
    const after = moveProbability(
      add(there.use, t.resources),
      d.capacity,
      smallestDemandOf([...there.tasks, t]),
    );
    if (after < bestP) {
      bestP = after;
      best = d.id;
    }
  }
  return best;
};

const shift = (
  now: Map<MachineId, Standing>,
  t: SwarmTask,
  from: MachineId,
  to: MachineId,
): void => {
  const a = now.get(from);
  const b = now.get(to);
  if (a === undefined || b === undefined) return;
  now.set(from, {
    use: subtract(a.use, t.resources),
    tasks: a.tasks.filter((x) => x.task !== t.task),
  });
  now.set(to, { use: add(b.use, t.resources), tasks: [...b.tasks, t] });
};

/**
 * One period of the swarm (Algorithm A1): each task draws, and below its machine's p it looks for
 * a destination that stays within capacity (eq. 26) and whose p after the move is below the
 * origin's before (eq. 27). Of those, the one with the lowest p after.
 *
 * Ours: only off machines that could be emptied (all of its tasks cheap to restart, each with a
 * destination), for a half-emptied machine costs as much as a full one; and at most `cap` moves.
 */
export const planSwarmMoves = (
  machines: readonly SwarmMachine[],
  random: () => number,
  limits: { readonly cap: number; readonly maxLossS: number },
): readonly SwarmMove[] => {
  const moves: SwarmMove[] = [];
  const now = new Map<MachineId, Standing>(machines.map((m) => [m.id, m]));
  const origins = machines
    .filter((m) => m.tasks.length > 0 && m.tasks.every((t) => t.lossS <= limits.maxLossS))
    .sort((a, b) => a.tasks.length - b.tasks.length);
  for (const origin of origins) {
    if (moves.length >= limits.cap) break;
    const here = now.get(origin.id);
    // A machine that has just taken tasks in is no origin in the same period.
    if (here === undefined || here.tasks.length > origin.tasks.length) continue;
    const p = moveProbability(here.use, origin.capacity, smallestDemandOf(here.tasks));
    if (p <= 0) continue;
    const trial = new Map(now);
    const emptied = origin.tasks.every((t) => {
      const to = destination(t, origin.id, p, machines, trial);
      if (to !== undefined) shift(trial, t, origin.id, to);
      return to !== undefined;
    });
    if (!emptied) continue;
    for (const t of origin.tasks) {
      if (moves.length >= limits.cap || random() >= p) continue;
      const to = destination(t, origin.id, p, machines, now);
      if (to === undefined) continue;
      shift(now, t, origin.id, to);
      moves.push({ task: t.task, from: origin.id, to });
    }
  }
  return moves;
};
