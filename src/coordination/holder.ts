import {
  type AttemptNo,
  attemptNo,
  type JobId,
  type MachineId,
  type Mono,
  mono,
  type Revision,
  type ShareNo,
  splitTask,
  type TaskId,
  type Token,
  taskId,
  token,
} from "../protocol/ids.js";
import { type JobSpec, type Resources, rankOrder } from "../protocol/jobs.js";
import type { MoveRequest } from "../protocol/peer.js";
import type { Condition, Op } from "../protocol/store.js";
import {
  beatAnswer,
  type Order,
  ordersBody,
  parseReport,
  type Report,
  redirectBody,
  type TaskReport,
} from "../protocol/workers.js";
import { slackS, targetsOf } from "../scheduling/objectives.js";
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
import { fits, minus, NOTHING, plus } from "../scheduling/resources.js";
import { type SwarmMachine, type SwarmTask, swarmRound } from "../scheduling/swarm.js";
import { absorb, type Context, refresh } from "../service/context.js";
import { rangesAdd, rangesCount, rangesMissing } from "../storage/ranges.js";
import {
  finalValue,
  keys,
  type LiveJob,
  liveValue,
  type MachineRecord,
  machineValue,
  type OpenAttempt,
  waitingCount,
} from "../storage/records.js";
import type { Versioned } from "../storage/replica.js";
import type { Calls } from "../transport/client.js";
import { steadyNow, timeOfDay } from "../transport/clock.js";
import type { Answer } from "../transport/server.js";
import type { Membership } from "./membership.js";
import {
  type AttemptNote,
  type JobNote,
  type MachineNote,
  type StopReason,
  useImage,
} from "./notes.js";
import {
  attemptKey,
  findAttempt,
  needsBump,
  newSession,
  ordersFor,
  type Session,
  type SessionEvent,
  stepSession,
  type Wanted,
} from "./session.js";

/** How long a direct call to a worker may take. */
const DIRECT_MS = 1200;
/** How late a report may be before its machine is called, and how often that is done. */
const OVERDUE_MS = 300;
const PROBE_EVERY_MS = 1500;
/** How long a place is kept for a task that moves. */
const MOVE_MS = 10_000;
/** Room left in a value and in a transaction for keys, versions and names. */
const VALUE_MARGIN = 512;
const TXN_BYTES = 60 * 1024;
const CONDITIONS_PER_OP = 4;

interface Draft {
  job: LiveJob;
  readonly rev: Revision;
}

interface Batch {
  readonly ops: Op[];
  readonly conditions: Map<string, Revision>;
  bytes: number;
}

interface RoundEffects {
  /** Machines that should hear from us at once. */
  readonly call: Set<MachineId>;
}

/** Runs the shares held here: worker sessions, attempts, and rounds of decisions. */
export class Holder {
  readonly #sessions = new Map<MachineId, Session>();
  readonly #attempts = new Map<string, AttemptNote>();
  /**
   * Attempts whose closing is decided but not yet known to be written. A report showed them
   * absent; a start sent after that would run what the record is about to call gone.
   */
  readonly #closing = new Set<string>();
  readonly #jobs = new Map<JobId, JobNote>();
  readonly #machines = new Map<MachineId, MachineNote>();
  readonly #runRatio = new Map<string, number>();
  #committing = false;
  #swarmAt: Mono = steadyNow();
  /** Moves whose task is to start again there: they count as use of the destination (eq. 18). */
  readonly #incoming = new Map<TaskId, { readonly to: MachineId; readonly until: Mono }>();
  readonly counters = {
    preempted: 0,
    starts: 0,
    done: 0,
    lost: 0,
    errors: 0,
    moves: 0,
    commits: 0,
    conflicts: 0,
  };

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    private readonly workers: Calls,
    private readonly wake: () => void,
  ) {}

  // ---- What is held -------------------------------------------------------------------------

  #tokenOf(share: ShareNo, machineRev: Revision): Token {
    const s = this.ctx.replica.shares.get(share);
    return token(Math.max(s?.rev ?? 0, machineRev));
  }

  #step(id: MachineId, e: SessionEvent): Session | undefined {
    const s = this.#sessions.get(id);
    if (s === undefined) return undefined;
    const next = stepSession(s, e);
    if (next !== s) this.#sessions.set(id, next);
    return next;
  }

  /** Brings sessions in line with the records: machines come, go, and get higher tokens. */
  #syncSessions(now: Mono): void {
    const { replica } = this.ctx;
    const held = new Set(this.membership.heldShares());
    for (const id of this.#sessions.keys()) {
      const m = replica.machines.get(id);
      if (m === undefined || !held.has(m.value.share)) this.#sessions.delete(id);
    }
    for (const [id, m] of replica.machines) {
      if (!held.has(m.value.share)) continue;
      const t = this.#tokenOf(m.value.share, m.rev);
      if (this.#sessions.has(id)) this.#step(id, { kind: "held", token: t, now });
      else this.#sessions.set(id, newSession(t, now));
    }
    for (const id of this.#machines.keys())
      if (!replica.machines.has(id)) this.#machines.delete(id);
    for (const id of this.#jobs.keys()) if (!replica.jobs.has(id)) this.#jobs.delete(id);
    // Attempts that another holder closed after a share was handed over.
    for (const [key, note] of this.#attempts)
      if (!replica.machines.has(note.machine)) this.#attempts.delete(key);
  }

  #note(id: MachineId): MachineNote {
    let n = this.#machines.get(id);
    if (n === undefined) {
      n = {
        images: new Map(),
        failedJobs: new Set(),
        failures: 0,
        retire: null,
        move: null,
        directBusy: false,
        directAgain: false,
        calledAt: mono(0),
        failedCalls: 0,
      };
      this.#machines.set(id, n);
    }
    return n;
  }

  #attemptNote(key: string, machine: MachineId): AttemptNote {
    let n = this.#attempts.get(key);
    if (n === undefined) {
      n = { stop: null, runningSince: null, machine };
      this.#attempts.set(key, n);
    }
    return n;
  }

  #jobNote(id: JobId): JobNote {
    let n = this.#jobs.get(id);
    if (n === undefined) {
      n = { failures: 0, notBefore: mono(0), failedOn: new Set() };
      this.#jobs.set(id, n);
    }
    return n;
  }

  // ---- Workers ------------------------------------------------------------------------------

  #wantedOn(id: MachineId): ReadonlyMap<TaskId, Wanted> {
    const out = new Map<TaskId, Wanted>();
    const stage = this.ctx.replica.machines.get(id)?.value.stage;
    for (const [task, o] of this.ctx.replica.openOn(id)) {
      const job = this.ctx.replica.jobs.get(o.job)?.value;
      const note = this.#attempts.get(attemptKey(task, o.attempt));
      // Nothing of a cancelled job is of use: it stops without saving.
      const stopGraceS =
        job === undefined || job.cancelledAt !== null ? 0 : (note?.stop?.graceS ?? null);
      const leaving = this.#closing.has(attemptKey(task, o.attempt)) || stage !== "up";
      out.set(task, { task, attempt: o.attempt, stopGraceS, leaving });
    }
    return out;
  }

  #startKeys(orders: readonly Order[]): readonly string[] {
    return orders.filter((o) => o.op === "start").map((o) => attemptKey(o.task, o.attempt));
  }

  /** POST /agent/beat. A 200 is only given with a token that the worker will accept. */
  beat(body: unknown, adopt: (r: Report) => void): Answer {
    const report = parseReport(body);
    if (report === undefined) {
      this.ctx.log.info("malformed report", {});
      return { status: 400, body: { error: "malformed report" } };
    }
    if (!this.ctx.synced) return { status: 503, retryAfterS: 1 };
    const { replica, me } = this.ctx;
    const m = replica.machines.get(report.machine);
    if (m === undefined) {
      const leader = replica.leader?.value.label;
      if (this.membership.leads()) adopt(report);
      return { status: 421, body: redirectBody(leader === me.label ? undefined : leader) };
    }
    if (!this.membership.holds(m.value.share)) {
      const to = this.membership.holderOf(m.value.share)?.label;
      return { status: 421, body: redirectBody(to === me.label ? undefined : to) };
    }
    // Proved gone: what it says is late.
    if (m.value.stage === "gone") return { status: 503, retryAfterS: 5 };
    const now = steadyNow();
    const t = this.#tokenOf(m.value.share, m.rev);
    if (report.token > t) {
      // Somebody has a higher token: what we know of this machine is old.
      void refresh(this.ctx, [keys.share(m.value.share), keys.machine(report.machine)]);
      return { status: 503, retryAfterS: 1 };
    }
    if (!this.#sessions.has(report.machine)) this.#sessions.set(report.machine, newSession(t, now));
    this.#step(report.machine, { kind: "held", token: t, now });
    this.#hear(report, "beat", now);
    const s = this.#sessions.get(report.machine);
    if (s === undefined) return { status: 503, retryAfterS: 1 };
    const orders = s.report === report ? ordersFor(s, this.#wantedOn(report.machine)) : [];
    this.#step(report.machine, { kind: "answered_beat", starts: this.#startKeys(orders) });
    return { status: 200, body: beatAnswer(t, orders) };
  }

  #hear(report: Report, via: "beat" | "direct", now: Mono): void {
    const before = this.#sessions.get(report.machine);
    const after = this.#step(report.machine, { kind: "report", report, via, now });
    if (after === undefined || after === before) return;
    const note = this.#note(report.machine);
    note.failedCalls = 0;
    for (const t of report.tasks) this.#look(report.machine, t, now);
    this.wake();
  }

  #look(machine: MachineId, t: TaskReport, now: Mono): void {
    const o = this.ctx.replica.openOn(machine).get(t.task);
    if (o === undefined || o.attempt !== t.attempt) return;
    const job = this.ctx.replica.jobs.get(o.job)?.value;
    if (job === undefined) return;
    if (t.stage === "running") {
      const note = this.#attemptNote(attemptKey(t.task, t.attempt), machine);
      if (note.runningSince === null) {
        note.runningSince = now;
        const type = this.ctx.replica.machines.get(machine)?.value.type;
        const cache = this.ctx.replica.types?.value.find((x) => x.name === type)?.cacheGb ?? 0;
        useImage(this.#note(machine), job.spec.image, job.spec.imageGb, cache);
      }
    }
  }

  /** Sends a machine what it should do, straight to its address: one call at a time. */
  async callMachine(id: MachineId): Promise<void> {
    const note = this.#note(id);
    if (note.directBusy) {
      note.directAgain = true;
      return;
    }
    note.directBusy = true;
    try {
      await this.#callOnce(id, note);
    } finally {
      note.directBusy = false;
    }
    if (note.directAgain) {
      note.directAgain = false;
      void this.callMachine(id);
    }
  }

  async #callOnce(id: MachineId, note: MachineNote): Promise<void> {
    const s = this.#sessions.get(id);
    const m = this.ctx.replica.machines.get(id);
    if (s === undefined || m === undefined || m.value.stage === "gone") return;
    const endpoint = s.report?.endpoint ?? m.value.endpoint;
    if (endpoint === "") return;
    note.calledAt = steadyNow();
    if (s.report === undefined) {
      // The session is unknown: ask first.
      const r = await this.workers.call(endpoint, "GET", "/status", undefined, DIRECT_MS);
      this.#directReport(id, note, r.kind === "answer" ? r.body : undefined);
      if (this.#sessions.get(id)?.report !== undefined) note.directAgain = true;
      return;
    }
    const orders = ordersFor(s, this.#wantedOn(id));
    if (s.state === "ready" && orders.length === 0) {
      const r = await this.workers.call(endpoint, "GET", "/status", undefined, DIRECT_MS);
      this.#directReport(id, note, r.kind === "answer" ? r.body : undefined);
      return;
    }
    const starts = this.#startKeys(orders);
    this.#step(id, { kind: "direct_sent", starts });
    const body = ordersBody(s.token, s.report.session, orders);
    const r = await this.workers.call(endpoint, "POST", "/orders", body, DIRECT_MS);
    if (r.kind === "unsent") this.#step(id, { kind: "direct_unsent", starts });
    else if (r.kind === "lost" || (r.status !== 200 && r.status !== 409 && r.status !== 400))
      this.#step(id, { kind: "direct_lost", starts });
    else {
      // 409 and 400: nothing was executed.
      this.#step(id, { kind: r.status === 200 ? "direct_answered" : "direct_unsent", starts });
      this.#directReport(id, note, r.body);
      return;
    }
    note.failedCalls++;
    this.wake();
  }

  #directReport(id: MachineId, note: MachineNote, body: unknown): void {
    const report = parseReport(body);
    if (report === undefined || report.machine !== id) {
      note.failedCalls++;
      return;
    }
    const s = this.#sessions.get(id);
    if (s === undefined) return;
    if (report.token > s.token) {
      const m = this.ctx.replica.machines.get(id);
      if (m !== undefined) void refresh(this.ctx, [keys.share(m.value.share), keys.machine(id)]);
      return;
    }
    this.#hear(report, "direct", steadyNow());
  }

  // ---- Requests of the leader ---------------------------------------------------------------

  requestMove(m: MoveRequest): void {
    if (!this.#sessions.has(m.machine)) return;
    const until = mono(steadyNow() + MOVE_MS);
    this.#note(m.machine).move = { to: m.to, vacate: m.vacate, until };
    this.wake();
  }

  requestRetire(id: MachineId): void {
    if (this.#sessions.has(id)) this.#note(id).retire = { reason: "surplus", force: false };
  }

  // ---- Rounds -------------------------------------------------------------------------------

  /** One round: look, decide, commit, send. Returns whether anything was committed. */
  async round(): Promise<boolean> {
    if (this.#committing || !this.ctx.synced) return false;
    this.#committing = true;
    try {
      return await this.#round();
    } finally {
      this.#committing = false;
      this.#closing.clear();
    }
  }

  async #round(): Promise<boolean> {
    const { ctx } = this;
    const now = steadyNow();
    this.#syncSessions(now);
    this.#watchSilence(now);
    const held = this.membership.heldShares();
    if (held.length === 0) return false;
    for (const [task, x] of this.#incoming) if (x.until <= now) this.#incoming.delete(task);
    this.#heedNotices(now);
    this.#heedCancels();
    this.#vacate(now);
    if (now - this.#swarmAt >= ctx.operators.swarmPeriodS * 1000) {
      this.#swarmAt = now;
      for (const share of held) this.#swarm(share, now);
    }
    const batch: Batch = { ops: [], conditions: new Map(), bytes: 0 };
    const effects: RoundEffects = { call: new Set() };
    for (const share of held) this.#decide(share, batch, effects, now);
    if (batch.ops.length === 0) {
      for (const id of effects.call) void this.callMachine(id);
      return false;
    }
    // Accepts and cancels come first: a round leaves them a part of the budget.
    const reserve = Math.min(2, ctx.settings.state.writeRps / 20);
    if (!ctx.store.mayWrite(batch.ops.length, reserve)) return false;
    const conditions: Condition[] = [...batch.conditions].map(([key, rev]) => ({ key, rev }));
    const began = steadyNow();
    const r = await ctx.store.settle({ conditions, ops: batch.ops }, () => ctx.stopping);
    ctx.metrics.record("commit", steadyNow() - began);
    if (r.kind === "applied") {
      absorb(ctx.replica, batch.ops, r.rev);
      this.counters.commits++;
      this.#syncSessions(steadyNow());
      for (const id of effects.call) void this.callMachine(id);
      return true;
    }
    this.counters.conflicts++;
    ctx.log.debug("round not applied", { result: r.kind, ops: batch.ops.length });
    await refresh(
      ctx,
      r.kind === "conflict" && r.failed.length > 0 ? r.failed : batch.conditions.keys(),
    );
    return true;
  }

  /**
   * Silent machines are called; those that don't answer either are mute, and proved gone by
   * returning them. A starved process of our own must not take its own silence for theirs:
   * failed calls are needed as well.
   */
  #watchSilence(now: Mono): void {
    const { operators, settings } = this.ctx;
    for (const [id, s] of this.#sessions) {
      const m = this.ctx.replica.machines.get(id);
      if (m === undefined || m.value.stage === "gone") continue;
      const note = this.#note(id);
      const quiet = now - s.heardAt;
      const claim = s.state === "claiming" || (s.state === "unheard" && m.value.endpoint !== "");
      // Reports come with up to a quarter of delay; one that is later than that is asked for.
      const overdue = quiet > settings.workers.reportS * 1250 + OVERDUE_MS;
      if ((overdue || claim) && now - note.calledAt >= PROBE_EVERY_MS) void this.callMachine(id);
      if (m.value.endpoint === "" && s.report === undefined) continue;
      if (quiet < operators.silenceS * 1000 || note.failedCalls < 2) continue;
      this.#step(id, { kind: "silence" });
      if (note.retire === null || !note.retire.force) {
        this.ctx.log.info("machine silent", { machine: id, quietMs: Math.round(quiet) });
        note.retire = { reason: "silent", force: true };
      }
    }
  }

  /** Seconds of work that stopping an attempt now would throw away. */
  #lossS(job: LiveJob, note: AttemptNote | undefined, now: Mono): number {
    if (note === undefined || note.runningSince === null) return 0;
    const ranS = (now - note.runningSince) / 1000;
    const { checkpointS, saveS } = job.spec;
    return checkpointS > 0 ? Math.min(ranS % checkpointS, saveS) : ranS;
  }

  #stop(key: string, machine: MachineId, reason: StopReason, graceS: number): void {
    const note = this.#attemptNote(key, machine);
    note.stop ??= { reason, graceS };
  }

  /** The cloud takes a machine away: what can't end in time is saved, or started elsewhere now. */
  #heedNotices(now: Mono): void {
    const { replica } = this.ctx;
    for (const [id, s] of this.#sessions) {
      const noticeS = s.report?.noticeS ?? null;
      if (noticeS === null || s.state !== "ready") continue;
      const leftS = noticeS - (now - s.heardAt) / 1000;
      for (const [task, o] of replica.openOn(id)) {
        const job = replica.jobs.get(o.job)?.value;
        if (job === undefined) continue;
        const key = attemptKey(task, o.attempt);
        const note = this.#attemptNote(key, id);
        const ranS = note.runningSince === null ? 0 : (now - note.runningSince) / 1000;
        // The nominal notice may be half of the true one, and estimates are often half wrong.
        const ends = note.runningSince !== null && job.spec.expectS - ranS < leftS / 2;
        if (job.spec.checkpointS > 0 || !ends)
          this.#stop(key, id, "notice", job.spec.saveS < leftS ? job.spec.saveS : 0);
      }
      this.#note(id).retire ??= { reason: "notice", force: false };
    }
  }

  /** Machines that the leader wants for urgent work of another share are cleared for it. */
  #vacate(now: Mono): void {
    const { replica } = this.ctx;
    for (const [id, note] of this.#machines) {
      if (note.move === null) continue;
      if (note.move.until <= now) note.move = null;
      else if (note.move.vacate)
        for (const [task, o] of replica.openOn(id)) {
          const saveS = replica.jobs.get(o.job)?.value.spec.saveS ?? 0;
          const key = attemptKey(task, o.attempt);
          if (!this.#attempts.get(key)?.stop) this.counters.preempted++;
          this.#stop(key, id, "preempted", saveS);
        }
    }
  }

  /** Every task of a cancelled job must be gone in time, if need be with its machine. */
  #heedCancels(): void {
    const { replica, settings } = this.ctx;
    const mostMs = settings.workers.cancelS * 400;
    for (const [, { value: job }] of replica.jobs) {
      if (job.cancelledAt === null || timeOfDay() - job.cancelledAt < mostMs) continue;
      for (const o of job.open) {
        if (!this.#sessions.has(o.machine)) continue;
        const note = this.#note(o.machine);
        if (note.retire?.force !== true)
          note.retire = { reason: "cancelled task stays", force: true };
      }
    }
  }

  /** The paper's period: tasks cheap to restart leave machines that can be emptied. */
  #swarm(share: ShareNo, now: Mono): void {
    const { replica, operators } = this.ctx;
    const teams = replica.teams?.value;
    // While tasks wait, every freed place fills anyway.
    for (const { value: j } of replica.jobs.values())
      if (teams?.get(j.spec.team) === share && waitingCount(j) > 0) return;
    const places = this.#places(share, new Map(), { ops: [], conditions: new Map(), bytes: 0 });
    const machines: SwarmMachine[] = [];
    for (const p of places.values()) {
      const tasks: SwarmTask[] = [];
      let use = p.use;
      for (const [task, o] of replica.openOn(p.id)) {
        const job = replica.jobs.get(o.job)?.value;
        if (job === undefined) continue;
        const note = this.#attempts.get(attemptKey(task, o.attempt));
        // A job that fails everywhere would draw tasks back and forth: it is no part of n.
        const failing = (this.#jobs.get(o.job)?.failures ?? 0) > 0;
        if (note?.stop != null || failing || job.cancelledAt !== null) {
          use = minus(use, job.spec.needs);
          continue;
        }
        const zones = this.#zoneCounts(job);
        const at = replica.machines.get(p.id)?.value.zone ?? "";
        zones.set(at, Math.max(0, (zones.get(at) ?? 0) - 1));
        tasks.push({
          task,
          needs: job.spec.needs,
          lossS: this.#lossS(job, note, now),
          allowed: (to) => {
            const d = places.get(to);
            if (d === undefined || !permitted(job.spec, d, zones)) return false;
            return d.images.has(job.spec.image) || job.spec.imageGb <= d.fetchGbPerS;
          },
        });
      }
      machines.push({ id: p.id, capacity: p.capacity, use, tasks });
    }
    const moves = swarmRound(machines, this.ctx.random, {
      cap: operators.swarmMoves,
      maxLossS: operators.swarmMaxLossS,
    });
    for (const m of moves) {
      const o = replica.openOn(m.from).get(m.task);
      const job = o === undefined ? undefined : replica.jobs.get(o.job)?.value;
      if (o === undefined || job === undefined) continue;
      this.#stop(attemptKey(m.task, o.attempt), m.from, "moved", job.spec.saveS);
      this.#incoming.set(m.task, { to: m.to, until: mono(now + MOVE_MS) });
      this.counters.moves++;
      this.ctx.log.debug("move", { task: m.task, from: m.from, to: m.to });
    }
  }

  #decide(share: ShareNo, batch: Batch, effects: RoundEffects, now: Mono): void {
    const { replica } = this.ctx;
    const teams = replica.teams?.value;
    const shareRev = replica.shares.get(share)?.rev;
    if (teams === undefined || shareRev === undefined) return;
    const before = batch.ops.length;
    const drafts = new Map<JobId, Draft>();
    const jobs: JobId[] = [];
    for (const [id, j] of replica.jobs) if (teams.get(j.value.spec.team) === share) jobs.push(id);

    const draftOf = (id: JobId): Draft | undefined => {
      const d = drafts.get(id);
      if (d !== undefined) return d;
      const j = replica.jobs.get(id);
      if (j === undefined) return undefined;
      const fresh = { job: j.value, rev: j.rev };
      drafts.set(id, fresh);
      return fresh;
    };

    this.#closeAttempts(jobs, draftOf, effects, now);
    // What frees resources and ends jobs goes first, then machines, then starts.
    const ready = new Map<JobId, Draft>();
    for (const [id, d] of drafts) if (this.#writeJob(id, d, batch)) ready.set(id, d);
    this.#tendMachines(share, batch, effects, ready);
    this.#place(share, jobs, ready, batch, effects, now);
    if (batch.ops.length > before) batch.conditions.set(keys.share(share), shareRev);
  }

  #room(batch: Batch, ops: number, bytes: number): boolean {
    const { txnOps } = this.ctx.settings.state;
    return (
      batch.ops.length + ops <= txnOps &&
      batch.conditions.size + ops + this.ctx.settings.size <= txnOps * CONDITIONS_PER_OP &&
      batch.bytes + bytes <= TXN_BYTES
    );
  }

  #push(batch: Batch, op: Op, rev: Revision): void {
    const at = batch.ops.findIndex((o) => o.key === op.key);
    if (at >= 0) batch.ops[at] = op;
    else batch.ops.push(op);
    batch.conditions.set(op.key, rev);
    batch.bytes += op.key.length + 64 + (op.kind === "put" ? JSON.stringify(op.value).length : 0);
  }

  /** A changed job's record, or its end. False if the batch has no room for it. */
  #writeJob(id: JobId, d: Draft, batch: Batch): boolean {
    const { job } = d;
    const over =
      job.cancelledAt !== null ? job.open.length === 0 : rangesCount(job.done) === job.spec.tasks;
    const key = keys.live(id);
    if (over) {
      if (!this.#room(batch, 2, 200)) return false;
      const stage = job.cancelledAt !== null ? "cancelled" : "done";
      this.#push(batch, { kind: "delete", key }, d.rev);
      const final = finalValue({ stage, done: rangesCount(job.done) });
      // A final record is written once; its key must not exist.
      this.#push(batch, { kind: "put", key: keys.final(id), value: final }, 0 as Revision);
      return true;
    }
    const value = liveValue(job);
    if (!this.#room(batch, 1, JSON.stringify(value).length + 100)) return false;
    this.#push(batch, { kind: "put", key, value }, d.rev);
    return true;
  }

  /** Closes every open attempt that is proved gone. */
  #closeAttempts(
    jobs: readonly JobId[],
    draftOf: (id: JobId) => Draft | undefined,
    effects: RoundEffects,
    now: Mono,
  ): void {
    const { replica } = this.ctx;
    for (const id of jobs) {
      const job = replica.jobs.get(id)?.value;
      if (job === undefined) continue;
      if (job.cancelledAt !== null && job.open.length === 0) draftOf(id);
      for (const o of job.open) this.#closeIfGone(id, job, o, draftOf, effects, now);
    }
  }

  #closeIfGone(
    id: JobId,
    job: LiveJob,
    o: OpenAttempt,
    draftOf: (id: JobId) => Draft | undefined,
    effects: RoundEffects,
    now: Mono,
  ): void {
    const task = taskId(id, o.index);
    const key = attemptKey(task, o.attempt);
    const m = this.ctx.replica.machines.get(o.machine);
    const close = (done: boolean): void => {
      const d = draftOf(id);
      if (d === undefined) return;
      this.#closing.add(key);
      d.job = {
        ...d.job,
        open: d.job.open.filter((x) => x.index !== o.index),
        done: done ? rangesAdd(d.job.done, o.index) : d.job.done,
      };
      this.#attempts.delete(key);
    };
    // The record goes only after the cloud's word that the machine is gone.
    if (m === undefined || m.value.stage === "gone") {
      this.counters.lost++;
      close(false);
      return;
    }
    const s = this.#sessions.get(o.machine);
    if (s === undefined) return;
    const found = findAttempt(s, task, o.attempt);
    if (found.kind === "present") {
      if (found.report.stage !== "ended") {
        if (job.cancelledAt !== null || this.#attempts.get(key)?.stop) effects.call.add(o.machine);
        return;
      }
      this.#learn(id, job, o, found.report, now);
      close(found.report.cause === "done");
      effects.call.delete(o.machine);
      return;
    }
    if (found.kind !== "absent") return;
    const note = this.#attempts.get(key);
    const wanted = job.cancelledAt === null && !note?.stop && m.value.stage === "up";
    if (!wanted) close(false);
  }

  #learn(id: JobId, job: LiveJob, o: OpenAttempt, t: TaskReport, now: Mono): void {
    const jn = this.#jobNote(id);
    const mn = this.#note(o.machine);
    if (t.cause === "done") {
      this.counters.done++;
      this.#learnRun(job.spec, this.#attempts.get(attemptKey(t.task, o.attempt)), now);
      jn.failures = 0;
      mn.failures = 0;
      mn.failedJobs.clear();
      return;
    }
    if (t.cause === "halted") return;
    this.counters.errors++;
    if (job.cancelledAt !== null) return;
    this.ctx.log.debug("attempt failed", {
      task: t.task,
      machine: o.machine,
      cause: t.cause ?? "",
    });
    if (t.cause === "error") {
      jn.failures++;
      jn.failedOn.add(o.machine);
      mn.failures++;
      mn.failedJobs.add(id);
      // Jobs failing on several machines are backed off; a machine failing several jobs goes.
      if (jn.failedOn.size >= 3)
        jn.notBefore = mono(now + Math.min(30_000, 1000 * 2 ** Math.min(5, jn.failures - 3)));
      if (mn.failedJobs.size >= 2 && mn.retire === null) {
        this.ctx.log.info("machine quarantined", { machine: o.machine, failures: mn.failures });
        mn.retire = { reason: "faulty", force: false };
      }
    } else {
      jn.notBefore = mono(now + 500);
    }
  }

  #learnRun(spec: JobSpec, note: AttemptNote | undefined, now: Mono): void {
    if (note === undefined || note.runningSince === null || spec.expectS <= 0) return;
    const ratio = Math.min(10, Math.max(0.1, (now - note.runningSince) / 1000 / spec.expectS));
    const old = this.#runRatio.get(spec.jobClass);
    this.#runRatio.set(spec.jobClass, old === undefined ? ratio : old + (ratio - old) * 0.05);
  }

  /** A task's run time: its owner's estimate, put right by what its class was seen to take. */
  runS(spec: JobSpec): number {
    return spec.expectS * (this.#runRatio.get(spec.jobClass) ?? 1);
  }

  /** Records of machines: proved gone, endpoints, bumps, moves between shares, retirement. */
  #tendMachines(
    share: ShareNo,
    batch: Batch,
    effects: RoundEffects,
    written: ReadonlyMap<JobId, Draft>,
  ): void {
    const { replica } = this.ctx;
    for (const [id, m] of replica.machines) {
      if (m.value.share !== share) continue;
      const key = keys.machine(id);
      const s = this.#sessions.get(id);
      const open = this.#stillOpen(id, written);
      if (m.value.stage === "gone") {
        if (open === 0 && this.#room(batch, 1, 100))
          this.#push(batch, { kind: "delete", key }, m.rev);
        continue;
      }
      if (s === undefined || m.value.stage !== "up") continue;
      const next = this.#nextRecord(id, m, s, open);
      if (next === undefined || !this.#room(batch, 1, 300)) continue;
      this.#push(batch, { kind: "put", key, value: machineValue(next) }, m.rev);
      if (next.share === share && next.stage === "up") effects.call.add(id);
    }
  }

  #stillOpen(id: MachineId, written: ReadonlyMap<JobId, Draft>): number {
    let n = 0;
    for (const o of this.ctx.replica.openOn(id).values()) {
      const d = written.get(o.job);
      if (d === undefined || d.job.open.some((x) => x.index === o.index && x.attempt === o.attempt))
        n++;
    }
    return n;
  }

  #nextRecord(
    id: MachineId,
    m: Versioned<MachineRecord>,
    s: Session,
    open: number,
  ): MachineRecord | undefined {
    const note = this.#note(id);
    const empty = open === 0 && this.ctx.replica.openOn(id).size === 0;
    if (note.retire !== null && (note.retire.force || empty)) {
      this.ctx.log.info("machine retired", { machine: id, reason: note.retire.reason });
      return { ...m.value, stage: "retiring" };
    }
    if (note.move !== null) {
      const { to, vacate } = note.move;
      const proved = empty && s.tasks.size === 0 && (s.state === "ready" || s.report === undefined);
      if (proved || !vacate) note.move = null;
      if (proved && to !== m.value.share)
        return { ...m.value, share: to, endpoint: s.report?.endpoint ?? m.value.endpoint };
    }
    const endpoint = s.report?.endpoint ?? m.value.endpoint;
    if (endpoint !== m.value.endpoint) return { ...m.value, endpoint };
    if (needsBump(s)) return m.value;
    return undefined;
  }

  // ---- Placement ----------------------------------------------------------------------------

  /** Machines of the share with what stands on them, by the records and the drafts of this batch. */
  #places(share: ShareNo, written: ReadonlyMap<JobId, Draft>, batch: Batch): Map<MachineId, Place> {
    const { replica } = this.ctx;
    const out = new Map<MachineId, Place>();
    const shapes = distinctNeeds([...replica.jobs.values()].map((j) => j.value.spec.needs));
    const rivals = new Map(
      (replica.types?.value ?? []).map((t) => [t.name, contenders(t.capacity, shapes)]),
    );
    for (const [id, m] of replica.machines) {
      if (m.value.share !== share) continue;
      const type = replica.types?.value.find((t) => t.name === m.value.type);
      if (type === undefined) continue;
      const note = this.#note(id);
      let use: Resources = NOTHING;
      const needs: Resources[] = [];
      for (const o of replica.openOn(id).values()) {
        const d = written.get(o.job);
        const job = d?.job ?? replica.jobs.get(o.job)?.value;
        if (job === undefined) continue;
        if (
          d !== undefined &&
          !d.job.open.some((x) => x.index === o.index && x.attempt === o.attempt)
        )
          continue;
        use = plus(use, job.spec.needs);
        needs.push(job.spec.needs);
      }
      for (const [task, x] of this.#incoming) {
        const job = x.to === id ? replica.jobs.get(splitTask(task).job)?.value : undefined;
        if (job === undefined) continue;
        use = plus(use, job.spec.needs);
        needs.push(job.spec.needs);
      }
      const s = this.#sessions.get(id);
      if (s === undefined || s.state !== "ready" || m.value.stage !== "up") continue;
      if (note.retire !== null || note.move !== null || s.report?.noticeS != null) continue;
      if (batch.conditions.has(keys.machine(id))) continue;
      out.set(id, {
        id,
        type: type.name,
        zone: m.value.zone,
        spot: m.value.spot,
        capacity: type.capacity,
        use,
        needs,
        price: m.value.spot ? type.spotPrice : type.price,
        fetchGbPerS: type.fetchGbPerS,
        images: new Set(note.images.keys()),
        contenders: rivals.get(type.name) ?? 0,
      });
    }
    return out;
  }

  #zoneCounts(job: LiveJob): Map<string, number> {
    const zones = new Map<string, number>();
    if (!job.spec.oneZone && !job.spec.apart) return zones;
    for (const o of job.open) {
      const zone = this.ctx.replica.machines.get(o.machine)?.value.zone ?? "";
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  /** What a team's open attempts take, over all shares: every one counts until it is closed. */
  #teamUse(written: ReadonlyMap<JobId, Draft>): Map<string, Resources> {
    const out = new Map<string, Resources>();
    for (const [id, j] of this.ctx.replica.jobs) {
      const job = written.get(id)?.job ?? j.value;
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

  /** Stops what loses least to make room for a task, and keeps the room for it. */
  #preempt(
    task: TaskId,
    by: Queued,
    owed: ReadonlySet<JobId>,
    candidates: readonly Place[],
    zones: ZoneCounts,
    effects: RoundEffects,
    now: Mono,
  ): boolean {
    const { replica, operators } = this.ctx;
    const { spec } = by.job;
    const me = { rank: rankOrder(spec.rank), owed: by.owed, team: spec.team };
    const grounds: Ground[] = [];
    for (const p of candidates) {
      if (!permitted(spec, p, zones)) continue;
      const victims: Victim[] = [];
      for (const [t, o] of replica.openOn(p.id)) {
        const job = replica.jobs.get(o.job)?.value;
        const note = this.#attempts.get(attemptKey(t, o.attempt));
        if (job === undefined || job.cancelledAt !== null || note?.stop != null) continue;
        const { rank, team, needs, saveS } = job.spec;
        if (!mayPreempt(me, { rank: rankOrder(rank), owed: owed.has(o.job), team })) continue;
        // The nearer its own objective, the dearer: else the same young tasks of the same jobs are
        // stopped again and again, each time at little loss, until their job is late.
        const ageS = (timeOfDay() - job.acceptedAt) / 1000;
        const targets = targetsOf(job.spec, this.ctx.settings.objectives, owed.has(o.job));
        const slack = slackS(targets, ageS, this.runS(job.spec));
        const dear = Math.max(0, operators.spareSlackS - slack);
        victims.push({ task: t, needs, lossS: this.#lossS(job, note, now) + saveS + dear });
      }
      if (victims.length > 0) grounds.push({ id: p.id, free: minus(p.capacity, p.use), victims });
    }
    const room = cheapestRoom(spec.needs, grounds, operators.preemptMaxLossS);
    if (room === null) return false;
    const place = candidates.find((p) => p.id === room.machine);
    for (const v of room.victims) {
      const o = replica.openOn(room.machine).get(v.task);
      const job = o === undefined ? undefined : replica.jobs.get(o.job)?.value;
      if (o === undefined || job === undefined) continue;
      this.#stop(attemptKey(v.task, o.attempt), room.machine, "preempted", job.spec.saveS);
      this.counters.preempted++;
      // Its room is on its way: what the newcomer needs of it is taken below.
      if (place !== undefined) place.use = minus(place.use, v.needs);
    }
    if (place !== undefined) occupy(place, spec.needs);
    this.#incoming.set(task, { to: room.machine, until: mono(now + MOVE_MS) });
    effects.call.add(room.machine);
    return true;
  }

  /** The place kept for a task, if it fits there by now; its own keeping is no obstacle. */
  #placeKept(
    task: TaskId,
    spec: JobSpec,
    places: ReadonlyMap<MachineId, Place>,
    zones: ZoneCounts,
  ): Place | null {
    const x = this.#incoming.get(task);
    const place = x === undefined ? undefined : places.get(x.to);
    if (place === undefined || !permitted(spec, place, zones)) return null;
    const without = minus(place.use, spec.needs);
    if (!fits(spec.needs, minus(place.capacity, without))) return null;
    place.use = without;
    this.#incoming.delete(task);
    return place;
  }

  #place(
    share: ShareNo,
    jobs: readonly JobId[],
    written: Map<JobId, Draft>,
    batch: Batch,
    effects: RoundEffects,
    now: Mono,
  ): void {
    const { replica, settings } = this.ctx;
    const all = jobs.flatMap((id) => {
      const job = written.get(id)?.job ?? replica.jobs.get(id)?.value;
      return job === undefined ? [] : [[id, job] as const];
    });
    const owed = owedJobs(all, this.ctx.teams);
    const at = timeOfDay();
    const rates = (replica.types?.value ?? []).map((t) => t.fetchGbPerS);
    const rate = rates.reduce((sum, r) => sum + r, 0) / Math.max(1, rates.length);
    const waiting = all
      .filter(([id, job]) => waitingCount(job) > 0 && (this.#jobs.get(id)?.notBefore ?? 0) <= now)
      .map(([id, job]) => ({
        id,
        job,
        ageS: (at - job.acceptedAt) / 1000,
        leadS: rate > 0 ? job.spec.imageGb / rate : 0,
        runS: this.runS(job.spec),
        owed: owed.has(id),
      }));
    if (waiting.length === 0) return;
    const places = this.#places(share, written, batch);
    if (places.size === 0) return;
    const use = this.#teamUse(written);
    const valueLimit = settings.state.valueKb * 1024 - VALUE_MARGIN;
    for (const w of queueOrder(waiting, settings.objectives)) {
      const { spec } = w.job;
      const team = this.ctx.teams.get(spec.team);
      if (team === undefined) continue;
      const rev = written.get(w.id)?.rev ?? replica.jobs.get(w.id)?.rev;
      if (rev === undefined) continue;
      const failedOn = this.#jobs.get(w.id)?.failedOn;
      const candidates = [...places.values()].filter((p) => !failedOn?.has(p.id));
      const zones = this.#zoneCounts(w.job);
      const open = [...w.job.open];
      const taken = new Set(open.map((o) => o.index));
      const indexes = rangesMissing(w.job.done, spec.tasks, taken, waitingCount(w.job));
      let next = w.job.nextAttempt;
      let used = use.get(spec.team) ?? NOTHING;
      const starts: OpenAttempt[] = [];
      // Each open attempt takes about this much of the record.
      let bytes = JSON.stringify(liveValue(w.job)).length;
      for (const index of indexes) {
        const after = plus(used, spec.needs);
        if (after.cpus > team.cpusMax + 1e-9 || after.gpus > team.gpusMax + 1e-9) break;
        const task = taskId(w.id, index);
        const place =
          this.#placeKept(task, spec, places, zones) ?? choosePlace(spec, candidates, zones);
        if (place !== null) this.#incoming.delete(task);
        if (place === null) {
          if (w.slack > this.ctx.operators.preemptSlackS) break;
          if (this.#incoming.has(task)) continue;
          if (!this.#preempt(task, w, owed, candidates, zones, effects, now)) break;
          continue;
        }
        const attempt: AttemptNo = attemptNo(next);
        bytes += `"${index}:${attempt}:${place.id}",`.length;
        if (bytes > valueLimit) break;
        next++;
        starts.push({ index, attempt, machine: place.id });
        used = after;
        occupy(place, spec.needs);
        zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1);
      }
      if (starts.length === 0) continue;
      const d: Draft = {
        job: { ...w.job, open: [...open, ...starts], nextAttempt: next },
        rev,
      };
      const already = batch.conditions.has(keys.live(w.id));
      if (!already && !this.#room(batch, 1, bytes + 100)) return;
      if (!this.#writeJob(w.id, d, batch)) return;
      written.set(w.id, d);
      use.set(spec.team, used);
      this.counters.starts += starts.length;
      for (const o of starts) effects.call.add(o.machine);
      this.ctx.metrics.record(`start ${spec.jobClass}`, w.ageS * 1000);
      if (this.ctx.log.enabled("debug"))
        this.ctx.log.debug("starts", {
          job: w.id,
          jobClass: spec.jobClass,
          share,
          tasks: spec.tasks,
          starts: starts.length,
          waiting: waitingCount(d.job),
          ageS: Math.round(w.ageS * 10) / 10,
          runS: Math.round(w.runS),
        });
    }
  }

  stats(): Readonly<Record<string, unknown>> {
    const states: Record<string, number> = {};
    for (const s of this.#sessions.values()) states[s.state] = (states[s.state] ?? 0) + 1;
    return { ...this.counters, sessions: states, shares: this.membership.heldShares() };
  }
}
