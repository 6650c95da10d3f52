/**
 * Chooses a machine for each task, in this order: the machine with a reservation for the task, the
 * best candidate by bin packing, a machine on which the job failed before, and last preemption.
 *
 * Owns the candidate selectors of one round; all jobs with the same placement rules and resources
 * share a selector. Consumes reservations and requests token raises in the shard's soft state. The
 * caller adds the task to the use of the chosen machine.
 */
import type { MachineId, TaskId } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import { startSlackS, targetsOf } from "../../scheduling/objectives.js";
import {
  type CandidateMachine,
  CandidateSelector,
  isPermitted,
  placementGroupKey,
} from "../../scheduling/placement.js";
import type { PreemptionSearch } from "../../scheduling/preemption.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { fitsRemainingCapacity, subtract } from "../../scheduling/resources.js";
import type { ShardState } from "../ownership/shard-state.js";
import { type MutableZoneCounts, zoneCounts } from "./candidate-machines.js";
import { JobStarts } from "./job-starts.js";
import type { PreemptionPhase } from "./preemption-phase.js";

/** The state of one job while its tasks are placed. */
export interface JobPlacement {
  /** The job with the changes that this round has made to it so far. */
  readonly queued: QueuedJob;
  /** The number of its open attempts in each zone, including the attempts just chosen. */
  readonly zones: MutableZoneCounts;
  /** Selects among the candidates on which the job has not failed. */
  readonly selector: CandidateSelector;
  /** Machines on which attempts of the job failed. */
  readonly failedOn: ReadonlySet<MachineId>;
  /** Seconds until a task must run to meet the next start target that can still be met. */
  readonly startSlackS: number;
  /** The attempts chosen so far. */
  readonly starts: JobStarts;
  /** The job's search for tasks to preempt; undefined until one is needed. */
  preemptionSearch: PreemptionSearch | undefined;
}

/** The result of placing one waiting task. */
export type PlacementOutcome =
  /** The task may start on this machine. */
  | { readonly kind: "placed"; readonly machine: CandidateMachine }
  /** The task waits until the capacity reserved for it is free; the job's other tasks may start. */
  | { readonly kind: "awaits_reservation" }
  /** No machine has free capacity for the task, nor for the job's other tasks, which are alike. */
  | { readonly kind: "no_capacity" };

const AWAITS_RESERVATION: PlacementOutcome = { kind: "awaits_reservation" };
const NO_CAPACITY: PlacementOutcome = { kind: "no_capacity" };

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/** Chooses machines for the tasks that one round places in one shard. */
export class MachineChooser {
  readonly #selectors = new Map<string, CandidateSelector>();

  constructor(
    private readonly state: ShardState,
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
    private readonly preemption: PreemptionPhase,
  ) {}

  /** Prepares the placement of a job's tasks. */
  beginJob(queued: QueuedJob): JobPlacement {
    const { state } = this;
    const { job, id } = queued;
    const { spec } = job;
    const failedOn = state.jobBackoffs.get(id)?.failedOn ?? NO_MACHINES;
    const targets = targetsOf(spec, state.ctx.settings.objectives, queued.withinGuarantee);
    return {
      queued,
      zones: zoneCounts(state, job),
      selector:
        failedOn.size > 0 ? this.#selectorExcluding(spec, failedOn) : this.#sharedSelector(spec),
      failedOn,
      startSlackS: startSlackS(targets, queued.ageS),
      starts: new JobStarts(job, state.ctx.settings),
      preemptionSearch: undefined,
    };
  }

  /**
   * Chooses a machine with free capacity for one task. If there is none, tries to preempt other
   * tasks so that it can start in a later round.
   */
  choose(task: TaskId, placement: JobPlacement): PlacementOutcome {
    const { selector, zones, startSlackS: slackS } = placement;
    const preferred = this.#claimReservation(task, placement) ?? selector.choose(zones, slackS);
    if (preferred !== null) {
      if (!this.#hasEarlierAttempt(task, preferred)) return { kind: "placed", machine: preferred };
      // The worker still remembers an earlier attempt of the task and would refuse the start.
      const other = selector.choose(zones, slackS, (m) => this.#hasEarlierAttempt(task, m));
      if (other !== null) return { kind: "placed", machine: other };
      this.#requestTokenRaise(preferred);
    }
    const fallback = this.#chooseDespiteFailures(placement);
    if (fallback === null) return this.#preempt(task, placement);
    if (!this.#hasEarlierAttempt(task, fallback)) return { kind: "placed", machine: fallback };
    this.#requestTokenRaise(fallback);
    return this.#preempt(task, placement);
  }

  /**
   * The selector for all candidates. Jobs with the same placement group share one, so that what it
   * has computed for each machine is reused.
   */
  #sharedSelector(spec: JobSpec): CandidateSelector {
    const key = placementGroupKey(spec);
    const cached = this.#selectors.get(key);
    if (cached !== undefined) return cached;
    const selector = new CandidateSelector(spec, this.candidates.values());
    this.#selectors.set(key, selector);
    return selector;
  }

  /** A selector for the candidates on which the job has not failed. */
  #selectorExcluding(spec: JobSpec, failedOn: ReadonlySet<MachineId>): CandidateSelector {
    const notFailedOn = [...this.candidates.values()].filter((m) => !failedOn.has(m.id));
    return new CandidateSelector(spec, notFailedOn);
  }

  /**
   * Chooses among all candidates, including those on which the job failed before, but only while
   * the job has no open attempt. A job with an error of its own fails on every machine, and
   * retrying all of its tasks at once would occupy the fleet.
   */
  #chooseDespiteFailures(placement: JobPlacement): CandidateMachine | null {
    const { job } = placement.queued;
    if (placement.failedOn.size === 0) return null;
    if (job.open.length + placement.starts.attempts.length > 0) return null;
    return this.#sharedSelector(job.spec).choose(placement.zones, placement.startSlackS);
  }

  /**
   * Called when no machine has free capacity: requests stops for tasks that may be preempted and
   * reserves their capacity for this task.
   */
  #preempt(task: TaskId, placement: JobPlacement): PlacementOutcome {
    const { state } = this;
    const { ctx } = state;
    const { queued } = placement;
    if (queued.slackS > ctx.operators.preemptSlackS || ctx.store.isFailing()) return NO_CAPACITY;
    if (state.reservations.has(task)) return AWAITS_RESERVATION;
    if (this.preemption.isLimitReached) return NO_CAPACITY;
    placement.preemptionSearch ??= this.preemption.searchFor(
      queued,
      placement.zones,
      placement.failedOn,
    );
    if (placement.preemptionSearch === undefined) return NO_CAPACITY;
    const isReserved = this.preemption.tryPreempt(task, queued, placement.preemptionSearch);
    return isReserved ? AWAITS_RESERVATION : NO_CAPACITY;
  }

  /**
   * Requests a higher fencing token for a machine. Called if the only machine with free capacity
   * still remembers an ended attempt of the task that it can't be told to forget under its present
   * token.
   */
  #requestTokenRaise(machine: CandidateMachine): void {
    const { tokenRaise } = this.state.machineState(machine.id);
    if (!tokenRaise.isPending) this.state.dirtyMachines.add(machine.id);
    tokenRaise.request();
  }

  /** Whether the machine's last status lists an attempt of the task. */
  #hasEarlierAttempt(task: TaskId, machine: CandidateMachine): boolean {
    return this.state.sessions.get(machine.id)?.tasks.has(task) === true;
  }

  /**
   * Returns the machine with a reservation for the task, if the task may run there and fits now,
   * and removes the reservation. Otherwise returns null and keeps the reservation.
   */
  #claimReservation(task: TaskId, placement: JobPlacement): CandidateMachine | null {
    const { spec } = placement.queued.job;
    const reservation = this.state.reservations.get(task);
    const machine =
      reservation === undefined ? undefined : this.candidates.get(reservation.machine);
    if (machine === undefined || !isPermitted(spec, machine, placement.zones)) return null;
    // The used resources of the machine include the reservation itself.
    const usedByOthers = subtract(machine.usedResources, spec.resources);
    if (!fitsRemainingCapacity(spec.resources, usedByOthers, machine.capacity)) return null;
    machine.usedResources = usedByOthers;
    this.state.reservations.delete(task);
    return machine;
  }
}
