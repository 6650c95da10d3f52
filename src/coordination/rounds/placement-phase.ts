import {
  type AttemptNumber,
  attemptNumber,
  type JobId,
  type MachineId,
  type Revision,
  type TaskId,
  type TeamName,
  taskId,
} from "@umberfold/ids";
import type { Team } from "../../config/settings.js";
import type { JobSpec, Resources } from "../../protocol/jobs.js";
import { startSlackS, targetsOf } from "../../scheduling/objectives.js";
import {
  addUse,
  type CandidateMachine,
  CandidateSelector,
  isPermitted,
  placementGroupKey,
} from "../../scheduling/placement.js";
import type { PreemptionSearch } from "../../scheduling/preemption.js";
import { orderQueue, type QueuedJob, type WaitingJob } from "../../scheduling/queue-order.js";
import { add, fitsBeside, NO_RESOURCES, scale, subtract } from "../../scheduling/resources.js";
import { machineNameBytes, openAttemptBytes, progressBytes } from "../../storage/pages.js";
import { rangesMissing } from "../../storage/ranges.js";
import { type LiveJob, type OpenAttempt, waitingTaskCount } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./attempt-termination.js";
import { candidateMachines, zoneCounts } from "./candidate-machines.js";
import { fairQueue, type QueueStep } from "./fair-queue.js";
import { PreemptionPhase } from "./preemption-phase.js";

/** How much of a page the open attempts of one job may fill. */
const PAGE_PART = 0.9;

/** One job's turn in a round. */
interface Turn {
  readonly queued: QueuedJob;
  readonly zones: Map<string, number>;
  /** Machines on which it has not failed; all of them where it failed nowhere. */
  readonly selector: CandidateSelector;
  readonly failedOn: ReadonlySet<MachineId>;
  /** Seconds until its tasks should run for its next objective that can still be met. */
  readonly hurryS: number;
  readonly starts: OpenAttempt[];
  search: PreemptionSearch | undefined;
}

/** Where one task goes: a machine, nowhere for now, or nowhere and neither do the job's others. */
type Outcome =
  | { readonly kind: "placed"; readonly place: CandidateMachine }
  | { readonly kind: "wait" }
  | { readonly kind: "stop" };

const WAIT: Outcome = { kind: "wait" };
const STOP: Outcome = { kind: "stop" };

const NO_FAILURES: ReadonlySet<MachineId> = new Set();

/** One shard's waiting work laid over its machines: starts, and stops that make room for them. */
export class PlacementPhase {
  readonly #places: Map<MachineId, CandidateMachine>;
  readonly #withinGuarantee: ReadonlySet<JobId>;
  readonly #preemption: PreemptionPhase;
  readonly #selectors = new Map<string, CandidateSelector>();
  readonly #cached = new Map<string, boolean>();
  /** Teams with the limits and guarantees that hold for this shard. */
  readonly #teams: ReadonlyMap<TeamName, Team>;

  constructor(
    private readonly owned: ShardState,
    private readonly round: ShardRound,
    edited: ReadonlySet<MachineId>,
  ) {
    const { index } = owned.ctx.replica.shardJobs(round.shard);
    this.#teams = owned.ctx.quotas.teamsIn(round.shard);
    this.#places = candidateMachines(owned, round.shard, round.terminatedByMachine, edited);
    this.#withinGuarantee = new Set(index.withinGuarantee(this.#teams.values()));
    this.#preemption = new PreemptionPhase(owned, round, this.#withinGuarantee, this.#places);
  }

  /** Whether any task of the shard waits once this round is written. */
  static needed(owned: ShardState, round: ShardRound): boolean {
    return !waitingJobs(owned, round).next().done;
  }

  run(): void {
    if (this.#places.size === 0) return;
    const use = this.#teamUse();
    const { loadSpread, quotas } = this.owned.ctx;
    const partOf = (team: TeamName) => quotas.fractionOf(team, this.round.shard);
    const places = this.#places.values();
    for (const step of fairQueue(this.#queue(), loadSpread?.fairTurns, use, partOf, places))
      if (!this.#placeJob(step, use)) return;
  }

  #queue(): readonly QueuedJob[] {
    const { owned, round } = this;
    const { replica, settings, operators } = owned.ctx;
    const at = wallClockNow();
    const rates = (replica.machineTypes?.value ?? []).map((t) => t.fetchGbPerS);
    const rate = rates.reduce((sum, r) => sum + r, 0) / Math.max(1, rates.length);
    const waiting: WaitingJob[] = [];
    for (const [id, job] of waitingJobs(owned, round)) {
      if ((owned.jobBackoffs.get(id)?.retryAt ?? 0) > round.now) continue;
      const { image, imageGb } = job.spec;
      waiting.push({
        id,
        job,
        ageS: (at - job.acceptedAt) / 1000,
        imageFetchS: rate > 0 && !this.#mostlyCached(image) ? imageGb / rate : 0,
        expectedRunS: owned.expectedRunS(job.spec),
        withinGuarantee: this.#withinGuarantee.has(id),
      });
    }
    return orderQueue(waiting, settings.objectives, operators.overdueS);
  }

  /** Whether most machines of the shard hold the image, so that no fetch need be reckoned with. */
  #mostlyCached(image: string): boolean {
    const known = this.#cached.get(image);
    if (known !== undefined) return known;
    let owners = 0;
    for (const place of this.#places.values()) if (place.images.has(image)) owners++;
    const cached = 2 * owners > this.#places.size;
    this.#cached.set(image, cached);
    return cached;
  }

  /** What each team's open attempts take once the closings of this round are written. */
  #teamUse(): Map<TeamName, Resources> {
    const work = this.owned.ctx.replica.shardJobs(this.round.shard);
    const use = work.index.teamUse();
    for (const [id, draft] of this.round.drafts) {
      const closed = (work.jobs.get(id)?.open.length ?? 0) - draft.open.length;
      const { team, resources } = draft.spec;
      use.set(team, subtract(use.get(team) ?? NO_RESOURCES, scale(resources, closed)));
    }
    return use;
  }

  #turn(queued: QueuedJob): Turn {
    const { owned } = this;
    const { job, id } = queued;
    const { spec } = job;
    const failedOn = owned.jobBackoffs.get(id)?.failedOn ?? NO_FAILURES;
    const targets = targetsOf(spec, owned.ctx.settings.objectives, queued.withinGuarantee);
    return {
      queued,
      zones: zoneCounts(owned, job),
      selector: failedOn.size > 0 ? this.#selectorWithout(spec, failedOn) : this.#selector(spec),
      failedOn,
      hurryS: startSlackS(targets, queued.ageS),
      starts: [],
      search: undefined,
    };
  }

  /** Jobs that are alike have one together, with all that it has worked out of the machines. */
  #selector(spec: JobSpec): CandidateSelector {
    const key = placementGroupKey(spec);
    const known = this.#selectors.get(key);
    if (known !== undefined) return known;
    const selector = new CandidateSelector(spec, this.#places.values());
    this.#selectors.set(key, selector);
    return selector;
  }

  #selectorWithout(spec: JobSpec, failedOn: ReadonlySet<MachineId>): CandidateSelector {
    const places = [...this.#places.values()].filter((p) => !failedOn.has(p.id));
    return new CandidateSelector(spec, places);
  }

  /** False if the batch is full. */
  #placeJob(step: QueueStep, use: Map<TeamName, Resources>): boolean {
    const { ctx } = this.owned;
    const { id } = step;
    // It may have had a turn in this round already.
    const job = this.round.drafts.get(id) ?? step.job;
    if (waitingTaskCount(job) === 0) return true;
    const queued: QueuedJob = { ...step, job };
    const { spec } = job;
    const team = this.#teams.get(spec.team);
    const accepted = ctx.replica.accepted.get(id);
    if (team === undefined || accepted === undefined) return true;
    const turn = this.#turn(queued);
    const most = ctx.quotas.maxUseOf(team);
    const taken = new Set(job.open.map((o) => o.index));
    const mostBytes =
      maxPageBytes({ ...ctx.settings.state, shardCount: ctx.settings.shardCount }) * PAGE_PART;
    const named = new Set(job.open.map((o) => o.machine));
    let bytes = progressBytes(job);
    let next = job.nextAttempt;
    let used = use.get(spec.team) ?? NO_RESOURCES;
    const undo: (() => void)[] = [];
    for (const index of rangesMissing(job.done, spec.taskCount, taken)) {
      if (turn.starts.length === step.mostStarts) break;
      const after = add(used, spec.resources);
      if (after.cpus > most.cpus || after.gpus > most.gpus) break;
      const task = taskId(id, index);
      const outcome = this.#placeTask(task, turn);
      if (outcome.kind === "stop") break;
      if (outcome.kind === "wait") continue;
      const { place } = outcome;
      this.owned.reservations.delete(task);
      const attempt: AttemptNumber = attemptNumber(next);
      bytes += openAttemptBytes({ index, attempt });
      if (!named.has(place.id)) bytes += machineNameBytes(place.id);
      // An array whose open attempts fill a page runs in parts.
      if (bytes > mostBytes) break;
      next++;
      named.add(place.id);
      turn.starts.push({ index, attempt, machine: place.id });
      used = after;
      const before = { use: place.use, least: place.smallestDemand };
      undo.push(() => Object.assign(place, before));
      addUse(place, spec.resources);
      turn.zones.set(place.zone, (turn.zones.get(place.zone) ?? 0) + 1);
    }
    if (turn.starts.length === 0) return true;
    const draft: LiveJob = { ...job, open: [...job.open, ...turn.starts], nextAttempt: next };
    if (!this.#write(id, accepted.rev, draft)) {
      for (const restore of undo.reverse()) restore();
      return false;
    }
    use.set(spec.team, used);
    this.#noteStarts(queued, draft, turn.starts);
    return true;
  }

  /** False if the batch is full. A cancel that comes first must win. */
  #write(id: JobId, rev: Revision, draft: LiveJob): boolean {
    const { batch, shard, drafts } = this.round;
    const { done, open, nextAttempt } = draft;
    if (!batch.requireJob(id, rev)) return false;
    if (!batch.putJob(shard, id, { done, open, nextAttempt })) return false;
    drafts.set(id, draft);
    return true;
  }

  #placeTask(task: TaskId, turn: Turn): Outcome {
    const first = this.#reservedPlace(task, turn) ?? turn.selector.choose(turn.zones, turn.hurryS);
    if (first !== null) {
      if (!this.#lingers(task, first)) return { kind: "placed", place: first };
      // An earlier attempt of it, exited there and not forgotten yet: the start would be refused.
      const other = turn.selector.choose(turn.zones, turn.hurryS, (p) => this.#lingers(task, p));
      if (other !== null) return { kind: "placed", place: other };
      this.#raiseToken(first);
    }
    const again = this.#placeDespiteFailures(turn);
    if (again === null) return this.#makeRoom(task, turn);
    if (!this.#lingers(task, again)) return { kind: "placed", place: again };
    this.#raiseToken(again);
    return this.#makeRoom(task, turn);
  }

  /**
   * Where it failed before is better than nowhere, for one task at a time: a job with a mistake in
   * it fails everywhere, and all of its tasks again and again would take the fleet.
   */
  #placeDespiteFailures(turn: Turn): CandidateMachine | null {
    const { job } = turn.queued;
    if (turn.failedOn.size === 0 || job.open.length + turn.starts.length > 0) return null;
    return this.#selector(job.spec).choose(turn.zones, turn.hurryS);
  }

  /** No machine has room: what may be stopped for the task is, and the room kept for it. */
  #makeRoom(task: TaskId, turn: Turn): Outcome {
    const { owned } = this;
    const { ctx } = owned;
    const { queued } = turn;
    if (queued.slackS > ctx.operators.preemptSlackS || ctx.store.isFailing()) return STOP;
    if (owned.reservations.has(task)) return WAIT;
    if (this.#preemption.exhausted) return STOP;
    turn.search ??= this.#preemption.search(queued, turn.zones, turn.failedOn);
    if (turn.search === undefined) return STOP;
    return this.#preemption.make(task, queued, turn.search) ? WAIT : STOP;
  }

  /** The only place is held up by an exit that is kept: the machine's token must rise for it. */
  #raiseToken(place: CandidateMachine): void {
    const note = this.owned.machineState(place.id);
    if (!note.tokenRaise.pending) this.owned.dirtyMachines.add(place.id);
    note.tokenRaise.request();
  }

  #lingers(task: TaskId, place: CandidateMachine): boolean {
    return this.owned.sessions.get(place.id)?.tasks.has(task) === true;
  }

  /** The place kept for a task, if it fits there by now; its own keeping is no obstacle. */
  #reservedPlace(task: TaskId, turn: Turn): CandidateMachine | null {
    const { spec } = turn.queued.job;
    const reservation = this.owned.reservations.get(task);
    const place = reservation === undefined ? undefined : this.#places.get(reservation.to);
    if (place === undefined || !isPermitted(spec, place, turn.zones)) return null;
    const without = subtract(place.use, spec.resources);
    if (!fitsBeside(spec.resources, without, place.capacity)) return null;
    place.use = without;
    this.owned.reservations.delete(task);
    return place;
  }

  #noteStarts(queued: QueuedJob, draft: LiveJob, starts: readonly OpenAttempt[]): void {
    const { owned, round } = this;
    const { ctx } = owned;
    const { spec } = draft;
    owned.counters.starts += starts.length;
    for (const o of starts) round.machinesToCall.add(o.machine);
    ctx.metrics.record(`start ${spec.jobClass}`, queued.ageS * 1000);
    if (!ctx.log.enabled("debug")) return;
    ctx.log.debug("starts", {
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

/** Jobs of the shard with tasks that wait, as this round writes them. */
function* waitingJobs(
  owned: ShardState,
  round: ShardRound,
): Generator<readonly [JobId, LiveJob], void> {
  const { waiting } = owned.ctx.replica.shardJobs(round.shard).index;
  for (const [id, job] of waiting) if (!round.drafts.has(id)) yield [id, job];
  for (const [id, job] of round.drafts) if (waitingTaskCount(job) > 0) yield [id, job];
}
