/**
 * The placement phase of a round in one shard, with the steps queue, filter, score and reserve.
 * Decides which waiting tasks start on which machines, and requests preemption if no machine has
 * free capacity for a task.
 *
 * Owns the placement state of one round: the candidate machines and the resources that each team
 * uses. A task starts only if its team stays within its limit in this shard. The start command is
 * sent only after the round is committed.
 */
import { type JobId, type MachineId, type Revision, type TeamName, taskId } from "@umberfold/ids";
import type { Team } from "../../config/settings.js";
import type { Resources } from "../../protocol/jobs.js";
import type { CandidateMachine } from "../../scheduling/placement.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, NO_RESOURCES, scale, subtract } from "../../scheduling/resources.js";
import { rangesMissing } from "../../storage/ranges.js";
import { type LiveJob, type OpenAttempt, waitingTaskCount } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { candidateMachines } from "./candidate-machines.js";
import { fairQueue, type QueueStep } from "./fair-queue.js";
import { type JobPlacement, MachineChooser } from "./machine-choice.js";
import { placementQueue, waitingJobs } from "./placement-queue.js";
import { PreemptionPhase } from "./preemption-phase.js";
import type { ShardRound } from "./shard-round.js";

/** Places the waiting tasks of one shard in one round. */
export class PlacementPhase {
  readonly #candidates: Map<MachineId, CandidateMachine>;
  readonly #withinGuarantee: ReadonlySet<JobId>;
  readonly #machineChooser: MachineChooser;
  /** The teams, with their limits and guarantees in this shard. */
  readonly #teams: ReadonlyMap<TeamName, Team>;

  /** @param changedMachines machines whose records this round changes; no task starts on them */
  constructor(
    private readonly state: ShardState,
    private readonly round: ShardRound,
    changedMachines: ReadonlySet<MachineId>,
  ) {
    const { shard, terminatedByMachine } = round;
    const { index } = state.ctx.replica.shardJobs(shard);
    this.#teams = state.ctx.quotas.teamsForShard(shard);
    this.#candidates = candidateMachines(state, shard, terminatedByMachine, changedMachines);
    this.#withinGuarantee = new Set(index.jobsWithinGuarantee(this.#teams.values()));
    const preemption = new PreemptionPhase(state, round, this.#withinGuarantee, this.#candidates);
    this.#machineChooser = new MachineChooser(state, this.#candidates, preemption);
  }

  /** Whether any task of the shard would be waiting after this round is committed as it is now. */
  static isNeeded(state: ShardState, round: ShardRound): boolean {
    return !waitingJobs(state, round).next().done;
  }

  /** Places the waiting jobs in the order of the queue, until the transaction batch is full. */
  run(): void {
    if (this.#candidates.size === 0) return;
    const { state, round } = this;
    const usedByTeam = this.#usedByTeam();
    const { loadSpread, quotas } = state.ctx;
    const quotaFractionOf = (team: TeamName) => quotas.fractionOf(team, round.shard);
    const queue = placementQueue(state, round, this.#candidates, this.#withinGuarantee);
    const candidates = this.#candidates.values();
    for (const step of fairQueue(
      queue,
      loadSpread?.fairTaskBatches,
      usedByTeam,
      quotaFractionOf,
      candidates,
    ))
      if (!this.#placeJob(step, usedByTeam)) return;
  }

  /** The resources used by each team's open attempts without those that this round terminates. */
  #usedByTeam(): Map<TeamName, Resources> {
    const shardJobs = this.state.ctx.replica.shardJobs(this.round.shard);
    const usedByTeam = shardJobs.index.usedResourcesByTeam();
    for (const [id, draft] of this.round.drafts) {
      const terminated = (shardJobs.jobs.get(id)?.open.length ?? 0) - draft.open.length;
      const { team, resources } = draft.spec;
      const used = usedByTeam.get(team) ?? NO_RESOURCES;
      usedByTeam.set(team, subtract(used, scale(resources, terminated)));
    }
    return usedByTeam;
  }

  /**
   * Starts as many of a job's tasks as the free capacity and the team's limit allow. Returns false
   * if the batch is full.
   */
  #placeJob(step: QueueStep, usedByTeam: Map<TeamName, Resources>): boolean {
    // An earlier step of this round may have started some of the job's tasks.
    const job = this.round.drafts.get(step.id) ?? step.job;
    if (waitingTaskCount(job) === 0) return true;
    const queued: QueuedJob = { ...step, job };
    const team = this.#teams.get(job.spec.team);
    const accepted = this.state.ctx.replica.acceptedJobs.get(step.id);
    if (team === undefined || accepted === undefined) return true;
    const placement = this.#machineChooser.beginJob(queued);
    const { starts } = placement;
    const usedBefore = usedByTeam.get(job.spec.team) ?? NO_RESOURCES;
    const usedAfter = this.#chooseStarts(placement, team, usedBefore, step.maxStarts);
    if (starts.attempts.length === 0) return true;
    const draft = starts.draft();
    if (!this.#writeDraft(step.id, accepted.rev, draft)) {
      starts.undo();
      return false;
    }
    usedByTeam.set(job.spec.team, usedAfter);
    this.#recordStarts(queued, draft, starts.attempts);
    return true;
  }

  /**
   * Chooses machines for a job's waiting tasks and adds the tasks to the machines' used
   * resources.
   *
   * @returns the resources that the team uses with these starts, which are within its limit
   */
  #chooseStarts(
    placement: JobPlacement,
    team: Team,
    usedBefore: Resources,
    maxStarts: number | undefined,
  ): Resources {
    const { starts, zones } = placement;
    const { id, job } = placement.queued;
    const { spec } = job;
    const maxUsage = this.state.ctx.quotas.maxUsageOf(team);
    const openIndexes = new Set(job.open.map((attempt) => attempt.index));
    let used = usedBefore;
    for (const index of rangesMissing(job.done, spec.taskCount, openIndexes)) {
      if (starts.attempts.length === maxStarts) break;
      const usedWithTask = add(used, spec.resources);
      if (usedWithTask.cpus > maxUsage.cpus || usedWithTask.gpus > maxUsage.gpus) break;
      const task = taskId(id, index);
      const outcome = this.#machineChooser.choose(task, placement);
      if (outcome.kind === "no_capacity") break;
      if (outcome.kind === "awaits_reservation") continue;
      const { machine } = outcome;
      this.state.reservations.delete(task);
      if (!starts.tryAdd(index, machine)) break;
      used = usedWithTask;
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    }
    return used;
  }

  /**
   * Adds the job's new record to the batch. Returns false if the batch is full. The write requires
   * the accepted job's revision to be unchanged, so the commit fails if the job was cancelled
   * meanwhile.
   */
  #writeDraft(id: JobId, acceptedRevision: Revision, draft: LiveJob): boolean {
    const { batch, shard, drafts } = this.round;
    const { done, open, nextAttempt } = draft;
    if (!batch.requireUnchangedJob(id, acceptedRevision)) return false;
    if (!batch.putJob(shard, id, { done, open, nextAttempt })) return false;
    drafts.set(id, draft);
    return true;
  }

  /** Counts and logs the starts, and marks their machines for a command call after the commit. */
  #recordStarts(queued: QueuedJob, draft: LiveJob, starts: readonly OpenAttempt[]): void {
    const { state, round } = this;
    const { ctx } = state;
    const { spec } = draft;
    state.counters.starts += starts.length;
    for (const { machine } of starts) round.machinesToCall.add(machine);
    ctx.metrics.record(`start ${spec.jobClass}`, queued.ageS * 1000);
    if (!ctx.log.enabled("debug")) return;
    ctx.log.debug("tasks started", {
      job: queued.id,
      jobClass: spec.jobClass,
      shard: round.shard,
      tasks: spec.taskCount,
      starts: starts.length,
      waiting: waitingTaskCount(draft),
      ageS: Math.round(queued.ageS * 10) / 10,
      runS: Math.round(queued.expectedRunS),
    });
  }
}
