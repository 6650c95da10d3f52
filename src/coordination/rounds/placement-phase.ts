import {
  type AttemptNo,
  attemptNo,
  type JobId,
  type MachineId,
  type Revision,
  type TaskId,
  type TeamName,
  taskId,
} from "@umberfold/ids";
import type { Team } from "../../config/settings.js";
import type { JobSpec, Resources } from "../../protocol/jobs.js";
import { hurryS, targetsOf } from "../../scheduling/objectives.js";
import {
  occupy,
  type Place,
  PlaceSelector,
  permitted,
  placementGroup,
} from "../../scheduling/placement.js";
import type { PreemptionSearch } from "../../scheduling/preemption.js";
import { type Queued, queueOrder, type Waiting } from "../../scheduling/queue-order.js";
import { fitsBeside, minus, NOTHING, plus, times } from "../../scheduling/resources.js";
import { machineNameBytes, openBytes, progressBytes } from "../../storage/pages.js";
import { rangesMissing } from "../../storage/ranges.js";
import { type LiveJob, type OpenAttempt, waitingCount } from "../../storage/records.js";
import { pageLimit } from "../../storage/transaction-batch.js";
import { timeOfDay } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./attempt-termination.js";
import { placesOf, zoneCounts } from "./candidate-machines.js";
import { fairQueue, type QueueStep } from "./fair-queue.js";
import { PreemptionRound } from "./preemption-phase.js";

/** How much of a page the open attempts of one job may fill. */
const PAGE_PART = 0.9;

/** One job's turn in a round. */
interface Turn {
  readonly queued: Queued;
  readonly zones: Map<string, number>;
  /** Machines on which it has not failed; all of them where it failed nowhere. */
  readonly selector: PlaceSelector;
  readonly failedOn: ReadonlySet<MachineId>;
  /** Seconds until its tasks should run for its next objective that can still be met. */
  readonly hurryS: number;
  readonly starts: OpenAttempt[];
  search: PreemptionSearch | undefined;
}

/** Where one task goes: a machine, nowhere for now, or nowhere and neither do the job's others. */
type Outcome =
  | { readonly kind: "placed"; readonly place: Place }
  | { readonly kind: "wait" }
  | { readonly kind: "stop" };

const WAIT: Outcome = { kind: "wait" };
const STOP: Outcome = { kind: "stop" };

const NO_FAILURES: ReadonlySet<MachineId> = new Set();

/** One shard's waiting work laid over its machines: starts, and stops that make room for them. */
export class PlacementRound {
  readonly #places: Map<MachineId, Place>;
  readonly #withinGuarantee: ReadonlySet<JobId>;
  readonly #preemption: PreemptionRound;
  readonly #selectors = new Map<string, PlaceSelector>();
  readonly #cached = new Map<string, boolean>();
  /** Teams with the limits and guarantees that hold for this shard. */
  readonly #teams: ReadonlyMap<TeamName, Team>;

  constructor(
    private readonly owned: ShardState,
    private readonly round: ShardRound,
    edited: ReadonlySet<MachineId>,
  ) {
    const { index } = owned.ctx.replica.work(round.shard);
    this.#teams = owned.ctx.quotas.teamsOf(round.shard);
    this.#places = placesOf(owned, round.shard, round.closed, edited);
    this.#withinGuarantee = new Set(index.withinGuarantee(this.#teams.values()));
    this.#preemption = new PreemptionRound(owned, round, this.#withinGuarantee, this.#places);
  }

  /** Whether any task of the shard waits once this round is written. */
  static needed(owned: ShardState, round: ShardRound): boolean {
    return !waitingJobs(owned, round).next().done;
  }

  run(): void {
    if (this.#places.size === 0) return;
    const use = this.#teamUse();
    const { loadSpread, quotas } = this.owned.ctx;
    const partOf = (team: TeamName) => quotas.partOf(team, this.round.shard);
    const places = this.#places.values();
    for (const step of fairQueue(this.#queue(), loadSpread?.fairTurns, use, partOf, places))
      if (!this.#placeJob(step, use)) return;
  }

  #queue(): readonly Queued[] {
    const { owned, round } = this;
    const { replica, settings, operators } = owned.ctx;
    const at = timeOfDay();
    const rates = (replica.types?.value ?? []).map((t) => t.fetchGbPerS);
    const rate = rates.reduce((sum, r) => sum + r, 0) / Math.max(1, rates.length);
    const waiting: Waiting[] = [];
    for (const [id, job] of waitingJobs(owned, round)) {
      if ((owned.jobs.get(id)?.notBefore ?? 0) > round.now) continue;
      const { image, imageGb } = job.spec;
      waiting.push({
        id,
        job,
        ageS: (at - job.acceptedAt) / 1000,
        leadS: rate > 0 && !this.#mostlyCached(image) ? imageGb / rate : 0,
        runS: owned.runS(job.spec),
        withinGuarantee: this.#withinGuarantee.has(id),
      });
    }
    return queueOrder(waiting, settings.objectives, operators.overdueS);
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
    const work = this.owned.ctx.replica.work(this.round.shard);
    const use = work.index.openUse();
    for (const [id, draft] of this.round.drafts) {
      const closed = (work.jobs.get(id)?.open.length ?? 0) - draft.open.length;
      const { team, needs } = draft.spec;
      use.set(team, minus(use.get(team) ?? NOTHING, times(needs, closed)));
    }
    return use;
  }

  #turn(queued: Queued): Turn {
    const { owned } = this;
    const { job, id } = queued;
    const { spec } = job;
    const failedOn = owned.jobs.get(id)?.failedOn ?? NO_FAILURES;
    const targets = targetsOf(spec, owned.ctx.settings.objectives, queued.withinGuarantee);
    return {
      queued,
      zones: zoneCounts(owned, job),
      selector: failedOn.size > 0 ? this.#selectorWithout(spec, failedOn) : this.#selector(spec),
      failedOn,
      hurryS: hurryS(targets, queued.ageS),
      starts: [],
      search: undefined,
    };
  }

  /** Jobs that are alike have one together, with all that it has worked out of the machines. */
  #selector(spec: JobSpec): PlaceSelector {
    const key = placementGroup(spec);
    const known = this.#selectors.get(key);
    if (known !== undefined) return known;
    const selector = new PlaceSelector(spec, this.#places.values());
    this.#selectors.set(key, selector);
    return selector;
  }

  #selectorWithout(spec: JobSpec, failedOn: ReadonlySet<MachineId>): PlaceSelector {
    const places = [...this.#places.values()].filter((p) => !failedOn.has(p.id));
    return new PlaceSelector(spec, places);
  }

  /** False if the batch is full. */
  #placeJob(step: QueueStep, use: Map<TeamName, Resources>): boolean {
    const { ctx } = this.owned;
    const { id } = step;
    // It may have had a turn in this round already.
    const job = this.round.drafts.get(id) ?? step.job;
    if (waitingCount(job) === 0) return true;
    const queued: Queued = { ...step, job };
    const { spec } = job;
    const team = this.#teams.get(spec.team);
    const accepted = ctx.replica.accepted.get(id);
    if (team === undefined || accepted === undefined) return true;
    const turn = this.#turn(queued);
    const most = ctx.quotas.mostOf(team);
    const taken = new Set(job.open.map((o) => o.index));
    const mostBytes = pageLimit({ ...ctx.settings.state, size: ctx.settings.size }) * PAGE_PART;
    const named = new Set(job.open.map((o) => o.machine));
    let bytes = progressBytes(job);
    let next = job.nextAttempt;
    let used = use.get(spec.team) ?? NOTHING;
    const undo: (() => void)[] = [];
    for (const index of rangesMissing(job.done, spec.tasks, taken)) {
      if (turn.starts.length === step.mostStarts) break;
      const after = plus(used, spec.needs);
      if (after.cpus > most.cpus || after.gpus > most.gpus) break;
      const task = taskId(id, index);
      const outcome = this.#placeTask(task, turn);
      if (outcome.kind === "stop") break;
      if (outcome.kind === "wait") continue;
      const { place } = outcome;
      this.owned.incoming.delete(task);
      const attempt: AttemptNo = attemptNo(next);
      bytes += openBytes({ index, attempt });
      if (!named.has(place.id)) bytes += machineNameBytes(place.id);
      // An array whose open attempts fill a page runs in parts.
      if (bytes > mostBytes) break;
      next++;
      named.add(place.id);
      turn.starts.push({ index, attempt, machine: place.id });
      used = after;
      const before = { use: place.use, least: place.least };
      undo.push(() => Object.assign(place, before));
      occupy(place, spec.needs);
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
  #placeDespiteFailures(turn: Turn): Place | null {
    const { job } = turn.queued;
    if (turn.failedOn.size === 0 || job.open.length + turn.starts.length > 0) return null;
    return this.#selector(job.spec).choose(turn.zones, turn.hurryS);
  }

  /** No machine has room: what may be stopped for the task is, and the room kept for it. */
  #makeRoom(task: TaskId, turn: Turn): Outcome {
    const { owned } = this;
    const { ctx } = owned;
    const { queued } = turn;
    if (queued.slack > ctx.operators.preemptSlackS || ctx.store.failing()) return STOP;
    if (owned.incoming.has(task)) return WAIT;
    if (this.#preemption.exhausted) return STOP;
    turn.search ??= this.#preemption.search(queued, turn.zones, turn.failedOn);
    if (turn.search === undefined) return STOP;
    return this.#preemption.make(task, queued, turn.search) ? WAIT : STOP;
  }

  /** The only place is held up by an exit that is kept: the machine's token must rise for it. */
  #raiseToken(place: Place): void {
    const note = this.owned.note(place.id);
    if (!note.wantsBump) this.owned.disturbed.add(place.id);
    note.wantsBump = true;
  }

  #lingers(task: TaskId, place: Place): boolean {
    return this.owned.sessions.get(place.id)?.tasks.has(task) === true;
  }

  /** The place kept for a task, if it fits there by now; its own keeping is no obstacle. */
  #reservedPlace(task: TaskId, turn: Turn): Place | null {
    const { spec } = turn.queued.job;
    const reservation = this.owned.incoming.get(task);
    const place = reservation === undefined ? undefined : this.#places.get(reservation.to);
    if (place === undefined || !permitted(spec, place, turn.zones)) return null;
    const without = minus(place.use, spec.needs);
    if (!fitsBeside(spec.needs, without, place.capacity)) return null;
    place.use = without;
    this.owned.incoming.delete(task);
    return place;
  }

  #noteStarts(queued: Queued, draft: LiveJob, starts: readonly OpenAttempt[]): void {
    const { owned, round } = this;
    const { ctx } = owned;
    const { spec } = draft;
    owned.counters.starts += starts.length;
    for (const o of starts) round.call.add(o.machine);
    ctx.metrics.record(`start ${spec.jobClass}`, queued.ageS * 1000);
    if (!ctx.log.enabled("debug")) return;
    ctx.log.debug("starts", {
      job: queued.id,
      jobClass: spec.jobClass,
      shard: round.shard,
      tasks: spec.tasks,
      starts: starts.length,
      waiting: waitingCount(draft),
      ageS: Math.round(queued.ageS * 10) / 10,
      runS: Math.round(queued.runS),
    });
  }
}

/** Jobs of the shard with tasks that wait, as this round writes them. */
function* waitingJobs(
  owned: ShardState,
  round: ShardRound,
): Generator<readonly [JobId, LiveJob], void> {
  const { waiting } = owned.ctx.replica.work(round.shard).index;
  for (const [id, job] of waiting) if (!round.drafts.has(id)) yield [id, job];
  for (const [id, job] of round.drafts) if (waitingCount(job) > 0) yield [id, job];
}
