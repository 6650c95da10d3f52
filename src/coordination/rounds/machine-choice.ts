/**
 * The choice of a machine for each task: reserved room first, then the best candidate by bin packing,
 * then a machine on which the job failed before, then preemption.
 *
 * Owns the candidate selectors of one round, each of which is shared by all jobs that are alike for
 * placement. Takes up reservations and requests token raises in the shard's soft state; counting a
 * chosen machine's use is the caller's part.
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
import { fitsBeside, subtract } from "../../scheduling/resources.js";
import type { ShardState } from "../ownership/shard-state.js";
import { type MutableZoneCounts, zoneCounts } from "./candidate-machines.js";
import { JobStarts } from "./job-starts.js";
import type { PreemptionPhase } from "./preemption-phase.js";

/** One job while its tasks are placed. */
export interface JobPlacement {
  /** The job as this round has it by now. */
  readonly queued: QueuedJob;
  /** Its open attempts by zone, those just chosen among them. */
  readonly zones: MutableZoneCounts;
  /** Chooses among the machines on which it has not failed. */
  readonly selector: CandidateSelector;
  /** Machines on which it failed. */
  readonly failedOn: ReadonlySet<MachineId>;
  /** Seconds until its tasks should run for its next objective that can still be met. */
  readonly startSlackS: number;
  /** What was chosen so far. */
  readonly starts: JobStarts;
  /** Its search for room by preemption, once one was needed. */
  search: PreemptionSearch | undefined;
}

/** What becomes of one waiting task in this round. */
export type PlacementOutcome =
  /** It may start on this machine. */
  | { readonly kind: "placed"; readonly machine: CandidateMachine }
  /** It has to wait for room that is reserved for it; the job's other tasks may still start. */
  | { readonly kind: "awaits_reservation" }
  /** There is no room for it, and so for none of the job's other tasks. */
  | { readonly kind: "no_room" };

const AWAITS_RESERVATION: PlacementOutcome = { kind: "awaits_reservation" };
const NO_ROOM: PlacementOutcome = { kind: "no_room" };

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/** Chooses machines for the tasks of one round in one shard. */
export class MachineChoice {
  readonly #selectors = new Map<string, CandidateSelector>();

  constructor(
    private readonly state: ShardState,
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
    private readonly preemption: PreemptionPhase,
  ) {}

  /** Begins to place a job's tasks. */
  begin(queued: QueuedJob): JobPlacement {
    const { state } = this;
    const { job, id } = queued;
    const { spec } = job;
    const failedOn = state.jobBackoffs.get(id)?.failedOn ?? NO_MACHINES;
    const targets = targetsOf(spec, state.ctx.settings.objectives, queued.withinGuarantee);
    return {
      queued,
      zones: zoneCounts(state, job),
      selector: failedOn.size > 0 ? this.#selectorWithout(spec, failedOn) : this.#selector(spec),
      failedOn,
      startSlackS: startSlackS(targets, queued.ageS),
      starts: new JobStarts(job, state.ctx.settings),
      search: undefined,
    };
  }

  /** Finds room for one task, or makes some for a later round. */
  choose(task: TaskId, placement: JobPlacement): PlacementOutcome {
    const { selector, zones, startSlackS: slackS } = placement;
    const preferred = this.#takeReservation(task, placement) ?? selector.choose(zones, slackS);
    if (preferred !== null) {
      if (!this.#hasEarlierAttempt(task, preferred)) return { kind: "placed", machine: preferred };
      // An earlier attempt that ended there and is not forgotten yet: the start would be refused.
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

  /** Jobs that are alike share a selector, with all that it has computed of the machines. */
  #selector(spec: JobSpec): CandidateSelector {
    const key = placementGroupKey(spec);
    const known = this.#selectors.get(key);
    if (known !== undefined) return known;
    const selector = new CandidateSelector(spec, this.candidates.values());
    this.#selectors.set(key, selector);
    return selector;
  }

  #selectorWithout(spec: JobSpec, failedOn: ReadonlySet<MachineId>): CandidateSelector {
    const untried = [...this.candidates.values()].filter((m) => !failedOn.has(m.id));
    return new CandidateSelector(spec, untried);
  }

  /**
   * A machine on which the job failed before is better than none, for one task at a time: a job with
   * a mistake in it fails everywhere, and retrying all of its tasks would occupy the fleet.
   */
  #chooseDespiteFailures(placement: JobPlacement): CandidateMachine | null {
    const { job } = placement.queued;
    if (placement.failedOn.size === 0) return null;
    if (job.open.length + placement.starts.attempts.length > 0) return null;
    return this.#selector(job.spec).choose(placement.zones, placement.startSlackS);
  }

  /** No machine has room: tasks that may be preempted are stopped, and their room is reserved. */
  #preempt(task: TaskId, placement: JobPlacement): PlacementOutcome {
    const { state } = this;
    const { ctx } = state;
    const { queued } = placement;
    if (queued.slackS > ctx.operators.preemptSlackS || ctx.store.isFailing()) return NO_ROOM;
    if (state.reservations.has(task)) return AWAITS_RESERVATION;
    if (this.preemption.exhausted) return NO_ROOM;
    placement.search ??= this.preemption.search(queued, placement.zones, placement.failedOn);
    if (placement.search === undefined) return NO_ROOM;
    const hasRoom = this.preemption.makeRoom(task, queued, placement.search);
    return hasRoom ? AWAITS_RESERVATION : NO_ROOM;
  }

  /**
   * The only machine with room still has an ended attempt of the task that can't be forgotten under
   * the fencing token in force: the token has to rise.
   */
  #requestTokenRaise(machine: CandidateMachine): void {
    const { tokenRaise } = this.state.machineState(machine.id);
    if (!tokenRaise.isPending) this.state.dirtyMachines.add(machine.id);
    tokenRaise.request();
  }

  #hasEarlierAttempt(task: TaskId, machine: CandidateMachine): boolean {
    return this.state.sessions.get(machine.id)?.tasks.has(task) === true;
  }

  /** The machine reserved for a task, if the task fits there by now, with the reservation undone. */
  #takeReservation(task: TaskId, placement: JobPlacement): CandidateMachine | null {
    const { spec } = placement.queued.job;
    const reservation = this.state.reservations.get(task);
    const machine =
      reservation === undefined ? undefined : this.candidates.get(reservation.machine);
    if (machine === undefined || !isPermitted(spec, machine, placement.zones)) return null;
    // The reservation itself is counted in the machine's use.
    const useByOthers = subtract(machine.use, spec.resources);
    if (!fitsBeside(spec.resources, useByOthers, machine.capacity)) return null;
    machine.use = useByOthers;
    this.state.reservations.delete(task);
    return machine;
  }
}
