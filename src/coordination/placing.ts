import {
  type AttemptNo,
  attemptNo,
  type JobId,
  type MachineId,
  type Mono,
  type ShareNo,
  splitTask,
  type TaskId,
  taskId,
} from "../protocol/ids.js";
import { type JobSpec, type Resources, rankOrder } from "../protocol/jobs.js";
import { hurryS, slackS, targetsOf } from "../scheduling/objectives.js";
import { owedJobs, type Queued, queueOrder } from "../scheduling/order.js";
import {
  choosePlace,
  contenders,
  distinctNeeds,
  occupy,
  type Place,
  permitted,
  type ZoneCounts,
} from "../scheduling/placement.js";
import { cheapestRoom, type Ground, mayPreempt, type Victim } from "../scheduling/preempt.js";
import {
  ENDLESS,
  fits,
  fitsBeside,
  lesser,
  minus,
  NOTHING,
  plus,
} from "../scheduling/resources.js";
import { type SwarmMachine, type SwarmTask, swarmRound } from "../scheduling/swarm.js";
import { OPEN_BYTES, progressBytes } from "../storage/pages.js";
import { rangesMissing } from "../storage/ranges.js";
import { type LiveJob, type OpenAttempt, waitingCount } from "../storage/records.js";
import { steadyNow, timeOfDay } from "../transport/clock.js";
import { pageLimit } from "./batch.js";
import type { ShareRound } from "./closing.js";
import type { Held } from "./held.js";
import { attemptKey } from "./session.js";

/** How long a place is kept for a task that moves. */
const MOVE_MS = 10_000;
/** Most tasks a round makes room for: each looks at all that stands in the share. */
const PREEMPTS_A_ROUND = 24;

/** Spot prices move by a third; what costs this many times the cheapest is of another kind. */
const DEAR = 2;

const NO_CLOSED: ReadonlySet<TaskId> = new Set();

/** Where a job's other open attempts stand, as `oneZone` and `apart` judge them. */
const zoneCounts = (held: Held, job: LiveJob): Map<string, number> => {
  const zones = new Map<string, number>();
  if (!job.spec.oneZone && !job.spec.apart) return zones;
  for (const o of job.open) {
    const zone = held.ctx.replica.machines.get(o.machine)?.zone ?? "";
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** Machines of the share that take tasks, with what stands on them once this round is written. */
const placesOf = (
  held: Held,
  share: ShareNo,
  closed: ReadonlyMap<MachineId, ReadonlySet<TaskId>>,
  edited: ReadonlySet<MachineId>,
): Map<MachineId, Place> => {
  const { replica } = held.ctx;
  const work = replica.work(share);
  const now = steadyNow();
  const out = new Map<MachineId, Place>();
  const perCpu = (price: number, cpus: number): number => price / Math.max(1, cpus);
  const types = replica.types?.value ?? [];
  const shapes = distinctNeeds([...work.jobs.values()].map((j) => j.spec.needs));
  const byName = new Map(
    types.map((type) => [type.name, { type, rivals: contenders(type.capacity, shapes) }]),
  );
  const cheapest = Math.min(...types.map((t) => perCpu(t.spotPrice, t.capacity.cpus)));
  for (const [id, s] of held.sessions) {
    const m = replica.machines.get(id);
    if (m === undefined || m.share !== share || m.stage !== "up") continue;
    if (s.state !== "ready" || s.report?.noticeS != null || edited.has(id)) continue;
    if (replica.isGone(id)) continue;
    const known = byName.get(m.type);
    const note = held.note(id);
    if (known === undefined || note.retire !== null || note.move !== null) continue;
    if (note.deafCalls > 1) continue;
    if (held.unheard(id, now)) continue;
    let use: Resources = NOTHING;
    let least: Resources = ENDLESS;
    const gone = closed.get(id) ?? NO_CLOSED;
    for (const [task, o] of work.openOn(id)) {
      const needs = work.jobs.get(o.job)?.spec.needs;
      if (needs === undefined || gone.has(task)) continue;
      use = plus(use, needs);
      least = lesser(least, needs);
    }
    const price = m.spot ? known.type.spotPrice : known.type.price;
    out.set(id, {
      id,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      capacity: known.type.capacity,
      use,
      least,
      price,
      dear: perCpu(price, known.type.capacity.cpus) > DEAR * cheapest,
      fetchGbPerS: known.type.fetchGbPerS,
      images: note.images,
      contenders: known.rivals,
    });
  }
  for (const [task, x] of held.incoming) {
    const place = out.get(x.to);
    const needs = work.jobs.get(splitTask(task).job)?.spec.needs;
    if (place !== undefined && needs !== undefined) occupy(place, needs);
  }
  return out;
};

/** The paper's period: tasks cheap to restart leave machines that can be emptied. */
export const swarm = (held: Held, share: ShareNo, now: Mono): void => {
  const { replica, operators, random, log } = held.ctx;
  const work = replica.work(share);
  const places = placesOf(held, share, new Map(), new Set());
  const waiting = [...work.jobs.values()].filter((j) => waitingCount(j) > 0);
  const machines: SwarmMachine[] = [];
  for (const p of places.values()) {
    // Where a task that waits fits, the place fills by itself; and so would what a move freed.
    const wanted = waiting.some(
      (j) => fits(j.spec.needs, p.capacity) && permitted(j.spec, p, zoneCounts(held, j)),
    );
    if (wanted) continue;
    const tasks: SwarmTask[] = [];
    let use = p.use;
    for (const [task, o] of work.openOn(p.id)) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const note = held.attempts.get(attemptKey(task, o.attempt));
      // A job that fails everywhere would draw tasks back and forth: it is no part of n.
      const failing = (held.jobs.get(o.job)?.failures ?? 0) > 0;
      if (note?.stop != null || failing || job.cancelledAt !== null) {
        use = minus(use, job.spec.needs);
        continue;
      }
      const zones = zoneCounts(held, job);
      zones.set(p.zone, Math.max(0, (zones.get(p.zone) ?? 0) - 1));
      tasks.push({
        task,
        needs: job.spec.needs,
        lossS: held.lossS(job, note, now),
        allowed: (to) => {
          const d = places.get(to);
          if (d === undefined || !permitted(job.spec, d, zones)) return false;
          return d.images.has(job.spec.image) || job.spec.imageGb <= d.fetchGbPerS;
        },
      });
    }
    machines.push({ id: p.id, capacity: p.capacity, use, tasks });
  }
  const moves = swarmRound(machines, random, {
    cap: Math.max(operators.swarmMoves, Math.floor(machines.length * operators.swarmPart)),
    maxLossS: operators.swarmMaxLossS,
  });
  for (const m of moves) {
    const o = work.openOn(m.from).get(m.task);
    const job = o === undefined ? undefined : work.jobs.get(o.job);
    if (o === undefined || job === undefined) continue;
    held.stop(attemptKey(m.task, o.attempt), m.from, "moved", job.spec.saveS);
    held.keep(m.task, m.to, MOVE_MS);
    held.counters.moves++;
    log.debug("move", { task: m.task, from: m.from, to: m.to });
  }
};

/** One share's waiting work laid over its machines: starts, and stops that make room for them. */
export class Placing {
  readonly #places: Map<MachineId, Place>;
  readonly #owed: ReadonlySet<JobId>;
  #preempts = 0;

  constructor(
    private readonly held: Held,
    private readonly round: ShareRound,
    edited: ReadonlySet<MachineId>,
  ) {
    this.#places = placesOf(held, round.share, round.closed, edited);
    this.#owed = owedJobs(this.#jobs(), held.ctx.teams);
  }

  /** Jobs of the share as this round writes them. */
  *#jobs(): Iterable<readonly [JobId, LiveJob]> {
    for (const [id, j] of this.held.ctx.replica.work(this.round.share).jobs)
      yield [id, this.round.drafts.get(id) ?? j];
  }

  static waits(held: Held, round: ShareRound): boolean {
    for (const [id, j] of held.ctx.replica.work(round.share).jobs)
      if (waitingCount(round.drafts.get(id) ?? j) > 0) return true;
    return false;
  }

  #queue(): readonly Queued[] {
    const { held, round } = this;
    const { replica, settings, operators } = held.ctx;
    const at = timeOfDay();
    const rates = (replica.types?.value ?? []).map((t) => t.fetchGbPerS);
    const rate = rates.reduce((sum, r) => sum + r, 0) / Math.max(1, rates.length);
    const waiting = [];
    for (const [id, job] of this.#jobs()) {
      if (waitingCount(job) <= 0 || (held.jobs.get(id)?.notBefore ?? 0) > round.now) continue;
      waiting.push({
        id,
        job,
        ageS: (at - job.acceptedAt) / 1000,
        leadS: rate > 0 && !this.#cached(job.spec.image) ? job.spec.imageGb / rate : 0,
        runS: held.runS(job.spec),
        owed: this.#owed.has(id),
      });
    }
    return queueOrder(waiting, settings.objectives, operators.overdueS);
  }

  /** Whether most machines of the share hold the image, so that no fetch need be reckoned with. */
  #cached(image: string): boolean {
    let n = 0;
    for (const p of this.#places.values()) if (p.images.has(image)) n++;
    return 2 * n > this.#places.size;
  }

  /** What a team's open attempts take: every one counts until it is closed. */
  #teamUse(): Map<string, Resources> {
    const out = new Map<string, Resources>();
    for (const [, job] of this.#jobs()) {
      const { team, needs } = job.spec;
      const n = job.open.length;
      const use = out.get(team) ?? NOTHING;
      out.set(team, {
        cpus: use.cpus + n * needs.cpus,
        gpus: use.gpus + n * needs.gpus,
        ramGb: use.ramGb + n * needs.ramGb,
      });
    }
    return out;
  }

  run(): void {
    if (this.#places.size === 0) return;
    const use = this.#teamUse();
    for (const w of this.#queue()) if (!this.#placeJob(w, use)) return;
  }

  /** False if the batch is full. */
  #placeJob(w: Queued, use: Map<string, Resources>): boolean {
    const { held, round } = this;
    const { ctx } = held;
    const { spec } = w.job;
    const team = ctx.teams.get(spec.team);
    const accepted = ctx.replica.accepted.get(w.id);
    if (team === undefined || accepted === undefined) return true;
    const failedOn = held.jobs.get(w.id)?.failedOn;
    const all = [...this.#places.values()];
    let candidates = all;
    if (failedOn !== undefined && failedOn.size > 0)
      candidates = candidates.filter((p) => !failedOn.has(p.id));
    const zones = zoneCounts(held, w.job);
    const taken = new Set(w.job.open.map((o) => o.index));
    const indexes = rangesMissing(w.job.done, spec.tasks, taken, waitingCount(w.job));
    let next = w.job.nextAttempt;
    let used = use.get(spec.team) ?? NOTHING;
    const starts: OpenAttempt[] = [];
    let bytes = progressBytes(w.job);
    const most = pageLimit({ ...ctx.settings.state, size: ctx.settings.size }) * 0.9;
    let grounds: Ground[] | undefined;
    const hurry = hurryS(targetsOf(spec, ctx.settings.objectives, w.owed), w.ageS);
    const undo: (() => void)[] = [];
    for (const index of indexes) {
      const after = plus(used, spec.needs);
      if (after.cpus > team.cpusMax + 1e-9 || after.gpus > team.gpusMax + 1e-9) break;
      const task = taskId(w.id, index);
      let place = this.#placeKept(task, spec, zones) ?? choosePlace(spec, candidates, zones, hurry);
      // An earlier attempt of it, exited there and not forgotten yet: the start would be refused.
      if (place !== null && this.#lingers(task, place))
        place =
          choosePlace(
            spec,
            candidates.filter((p) => !this.#lingers(task, p)),
            zones,
            hurry,
          ) ?? this.#unblock(place);
      // Where it failed before is better than nowhere, for one task at a time: a job with a mistake
      // in it fails everywhere, and all of its tasks again and again would take the fleet.
      const none = w.job.open.length + starts.length === 0;
      if (place === null && none && candidates.length < all.length) {
        place = choosePlace(spec, all, zones, hurry);
        if (place !== null && this.#lingers(task, place)) place = this.#unblock(place);
      }
      if (place === null) {
        if (w.slack > ctx.operators.preemptSlackS || ctx.store.failing()) break;
        if (held.incoming.has(task)) continue;
        if (this.#preempts >= PREEMPTS_A_ROUND) break;
        grounds ??= this.#grounds(w, candidates, zones);
        if (!this.#preempt(task, w, grounds)) break;
        continue;
      }
      held.incoming.delete(task);
      const attempt: AttemptNo = attemptNo(next);
      bytes += OPEN_BYTES;
      // An array whose open attempts fill a page runs in parts.
      if (bytes > most) break;
      next++;
      starts.push({ index, attempt, machine: place.id });
      used = after;
      const before = { use: place.use, least: place.least };
      undo.push(() => Object.assign(place, before));
      occupy(place, spec.needs);
      zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1);
    }
    if (starts.length === 0) return true;
    const job: LiveJob = { ...w.job, open: [...w.job.open, ...starts], nextAttempt: next };
    const { done, open, nextAttempt } = job;
    // A cancel that comes first must win.
    const written =
      round.batch.requireJob(w.id, accepted.rev) &&
      round.batch.putJob(round.share, w.id, { done, open, nextAttempt });
    if (!written) {
      for (const u of undo.reverse()) u();
      return false;
    }
    round.drafts.set(w.id, job);
    use.set(spec.team, used);
    held.counters.starts += starts.length;
    for (const o of starts) round.call.add(o.machine);
    this.#noteStarts(w, job, starts.length);
    return true;
  }

  /** The only place is held up by an exit that is kept: the machine's token must rise for it. */
  #unblock(p: Place): null {
    const note = this.held.note(p.id);
    if (!note.wantsBump) this.held.disturbed.add(p.id);
    note.wantsBump = true;
    return null;
  }

  #lingers(task: TaskId, p: Place): boolean {
    return this.held.sessions.get(p.id)?.tasks.has(task) === true;
  }

  #noteStarts(w: Queued, job: LiveJob, starts: number): void {
    const { ctx } = this.held;
    const { spec } = w.job;
    ctx.metrics.record(`start ${spec.jobClass}`, w.ageS * 1000);
    if (!ctx.log.enabled("debug")) return;
    ctx.log.debug("starts", {
      job: w.id,
      jobClass: spec.jobClass,
      share: this.round.share,
      tasks: spec.tasks,
      starts,
      waiting: waitingCount(job),
      ageS: Math.round(w.ageS * 10) / 10,
      runS: Math.round(w.runS),
    });
  }

  /** The place kept for a task, if it fits there by now; its own keeping is no obstacle. */
  #placeKept(task: TaskId, spec: JobSpec, zones: ZoneCounts): Place | null {
    const x = this.held.incoming.get(task);
    const place = x === undefined ? undefined : this.#places.get(x.to);
    if (place === undefined || !permitted(spec, place, zones)) return null;
    const without = minus(place.use, spec.needs);
    if (!fitsBeside(spec.needs, without, place.capacity)) return null;
    place.use = without;
    this.held.incoming.delete(task);
    return place;
  }

  /** What may be stopped for a job, by machine. */
  #grounds(by: Queued, candidates: readonly Place[], zones: ZoneCounts): Ground[] {
    const { held, round } = this;
    const { replica, operators, settings } = held.ctx;
    const work = replica.work(round.share);
    const { spec } = by.job;
    const me = { rank: rankOrder(spec.rank), owed: by.owed, team: spec.team };
    const at = timeOfDay();
    // What is dear about a victim is its job's: worked out once.
    const dear = new Map<JobId, number>();
    const dearOf = (id: JobId, job: LiveJob): number => {
      let d = dear.get(id);
      if (d === undefined) {
        // The nearer its own objective, the dearer: else the same young tasks of the same jobs
        // are stopped again and again, each time at little loss, until their job is late.
        const targets = targetsOf(job.spec, settings.objectives, this.#owed.has(id));
        const slack = slackS(targets, (at - job.acceptedAt) / 1000, held.runS(job.spec));
        d = Math.max(0, operators.spareSlackS - slack);
        dear.set(id, d);
      }
      return d;
    };
    const grounds: Ground[] = [];
    for (const p of candidates) {
      if (!permitted(spec, p, zones)) continue;
      const victims: Victim[] = [];
      let free = minus(p.capacity, p.use);
      for (const [t, o] of work.openOn(p.id)) {
        const job = work.jobs.get(o.job);
        const note = held.attempts.get(attemptKey(t, o.attempt));
        if (job === undefined) continue;
        const { rank, team, needs, saveS } = job.spec;
        // On its way out: its room may be kept for somebody, but is not there to start on yet.
        if (job.cancelledAt !== null || note?.stop != null) {
          if (this.round.closed.get(p.id)?.has(t) !== true) free = plus(free, needs);
          continue;
        }
        if (!mayPreempt(me, { rank: rankOrder(rank), owed: this.#owed.has(o.job), team })) continue;
        const lossS = held.lossS(job, note, round.now) + saveS + dearOf(o.job, job);
        victims.push({ task: t, needs, lossS });
      }
      if (victims.length > 0 || fits(spec.needs, free)) grounds.push({ id: p.id, free, victims });
    }
    return grounds;
  }

  /** Stops what loses least to make room for a task, and keeps the room for it. */
  #preempt(task: TaskId, by: Queued, grounds: Ground[]): boolean {
    const { held, round } = this;
    const work = held.ctx.replica.work(round.share);
    const { needs } = by.job.spec;
    const room = cheapestRoom(needs, grounds, held.ctx.operators.preemptMaxLossS);
    if (room === null) return false;
    this.#preempts++;
    const place = this.#places.get(room.machine);
    for (const v of room.victims) {
      const o = work.openOn(room.machine).get(v.task);
      const job = o === undefined ? undefined : work.jobs.get(o.job);
      if (o === undefined || job === undefined) continue;
      held.stop(attemptKey(v.task, o.attempt), room.machine, "preempted", job.spec.saveS);
      held.counters.preempted++;
    }
    // The victims' room is not free before they are gone: the newcomer's need comes on top.
    if (place !== undefined) occupy(place, needs);
    held.keep(task, room.machine, MOVE_MS);
    round.call.add(room.machine);
    const at = grounds.findIndex((g) => g.id === room.machine);
    const g = grounds[at];
    if (g !== undefined) {
      const victims = g.victims.filter((v) => !room.victims.includes(v));
      const freed = room.victims.reduce((sum, v) => plus(sum, v.needs), g.free);
      grounds[at] = { id: g.id, free: minus(freed, needs), victims };
    }
    return true;
  }
}
