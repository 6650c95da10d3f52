/**
 * The preemption phase of a round in one shard: where no machine has room for an urgent task, running
 * tasks of lower standing are stopped and their room is reserved for it.
 *
 * Owns the searches of one round and their limits. It requests stops and makes reservations in the
 * shard's soft state; the victims are terminated, and the task started, by later rounds. Who may
 * preempt whom is decided in `scheduling/preemption.ts`.
 */
import type { JobId, MachineId, TaskId } from "@umberfold/ids";
import { type JobSpec, priorityOrder } from "../../protocol/jobs.js";
import { slackS, targetsOf } from "../../scheduling/objectives.js";
import {
  addUse,
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
import { RESERVATION_MS } from "./candidate-machines.js";
import type { ShardRound } from "./shard-round.js";

/** Tasks that one round makes room for. */
const MAX_PREEMPTIONS_PER_ROUND = 24;
/** Searches that one round begins: each looks at all open attempts of the shard. */
const MAX_SEARCHES_PER_ROUND = 16;

/** Preemption within one round of one shard. */
export class PreemptionPhase {
  #preemptions = 0;
  #searchesBegun = 0;
  /** What stopping a job's tasks costs beyond the work they lose, in seconds: computed once a job. */
  readonly #surchargeS = new Map<JobId, number>();
  /** Searches by group: jobs that are alike continue where the previous one stopped. */
  readonly #searches = new Map<string, PreemptionSearch>();

  /**
   * @param withinGuarantee jobs that their teams' guarantees cover
   * @param candidates the round's candidate machines; their use rises with each reservation
   */
  constructor(
    private readonly state: ShardState,
    private readonly round: ShardRound,
    private readonly withinGuarantee: ReadonlySet<JobId>,
    private readonly candidates: ReadonlyMap<MachineId, CandidateMachine>,
  ) {}

  /** Whether this round has reached its limit of preemptions. */
  get exhausted(): boolean {
    return this.#preemptions >= MAX_PREEMPTIONS_PER_ROUND;
  }

  /** A search for room for a job's tasks; undefined if this round may not begin another one. */
  search(
    preemptor: QueuedJob,
    zones: ZoneCounts,
    failedOn: ReadonlySet<MachineId>,
  ): PreemptionSearch | undefined {
    const { spec } = preemptor.job;
    const isShared = !hasZoneRules(spec) && failedOn.size === 0;
    const group = `${placementGroupKey(spec)}|${spec.priority}|${spec.team}|${preemptor.withinGuarantee}`;
    const known = isShared ? this.#searches.get(group) : undefined;
    if (known !== undefined) return known;
    if (this.#searchesBegun >= MAX_SEARCHES_PER_ROUND) return undefined;
    this.#searchesBegun++;
    const sources: PreemptionSource[] = [];
    for (const machine of this.candidates.values())
      if (!failedOn.has(machine.id) && isPermitted(spec, machine, zones))
        sources.push({
          candidate: () => this.#preemptionCandidate(preemptor, machine),
          // Each start and each reservation on the machine replaces its use.
          version: () => machine.use,
        });
    const { preemptMaxLossS } = this.state.ctx.operators;
    const search = new PreemptionSearch(spec.resources, sources, preemptMaxLossS);
    if (isShared) this.#searches.set(group, search);
    return search;
  }

  /**
   * Makes room for a task where stopping loses the least, and reserves it. Returns false if no room
   * can be made.
   */
  makeRoom(task: TaskId, preemptor: QueuedJob, search: PreemptionSearch): boolean {
    const { state, round } = this;
    const shardJobs = state.ctx.replica.shardJobs(round.shard);
    const plan = search.take();
    if (plan === null) return false;
    this.#preemptions++;
    for (const victim of plan.victims) {
      const attempt = shardJobs.openAttemptsOn(plan.machine).get(victim.task);
      const job = attempt === undefined ? undefined : shardJobs.jobs.get(attempt.job);
      if (attempt === undefined || job === undefined) continue;
      state.requestStop(attempt.key, plan.machine, "preempted", job.spec.checkpointSaveS);
      state.counters.preempted++;
    }
    const machine = this.candidates.get(plan.machine);
    // The victims' room is not free until they are gone: the new task's demand is added to theirs.
    if (machine !== undefined) addUse(machine, preemptor.job.spec.resources);
    search.noted(plan.machine);
    state.reserve(task, plan.machine, RESERVATION_MS);
    round.machinesToCall.add(plan.machine);
    return true;
  }

  #preemptionContext(id: JobId, spec: JobSpec): PreemptionContext {
    const withinGuarantee = this.withinGuarantee.has(id);
    return { priority: priorityOrder(spec.priority), withinGuarantee, team: spec.team };
  }

  /** What could be freed on a machine for this job; undefined if the job would not fit even so. */
  #preemptionCandidate(
    preemptor: QueuedJob,
    machine: CandidateMachine,
  ): PreemptionCandidate | undefined {
    const { state, round } = this;
    const shardJobs = state.ctx.replica.shardJobs(round.shard);
    const context = this.#preemptionContext(preemptor.id, preemptor.job.spec);
    const victims: Victim[] = [];
    let free = subtract(machine.capacity, machine.use);
    for (const [task, attempt] of shardJobs.openAttemptsOn(machine.id)) {
      const job = shardJobs.jobs.get(attempt.job);
      if (job === undefined) continue;
      const attemptState = state.attemptStates.get(attempt.key);
      const { resources, checkpointSaveS } = job.spec;
      // It is stopping already: its room may be reserved, but nothing can be started in it yet.
      if (job.cancelledAt !== null || attemptState?.stopRequest != null) {
        if (round.terminatedByMachine.get(machine.id)?.has(task) !== true)
          free = add(free, resources);
        continue;
      }
      if (!mayPreempt(context, this.#preemptionContext(attempt.job, job.spec))) continue;
      const lossS =
        state.lossS(job, attemptState, round.now) +
        checkpointSaveS +
        this.#surchargeOf(attempt.job, job);
      victims.push({ task, resources, lossS });
    }
    if (victims.length === 0 && !fits(preemptor.job.spec.resources, free)) return undefined;
    return { id: machine.id, free, victims };
  }

  /**
   * The nearer a victim's own objective, the higher its surcharge: otherwise the same young tasks of
   * the same jobs are stopped again and again, each time at little loss, until their job is late.
   */
  #surchargeOf(id: JobId, job: LiveJob): number {
    const known = this.#surchargeS.get(id);
    if (known !== undefined) return known;
    const { operators, settings } = this.state.ctx;
    const targets = targetsOf(job.spec, settings.objectives, this.withinGuarantee.has(id));
    const ageS = (wallClockNow() - job.acceptedAt) / 1000;
    const jobSlackS = slackS(targets, ageS, this.state.expectedRunS(job.spec));
    const surchargeS = Math.max(0, operators.spareSlackS - jobSlackS);
    this.#surchargeS.set(id, surchargeS);
    return surchargeS;
  }
}
