/**
 * The preemption phase of a round in one shard: if no machine has free capacity for an urgent task,
 * requests stops for running tasks of lower precedence (the victims) and reserves their capacity
 * for the urgent task.
 *
 * Owns the preemption searches of one round and enforces the limits on their number. Changes only
 * the shard's soft state, by stop requests and reservations; later rounds terminate the victims and
 * start the task. `scheduling/preemption.ts` decides which jobs may preempt which.
 */
import type { JobId, MachineId, TaskId } from "@umberfold/ids";
import { type JobSpec, priorityOrder } from "../../protocol/jobs.js";
import { slackS, targetsOf } from "../../scheduling/objectives.js";
import {
  addUsedResources,
  type CandidateMachine,
  hasZoneRules,
  isPermitted,
  placementGroupKey,
  type ZoneCounts,
} from "../../scheduling/placement.js";
import {
  mayPreempt,
  type PreemptionCandidate,
  type PreemptionContext,
  PreemptionSearch,
  type PreemptionSource,
  type Victim,
} from "../../scheduling/preemption.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, fits, subtract } from "../../scheduling/resources.js";
import type { LiveJob } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import { RESERVATION_TIMEOUT_MS } from "./candidate-machines.js";
import type { ShardRound } from "./shard-round.js";

/** The maximum number of tasks for which one round preempts others. */
const MAX_PREEMPTIONS_PER_ROUND = 24;
/** The maximum number of searches in one round; each examines all open attempts of the shard. */
const MAX_SEARCHES_PER_ROUND = 16;

/** Preempts tasks of one shard in one round. */
export class PreemptionPhase {
  #preemptionCount = 0;
  #searchCount = 0;
  /** Cached results of `#slackPenaltyOf` in seconds, by job. */
  readonly #slackPenaltyS = new Map<JobId, number>();
  /**
   * Searches by placement group, priority, team and guarantee. Jobs that agree in all of these
   * share a search, so each continues where the previous job stopped.
   */
  readonly #searches = new Map<string, PreemptionSearch>();

  /**
   * @param withinGuarantee jobs within their teams' guarantees
   * @param candidates the round's candidate machines; each reservation is added to their use
   */
  constructor(
    private readonly state: ShardState,
    private readonly round: ShardRound,
    private readonly withinGuarantee: ReadonlySet<JobId>,
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
  ) {}

  /** Whether this round has preempted for the maximum number of tasks. */
  get isLimitReached(): boolean {
    return this.#preemptionCount >= MAX_PREEMPTIONS_PER_ROUND;
  }

  /**
   * Returns the search for tasks to preempt in favour of a job, or undefined if the job needs a new
   * search and this round has started the maximum number of them.
   */
  searchFor(
    preemptor: QueuedJob,
    zones: ZoneCounts,
    failedOn: ReadonlySet<MachineId>,
  ): PreemptionSearch | undefined {
    const { spec } = preemptor.job;
    const isShareable = !hasZoneRules(spec) && failedOn.size === 0;
    const key = `${placementGroupKey(spec)}|${spec.priority}|${spec.team}|${preemptor.withinGuarantee}`;
    const cached = isShareable ? this.#searches.get(key) : undefined;
    if (cached !== undefined) return cached;
    if (this.#searchCount >= MAX_SEARCHES_PER_ROUND) return undefined;
    this.#searchCount++;
    const sources: PreemptionSource[] = [];
    for (const machine of this.candidates.values())
      if (!failedOn.has(machine.id) && isPermitted(spec, machine, zones))
        sources.push({
          candidate: () => this.#preemptionCandidate(preemptor, machine),
          // Each start and each reservation on the machine replaces its `usedResources` object.
          version: () => machine.usedResources,
        });
    const { preemptMaxLossS } = this.state.ctx.operators;
    const search = new PreemptionSearch(spec.resources, sources, preemptMaxLossS);
    if (isShareable) this.#searches.set(key, search);
    return search;
  }

  /**
   * Requests stops for the tasks whose preemption loses the least work, and reserves their capacity
   * for the task. Returns false if no preemption within the maximum loss makes the task fit.
   */
  tryPreempt(task: TaskId, preemptor: QueuedJob, search: PreemptionSearch): boolean {
    const { state, round } = this;
    const shardJobs = state.ctx.replica.shardJobs(round.shard);
    const plan = search.nextPlan();
    if (plan === null) return false;
    this.#preemptionCount++;
    for (const victim of plan.victims) {
      const attempt = shardJobs.openAttemptsOn(plan.machine).get(victim.task);
      const job = attempt === undefined ? undefined : shardJobs.jobs.get(attempt.job);
      if (attempt === undefined || job === undefined) continue;
      state.requestStop(attempt.key, plan.machine, "preempted", job.spec.checkpointSaveS);
      state.counters.preempted++;
    }
    const machine = this.candidates.get(plan.machine);
    // The victims use their capacity until they are terminated, so the reservation is added to it.
    if (machine !== undefined) addUsedResources(machine, preemptor.job.spec.resources);
    search.markPlanRecorded(plan.machine);
    state.reserve(task, plan.machine, RESERVATION_TIMEOUT_MS);
    round.machinesToCall.add(plan.machine);
    return true;
  }

  /** The properties of a job that decide which jobs it may preempt or be preempted by. */
  #preemptionContext(id: JobId, spec: JobSpec): PreemptionContext {
    const withinGuarantee = this.withinGuarantee.has(id);
    return { priority: priorityOrder(spec.priority), withinGuarantee, team: spec.team };
  }

  /**
   * The free capacity and the possible victims on a machine. Undefined if there are no victims and
   * the job's task doesn't fit into the free capacity either.
   */
  #preemptionCandidate(
    preemptor: QueuedJob,
    machine: CandidateMachine,
  ): PreemptionCandidate | undefined {
    const { state, round } = this;
    const shardJobs = state.ctx.replica.shardJobs(round.shard);
    const context = this.#preemptionContext(preemptor.id, preemptor.job.spec);
    const victims: Victim[] = [];
    let free = subtract(machine.capacity, machine.usedResources);
    for (const [task, attempt] of shardJobs.openAttemptsOn(machine.id)) {
      const job = shardJobs.jobs.get(attempt.job);
      if (job === undefined) continue;
      const attemptState = state.attemptStates.get(attempt.key);
      const { resources, checkpointSaveS } = job.spec;
      // The attempt is stopping already. Its capacity can be reserved, although no task can start
      // in it yet. If this round terminates the attempt, the machine's use doesn't include it any
      // more.
      if (job.cancelledAt !== null || attemptState?.stopRequest != null) {
        if (round.terminatedByMachine.get(machine.id)?.has(task) !== true)
          free = add(free, resources);
        continue;
      }
      if (!mayPreempt(context, this.#preemptionContext(attempt.job, job.spec))) continue;
      const lostWorkS =
        state.lostWorkS(job, attemptState, round.now) +
        checkpointSaveS +
        this.#slackPenaltyOf(attempt.job, job);
      victims.push({ task, resources, lostWorkS });
    }
    if (victims.length === 0 && !fits(preemptor.job.spec.resources, free)) return undefined;
    return { id: machine.id, free, victims };
  }

  /**
   * The seconds that are added to the loss of stopping a job's task: the less slack the job has
   * until its own next target, the more. Without this penalty the same jobs' recently started tasks
   * would be preempted repeatedly, because each loses little work, until their jobs miss their
   * targets.
   */
  #slackPenaltyOf(id: JobId, job: LiveJob): number {
    const cached = this.#slackPenaltyS.get(id);
    if (cached !== undefined) return cached;
    const { operators, settings } = this.state.ctx;
    const targets = targetsOf(job.spec, settings.objectives, this.withinGuarantee.has(id));
    const ageS = (wallClockNow() - job.acceptedAt) / 1000;
    const jobSlackS = slackS(targets, ageS, this.state.expectedRunS(job.spec));
    const penaltyS = Math.max(0, operators.protectedSlackS - jobSlackS);
    this.#slackPenaltyS.set(id, penaltyS);
    return penaltyS;
  }
}
