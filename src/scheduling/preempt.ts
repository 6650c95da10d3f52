import type { MachineId, TaskId } from "../protocol/ids.js";
import type { Resources } from "../protocol/jobs.js";
import { fits, minus, plus } from "./resources.js";

export interface Victim {
  readonly task: TaskId;
  readonly needs: Resources;
  /** Seconds of work its stop would throw away, its save and restart among them. */
  readonly lossS: number;
}

export interface Ground {
  readonly id: MachineId;
  /** What is free, and what those already told to stop leave beyond what is kept for others. */
  readonly free: Resources;
  /** Tasks there that PROTOCOL lets this job stop. */
  readonly victims: readonly Victim[];
}

/**
 * Where stopping the least makes room for one task: the machine and the victims with the lowest
 * loss in all, or null; none need be stopped where enough is on its way out already. On each machine the cheapest are taken until it fits, then any that turn
 * out not to be needed are spared again.
 */
export const cheapestRoom = (
  needs: Resources,
  grounds: readonly Ground[],
  maxLossS: number,
): { readonly machine: MachineId; readonly victims: readonly Victim[] } | null => {
  let best: { machine: MachineId; victims: readonly Victim[] } | null = null;
  let bestLoss = Number.POSITIVE_INFINITY;
  for (const g of grounds) {
    let free = g.free;
    let chosen: Victim[] = [];
    for (const v of [...g.victims].sort((a, b) => a.lossS - b.lossS)) {
      if (fits(needs, free)) break;
      free = plus(free, v.needs);
      chosen.push(v);
    }
    if (!fits(needs, free)) continue;
    for (const v of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
      if (!fits(needs, minus(free, v.needs))) continue;
      free = minus(free, v.needs);
      chosen = chosen.filter((x) => x !== v);
    }
    const loss = chosen.reduce((sum, v) => sum + v.lossS, 0);
    if (loss <= maxLossS && loss < bestLoss) {
      best = { machine: g.id, victims: chosen };
      bestLoss = loss;
    }
  }
  return best;
};

/** Who may stop whom. */
export const mayPreempt = (
  by: { readonly rank: number; readonly owed: boolean; readonly team: string },
  victim: { readonly rank: number; readonly owed: boolean; readonly team: string },
): boolean => {
  // PROTOCOL lets rank alone decide; what a team is owed is spared all the same, but for the owed.
  if (victim.rank > by.rank) return by.owed || !victim.owed;
  // A team is given its guarantee out of what others run beyond theirs, whatever its rank.
  return by.owed && !victim.owed && victim.team !== by.team;
};
