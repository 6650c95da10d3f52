/**
 * Decides which running tasks to stop so that a task of a job that may preempt them fits.
 *
 * State: a `PreemptionSearch` caches, for each machine, the option that loses the least work, for
 * tasks of one resource shape. An option is recomputed if its source's version has changed, so a
 * stale option is never returned. Lost work is in seconds.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { Resources } from "../protocol/jobs.js";
import { add, fits, subtract } from "./resources.js";

/** A running task that may be preempted. */
export interface Victim {
  readonly task: TaskId;
  readonly resources: Resources;
  /**
   * Seconds of work that would be lost if it were stopped, including its checkpoint and restart.
   */
  readonly lostWorkS: number;
}

/** A machine on which tasks could be preempted. */
export interface PreemptionCandidate {
  readonly id: MachineId;
  /**
   * The free capacity, plus the capacity of tasks that are already being stopped, less all
   * reservations.
   */
  readonly free: Resources;
  /** The tasks on it that the job may preempt (`mayPreempt`). */
  readonly victims: readonly Victim[];
}

/** A machine and the tasks to stop on it so that one more task fits. */
export interface PreemptionPlan {
  readonly machine: MachineId;
  readonly victims: readonly Victim[];
}

/** Provides the preemption candidate of one machine, and a version that shows when it is stale. */
export interface PreemptionSource {
  /** The current candidate; undefined if preemption on the machine would not help. */
  readonly candidate: () => PreemptionCandidate | undefined;
  /** A value that changes when the candidate returned last becomes stale. */
  readonly version: () => unknown;
}

/** The victims on one machine that make one task fit with the least lost work. */
interface PreemptionOption {
  readonly candidate: PreemptionCandidate;
  readonly victims: readonly Victim[];
  readonly lostWorkS: number;
}

/** The cached result for a source. */
interface EvaluatedSource {
  readonly source: PreemptionSource;
  version: unknown;
  /** Undefined if no preemption there makes the task fit. */
  option: PreemptionOption | undefined;
}

/**
 * The cheapest option on one machine. Victims are added in their order, least lost work first,
 * until the task fits. Then those without which the task still fits are removed, most lost work
 * first. Undefined if the task doesn't fit even if all victims are stopped.
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
 * Finds machines for tasks of one resource shape, one task at a time, each time the machine on
 * which preemption loses the least work. The option of a machine is recomputed only after the
 * machine has changed. Sorting all victims again for every waiting task is too slow: a round of a
 * shard with 800 machines took over a second, and its tasks waited for minutes although there was
 * capacity.
 */
export class PreemptionSearch {
  readonly #evaluated: readonly EvaluatedSource[];

  /**
   * `needs`: the resources of one task. `maxLostWorkS`: the most seconds of work a plan may lose.
   */
  constructor(
    private readonly needs: Resources,
    sources: Iterable<PreemptionSource>,
    private readonly maxLostWorkS: number,
  ) {
    this.#evaluated = [...sources].map((source) => this.#evaluate(source));
  }

  /**
   * Returns the plan for the next task, or null if no machine has an option within the maximum.
   * The planned capacity is no longer available to later plans.
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
   * Must be called after the caller has added the last plan's reservation to the machine. The
   * search has accounted for the plan already, so the version change that the reservation causes
   * must not make the option stale.
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

  /** The candidate after the option's victims are stopped and the task uses their capacity. */
  #afterPreemption({ candidate, victims }: PreemptionOption): PreemptionCandidate {
    const freed = victims.reduce((sum, victim) => add(sum, victim.resources), candidate.free);
    return {
      id: candidate.id,
      free: subtract(freed, this.needs),
      victims: candidate.victims.filter((victim) => !victims.includes(victim)),
    };
  }
}

/** The properties of a job that decide which jobs it may preempt or be preempted by. */
export interface PreemptionContext {
  /** A lower number is a higher priority. */
  readonly priority: number;
  readonly withinGuarantee: boolean;
  readonly team: string;
}

/** Whether the tasks of the job `victim` may be preempted for a task of the job `by`. */
export const mayPreempt = (by: PreemptionContext, victim: PreemptionContext): boolean => {
  // The protocol permits any preemption of a lower priority. Work within a team's guarantee is
  // nevertheless preempted only for other work within a guarantee.
  if (victim.priority > by.priority) return by.withinGuarantee || !victim.withinGuarantee;
  // Work within a guarantee preempts work of other teams beyond theirs, whatever the priorities.
  return by.withinGuarantee && !victim.withinGuarantee && victim.team !== by.team;
};
