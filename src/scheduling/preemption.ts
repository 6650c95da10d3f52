import type { MachineId, TaskId } from "../protocol/ids.js";
import type { Resources } from "../protocol/jobs.js";
import { fits, minus, plus } from "./resources.js";

/** A running task that a job of higher standing may have stopped. */
export interface Victim {
  readonly task: TaskId;
  readonly needs: Resources;
  /** Seconds of work its stop would throw away, its save and restart among them. */
  readonly lossS: number;
}

/** A machine on which room could be made. */
export interface PreemptionCandidate {
  readonly id: MachineId;
  /** What is free, and what those already told to stop leave beyond what is kept for others. */
  readonly free: Resources;
  /** Tasks there that PROTOCOL lets the job stop. */
  readonly victims: readonly Victim[];
}

/** A machine and the tasks to stop on it so that one more task fits. */
export interface Room {
  readonly machine: MachineId;
  readonly victims: readonly Victim[];
}

interface Option {
  readonly candidate: PreemptionCandidate;
  readonly victims: readonly Victim[];
  readonly lossS: number;
}

/**
 * The least loss on one machine: the cheapest are taken until the task fits, then any that turn out
 * not to be needed are spared again. Undefined if it doesn't fit even so.
 */
const optionOn = (needs: Resources, candidate: PreemptionCandidate): Option | undefined => {
  let { free } = candidate;
  let chosen: Victim[] = [];
  for (const victim of candidate.victims) {
    if (fits(needs, free)) break;
    free = plus(free, victim.needs);
    chosen.push(victim);
  }
  if (!fits(needs, free)) return undefined;
  for (const victim of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
    if (!fits(needs, minus(free, victim.needs))) continue;
    free = minus(free, victim.needs);
    chosen = chosen.filter((x) => x !== victim);
  }
  const lossS = chosen.reduce((sum, victim) => sum + victim.lossS, 0);
  return { candidate, victims: chosen, lossS };
};

const byLoss = (candidate: PreemptionCandidate): PreemptionCandidate => ({
  ...candidate,
  victims: [...candidate.victims].sort((a, b) => a.lossS - b.lossS),
});

/**
 * Makes room for tasks of one need, one after the other, each time where stopping loses the least.
 * Each machine is worked out once, and again only after room was made on it: many small tasks on
 * many machines would else be sorted anew for every task that waits.
 */
export class PreemptionSearch {
  readonly #options: (Option | undefined)[];

  constructor(
    private readonly needs: Resources,
    candidates: readonly PreemptionCandidate[],
    private readonly maxLossS: number,
  ) {
    this.#options = candidates.map((c) => optionOn(needs, byLoss(c)));
  }

  /** The next room, which then counts as taken, or null if none can be made. */
  take(): Room | null {
    let best = -1;
    let bestLossS = Number.POSITIVE_INFINITY;
    for (const [at, option] of this.#options.entries()) {
      if (option === undefined || option.lossS > this.maxLossS) continue;
      if (option.lossS >= bestLossS) continue;
      best = at;
      bestLossS = option.lossS;
    }
    const option = this.#options[best];
    if (option === undefined) return null;
    this.#options[best] = optionOn(this.needs, this.#without(option));
    return { machine: option.candidate.id, victims: option.victims };
  }

  #without({ candidate, victims }: Option): PreemptionCandidate {
    const freed = victims.reduce((sum, victim) => plus(sum, victim.needs), candidate.free);
    return {
      id: candidate.id,
      free: minus(freed, this.needs),
      victims: candidate.victims.filter((victim) => !victims.includes(victim)),
    };
  }
}

/** A job's standing when room is made. */
export interface Standing {
  readonly rank: number;
  readonly withinGuarantee: boolean;
  readonly team: string;
}

/** Who may stop whom. */
export const mayPreempt = (by: Standing, victim: Standing): boolean => {
  // PROTOCOL lets rank alone decide; work within a guarantee is spared all the same, but for such.
  if (victim.rank > by.rank) return by.withinGuarantee || !victim.withinGuarantee;
  // A team is given its guarantee out of what others run beyond theirs, whatever its rank.
  return by.withinGuarantee && !victim.withinGuarantee && victim.team !== by.team;
};
