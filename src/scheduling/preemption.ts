import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, subtract } from "./resources.js";

/** A running task that a job of higher standing may have stopped. */
export interface Victim {
  readonly task: TaskId;
  readonly resources: Resources;
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
export interface PreemptionPlan {
  readonly machine: MachineId;
  readonly victims: readonly Victim[];
}

/** Where room could be made, asked again when something else has happened on the machine. */
export interface PreemptionSource {
  /** What could be stopped there now; undefined if nothing would come of it. */
  readonly candidate: () => PreemptionCandidate | undefined;
  /** Any value that differs once the candidate last given is out of date. */
  readonly version: () => unknown;
}

interface Option {
  readonly candidate: PreemptionCandidate;
  readonly victims: readonly Victim[];
  readonly lossS: number;
}

/** What was last worked out of a source. */
interface Entry {
  readonly source: PreemptionSource;
  version: unknown;
  option: Option | undefined;
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
    free = add(free, victim.resources);
    chosen.push(victim);
  }
  if (!fits(needs, free)) return undefined;
  for (const victim of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
    if (!fits(needs, subtract(free, victim.resources))) continue;
    free = subtract(free, victim.resources);
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
 * Each machine is worked out once, and again only if something has happened on it: many small tasks
 * on many machines would else be sorted anew for every task that waits. (A round of a shard with 800
 * machines took over a second, and its tasks waited for minutes beside room.)
 */
export class PreemptionSearch {
  readonly #entries: readonly Entry[];

  constructor(
    private readonly needs: Resources,
    sources: Iterable<PreemptionSource>,
    private readonly maxLossS: number,
  ) {
    this.#entries = [...sources].map((source) => this.#workOut({ source }));
  }

  /** The next room, which then counts as taken, or null if none can be made. */
  take(): PreemptionPlan | null {
    for (;;) {
      const entry = this.#best();
      if (entry?.option === undefined) return null;
      if (entry.version !== entry.source.version()) {
        Object.assign(entry, this.#workOut(entry));
        continue;
      }
      const { candidate, victims } = entry.option;
      entry.option = optionOn(this.needs, this.#without(entry.option));
      return { machine: candidate.id, victims };
    }
  }

  /** To be called once the room that was taken last is noted on its machine. */
  noted(machine: MachineId): void {
    for (const entry of this.#entries)
      if (entry.option?.candidate.id === machine) entry.version = entry.source.version();
  }

  #workOut({ source }: Pick<Entry, "source">): Entry {
    const candidate = source.candidate();
    const option = candidate === undefined ? undefined : optionOn(this.needs, byLoss(candidate));
    return { source, version: source.version(), option };
  }

  #best(): Entry | undefined {
    let best: Entry | undefined;
    let bestLossS = Number.POSITIVE_INFINITY;
    for (const entry of this.#entries) {
      const { option } = entry;
      if (option === undefined || option.lossS > this.maxLossS) continue;
      if (option.lossS >= bestLossS) continue;
      best = entry;
      bestLossS = option.lossS;
    }
    return best;
  }

  #without({ candidate, victims }: Option): PreemptionCandidate {
    const freed = victims.reduce((sum, victim) => add(sum, victim.resources), candidate.free);
    return {
      id: candidate.id,
      free: subtract(freed, this.needs),
      victims: candidate.victims.filter((victim) => !victims.includes(victim)),
    };
  }
}

/** A job's standing when room is made. */
export interface PreemptionContext {
  readonly priority: number;
  readonly withinGuarantee: boolean;
  readonly team: string;
}

/** Who may stop whom. */
export const mayPreempt = (by: PreemptionContext, victim: PreemptionContext): boolean => {
  // PROTOCOL lets rank alone decide; work within a guarantee is spared all the same, but for such.
  if (victim.priority > by.priority) return by.withinGuarantee || !victim.withinGuarantee;
  // A team is given its guarantee out of what others run beyond theirs, whatever its rank.
  return by.withinGuarantee && !victim.withinGuarantee && victim.team !== by.team;
};
