/**
 * Decides which running tasks to stop so that a task of a job with higher standing fits.
 *
 * State: a `PreemptionSearch` keeps the cheapest option of each machine for tasks of one resource
 * shape. An option is computed again once its source's version differs, so one that is out of date
 * is never returned. All losses are in seconds of work.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, subtract } from "./resources.js";

/** A running task that may be preempted. */
export interface Victim {
  readonly task: TaskId;
  readonly resources: Resources;
  /** Seconds of work that stopping it would throw away, its checkpoint and restart included. */
  readonly lostWorkS: number;
}

/** A machine on which tasks could be preempted. */
export interface PreemptionCandidate {
  readonly id: MachineId;
  /** What is free, and what tasks that are stopping already leave beyond all reservations. */
  readonly free: Resources;
  /** Tasks there that the protocol lets the job preempt. */
  readonly victims: readonly Victim[];
}

/** A machine and the tasks to stop on it so that one more task fits. */
export interface PreemptionPlan {
  readonly machine: MachineId;
  readonly victims: readonly Victim[];
}

/** Gives a machine's candidate, and tells whether the one given last still holds. */
export interface PreemptionSource {
  /** What could be preempted there now; undefined if preemption there would not help. */
  readonly candidate: () => PreemptionCandidate | undefined;
  /** Any value that differs once the candidate given last is out of date. */
  readonly version: () => unknown;
}

/** The cheapest way to make one task fit on one machine. */
interface PreemptionOption {
  readonly candidate: PreemptionCandidate;
  readonly victims: readonly Victim[];
  readonly lostWorkS: number;
}

/** What was last computed of a source. */
interface EvaluatedSource {
  readonly source: PreemptionSource;
  version: unknown;
  /** Undefined if no preemption there makes the task fit. */
  option: PreemptionOption | undefined;
}

/**
 * The cheapest option on one machine: victims are taken in their order, the smallest loss first,
 * until the task fits; then any that turn out not to be needed are spared, the largest loss first.
 * Undefined if the task doesn't fit even with all of them stopped.
 */
const cheapestOption = (
  need: Resources,
  candidate: PreemptionCandidate,
): PreemptionOption | undefined => {
  let { free } = candidate;
  let chosen: Victim[] = [];
  for (const victim of candidate.victims) {
    if (fits(need, free)) break;
    free = add(free, victim.resources);
    chosen.push(victim);
  }
  if (!fits(need, free)) return undefined;
  for (const victim of [...chosen].sort((a, b) => b.lostWorkS - a.lostWorkS)) {
    if (!fits(need, subtract(free, victim.resources))) continue;
    free = subtract(free, victim.resources);
    chosen = chosen.filter((other) => other !== victim);
  }
  const lostWorkS = chosen.reduce((sum, victim) => sum + victim.lostWorkS, 0);
  return { candidate, victims: chosen, lostWorkS };
};

const sortVictimsByLostWork = (candidate: PreemptionCandidate): PreemptionCandidate => ({
  ...candidate,
  victims: [...candidate.victims].sort((a, b) => a.lostWorkS - b.lostWorkS),
});

/**
 * Finds machines for tasks of one resource shape, one after the other, each time where preemption
 * loses the least work. Each machine is computed once, and again only after something has changed on
 * it; otherwise many small tasks on many machines would be sorted anew for every waiting task. (A
 * round of a shard with 800 machines took over a second, and its tasks waited for minutes although
 * there was capacity.)
 */
export class PreemptionSearch {
  readonly #evaluated: readonly EvaluatedSource[];

  /** `needs`: what one task takes. `maxLostWorkS`: no plan may lose more seconds of work. */
  constructor(
    private readonly needs: Resources,
    sources: Iterable<PreemptionSource>,
    private readonly maxLostWorkS: number,
  ) {
    this.#evaluated = [...sources].map((source) => this.#evaluate(source));
  }

  /**
   * The plan for the next task, or null if there is none within the maximum loss. The capacity
   * counts as taken from here on.
   */
  nextPlan(): PreemptionPlan | null {
    for (;;) {
      const best = this.#leastLostWork();
      if (best?.option === undefined) return null;
      if (best.version !== best.source.version()) {
        Object.assign(best, this.#evaluate(best.source));
        continue;
      }
      const { candidate, victims } = best.option;
      best.option = cheapestOption(this.needs, this.#afterPreemption(best.option));
      return { machine: candidate.id, victims };
    }
  }

  /**
   * Must be called once the caller has recorded the plan taken last on its machine: the change of
   * version that this causes doesn't make the option out of date.
   */
  markPlanRecorded(machine: MachineId): void {
    for (const evaluated of this.#evaluated)
      if (evaluated.option?.candidate.id === machine)
        evaluated.version = evaluated.source.version();
  }

  #evaluate(source: PreemptionSource): EvaluatedSource {
    const candidate = source.candidate();
    const option =
      candidate === undefined
        ? undefined
        : cheapestOption(this.needs, sortVictimsByLostWork(candidate));
    return { source, version: source.version(), option };
  }

  #leastLostWork(): EvaluatedSource | undefined {
    let best: EvaluatedSource | undefined;
    let leastLostWorkS = Number.POSITIVE_INFINITY;
    for (const evaluated of this.#evaluated) {
      const { option } = evaluated;
      if (option === undefined || option.lostWorkS > this.maxLostWorkS) continue;
      if (option.lostWorkS >= leastLostWorkS) continue;
      best = evaluated;
      leastLostWorkS = option.lostWorkS;
    }
    return best;
  }

  /** The candidate once the option's victims are stopped and the task has taken their capacity. */
  #afterPreemption({ candidate, victims }: PreemptionOption): PreemptionCandidate {
    const freed = victims.reduce((sum, victim) => add(sum, victim.resources), candidate.free);
    return {
      id: candidate.id,
      free: subtract(freed, this.needs),
      victims: candidate.victims.filter((victim) => !victims.includes(victim)),
    };
  }
}

/** A job's standing when it preempts or is preempted. */
export interface PreemptionContext {
  /** Lower numbers go first. */
  readonly priority: number;
  readonly withinGuarantee: boolean;
  readonly team: string;
}

/** Whether a job's tasks may be preempted by another's. */
export const mayPreempt = (by: PreemptionContext, victim: PreemptionContext): boolean => {
  // The protocol lets priority alone decide. Work within a guarantee is spared all the same, except
  // from other work within one.
  if (victim.priority > by.priority) return by.withinGuarantee || !victim.withinGuarantee;
  // A team gets its guarantee out of what other teams run beyond theirs, whatever the priorities.
  return by.withinGuarantee && !victim.withinGuarantee && victim.team !== by.team;
};
