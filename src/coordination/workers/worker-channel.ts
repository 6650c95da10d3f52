import {
  attemptKey,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type TaskId,
} from "@umberfold/ids";
import {
  commandsBody,
  heartbeatResponseBody,
  parseWorkerStatus,
  redirectBody,
  type TaskStatus,
  type WorkerCommand,
  type WorkerStatus,
} from "../../protocol/workers.js";
import type { MachineRecord } from "../../storage/records.js";
import { keys } from "../../storage/records.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/server.js";
import { socketParts } from "../../transport/sockets.js";
import { rereadKeys } from "../context.js";
import type { MachineSoftState } from "../ownership/machine-soft-state.js";
import { type DesiredAttempt, reconcileCommands } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";
import { hasNoStartInFlight } from "../ownership/start-delivery.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import { assessConnectivity, type Connectivity } from "./connectivity.js";
import { detectMachineFailure, UNANSWERED_CALLS_UNTIL_SILENT } from "./failure-detection.js";

/** How long a direct call to a worker may take. */
const DIRECT_MS = 1200;
/** How late a report may be before its machine is called, and how often that is done. */
const OVERDUE_MS = 300;
const PROBE_EVERY_MS = 1500;
const FIRST_SESSION = 1;
/**
 * So many machines lost within so long are a wave, and more of them are dying: those that were not
 * heard for a part of their period are asked at once, and needn't be silent for as long.
 */
const WAVE_LEAST = 3;
const WAVE_MS = 8000;
const WAVE_OVERDUE_PART = 0.5;
const WAVE_SILENCE_PART = 0.5;
const WATCH_EVERY_MS = 200;
/** Leases without a report after which a machine that answers calls is given up. */
const HEARTBEAT_LEASES = 3;
/** With this part of its machines out of reach, the trouble is the controller's own. */
const UNREACHED_PART = 0.8;
/** Machines asked whether they can be reached again, and what part of them must answer. */
const PROBES = 8;
const PROBES_PART = 0.5;

/** All that is said between a owner and its machines. */
export class WorkerChannel {
  #watchedAt: MonotonicMs = monotonicMs(0);
  readonly #queue: MachineId[] = [];
  #calling = 0;
  #lostAt: MonotonicMs[] = [];
  #connectivity: Connectivity = "connected";
  /** When any machine was last heard, and since when silence counts at all. */
  #heardAt: MonotonicMs = monotonicNow();
  #known = 0;
  /** Calls in flight at a time: dead machines hold theirs for as long as a call may take. */
  readonly #mostCalls: number;

  constructor(
    private readonly owned: ShardState,
    private readonly workers: HttpClient,
  ) {
    const { settings } = owned.ctx;
    const members = settings.seeds.length + 1;
    this.#mostCalls = socketParts(settings.resources.maxSockets, members).workers;
  }

  get connectivity(): Connectivity {
    return this.#connectivity;
  }

  /** Whether machines are heard here; nothing if there are too few to tell. */
  receivesHeartbeats(): boolean | undefined {
    if (this.#known === 0) return undefined;
    return this.#connectivity === "connected";
  }

  /**
   * After a pause or a cut of our own the machines' silence says nothing of them: all that was
   * held against them is dropped, and counted anew from here.
   */
  resetTimers(now: MonotonicMs): void {
    this.#heardAt = now;
    this.#lostAt = [];
    this.#connectivity = "connected";
    for (const id of this.owned.sessions.keys()) {
      this.owned.stepSession(id, { kind: "timers_reset", now });
      this.owned.machineState(id).health.reset();
    }
  }

  /** Whether machines answer a call from here: a few are asked, whoever holds them. */
  async canReachMachines(): Promise<boolean> {
    const { replica, random } = this.owned.ctx;
    const up = [...replica.machines].filter(
      ([id, m]) => m.phase === "up" && m.endpoint !== "" && !replica.isGone(id),
    );
    const asked: string[] = [];
    while (up.length > 0 && asked.length < PROBES) {
      const [row] = up.splice(Math.floor(random() * up.length), 1);
      if (row !== undefined) asked.push(row[1].endpoint);
    }
    const answers = await Promise.all(
      asked.map((e) => this.workers.call(e, "GET", "/status", undefined, DIRECT_MS)),
    );
    return answers.filter((a) => a.kind === "answer").length >= asked.length * PROBES_PART;
  }

  #wantedOn(id: MachineId): ReadonlyMap<TaskId, DesiredAttempt> {
    const { owned } = this;
    const { replica } = owned.ctx;
    const out = new Map<TaskId, DesiredAttempt>();
    const m = replica.machines.get(id);
    if (m === undefined) return out;
    const up =
      m.phase === "up" && !replica.isGone(id) && !owned.heartbeatOverdue(id, monotonicNow());
    const { jobs } = replica.shardJobs(m.shard);
    for (const [task, o] of replica.shardJobs(m.shard).openAttemptsOn(id)) {
      const job = jobs.get(o.job);
      const { key } = o;
      const note = owned.attemptStates.get(key);
      // Nothing of a cancelled job is of use: it stops without saving.
      const stopGraceS =
        job === undefined || job.cancelledAt !== null ? 0 : (note?.stopRequest?.graceS ?? null);
      const startForbidden = owned.terminating.has(key) || !up;
      out.set(task, { task, attempt: o.attempt, stopGraceS, startForbidden });
    }
    return out;
  }

  #startKeys(orders: readonly WorkerCommand[]): readonly string[] {
    return orders.filter((o) => o.op === "start").map((o) => attemptKey(o.task, o.attempt));
  }

  /** POST /agent/beat. A 200 is only given with a token that the worker will accept. */
  handleHeartbeat(body: unknown, adopt: (r: WorkerStatus) => void): HttpResponse {
    const { owned } = this;
    const { ctx, membership } = owned;
    const report = parseWorkerStatus(body);
    if (report === undefined) {
      ctx.log.info("malformed report", {});
      return { status: 400, body: { error: "malformed report" } };
    }
    if (!ctx.synced) return { status: 503, retryAfterS: 1 };
    const { replica, self } = ctx;
    // Cut off while others are served: somebody else holds the machine, or soon will.
    if (!membership.holdsValidLease()) return { status: 421, body: redirectBody(undefined) };
    const m = replica.machines.get(report.machine);
    if (m === undefined) {
      const leader = replica.leader?.value.label;
      if (membership.isLeader()) adopt(report);
      return { status: 421, body: redirectBody(leader === self.label ? undefined : leader) };
    }
    if (!membership.ownsShard(m.shard)) {
      const to = membership.ownerOf(m.shard)?.label;
      return { status: 421, body: redirectBody(to === self.label ? undefined : to) };
    }
    // Proved gone: what it says is late.
    if (replica.isGone(report.machine)) return { status: 503, retryAfterS: 5 };
    const now = monotonicNow();
    const t = owned.fencingTokenOf(m);
    if (report.token > t) {
      // Somebody has a higher token: what we know of this machine is old.
      void rereadKeys(ctx, [keys.shard(m.shard), replica.machinePageOf(report.machine) ?? ""]);
      return { status: 503, retryAfterS: 1 };
    }
    owned.assignToken(report.machine, t, now);
    this.#hear(report, "heartbeat", now);
    const s = owned.sessions.get(report.machine);
    if (s === undefined) return { status: 503, retryAfterS: 1 };
    const orders = s.status === report ? reconcileCommands(s, this.#wantedOn(report.machine)) : [];
    owned.stepSession(report.machine, {
      kind: "heartbeat_answered",
      starts: this.#startKeys(orders),
    });
    return { status: 200, body: heartbeatResponseBody(t, orders) };
  }

  #hear(report: WorkerStatus, via: "heartbeat" | "direct", now: MonotonicMs): void {
    const { owned } = this;
    const before = owned.sessions.get(report.machine);
    const after = owned.stepSession(report.machine, {
      kind: "status_received",
      status: report,
      via,
      now,
    });
    if (after === undefined || after === before) return;
    this.#heardAt = now;
    const note = owned.machineState(report.machine);
    note.health.recordStatus(via, now);
    for (const t of report.tasks) this.#look(report.machine, t, now);
    // A report that says nothing new is no reason for a round.
    if (before !== undefined && sameNews(before, after)) return;
    owned.dirtyMachines.add(report.machine);
    owned.wake();
  }

  #look(machine: MachineId, t: TaskStatus, now: MonotonicMs): void {
    const { owned } = this;
    const { replica } = owned.ctx;
    if (t.phase !== "running") return;
    const key = attemptKey(t.task, t.attempt);
    if (owned.attemptStates.get(key)?.runningSince != null) return;
    const o = replica.openAttemptsOn(machine).get(t.task);
    if (o === undefined || o.attempt !== t.attempt) return;
    const job = replica.accepted.get(o.job)?.value;
    if (job === undefined) return;
    owned.attemptState(key, machine).markRunning(now);
    owned.ctx.metrics.record(`begin ${job.spec.jobClass}`, wallClockNow() - job.acceptedAt);
    const type = replica.machines.get(machine)?.type;
    const cache = replica.machineTypes?.value.find((x) => x.name === type)?.cacheGb ?? 0;
    owned.machineState(machine).images.recordUse(job.spec.image, job.spec.imageGb, cache);
  }

  /**
   * Sends a machine what it should do, straight to its address: one call at a time, and not too
   * many at once, or a user's request waits behind all the answers of a takeover.
   */
  callMachine(id: MachineId, first = false): void {
    if (!this.owned.machineState(id).call.request(monotonicNow())) return;
    if (first) this.#queue.unshift(id);
    else this.#queue.push(id);
    this.#callNext();
  }

  #callNext(): void {
    while (this.#calling < this.#mostCalls) {
      const id = this.#queue.shift();
      if (id === undefined) return;
      const note = this.owned.machineState(id);
      this.#calling++;
      this.#callOnce(id, note)
        .catch((e) => this.owned.ctx.log.error("call failed", { machine: id, error: String(e) }))
        .finally(() => {
          this.#calling--;
          if (note.call.end()) this.callMachine(id);
          this.#callNext();
        });
    }
  }

  async #callOnce(id: MachineId, note: MachineSoftState): Promise<void> {
    const { owned } = this;
    const { replica } = owned.ctx;
    const s = owned.sessions.get(id);
    const m = replica.machines.get(id);
    if (s === undefined || m === undefined || replica.isGone(id)) return;
    const endpoint = s.status?.endpoint ?? m.endpoint;
    if (endpoint === "") return;
    note.call.markSent(monotonicNow());
    if (s.status === undefined) {
      // The session is unknown, but most are in their first: if so, one call shows it our token;
      // if not, the refusal tells the session.
      const body = commandsBody(s.token, FIRST_SESSION, []);
      const r = await this.workers.call(endpoint, "POST", "/orders", body, DIRECT_MS);
      if (ownFault(r)) return;
      this.#directReport(id, note, r.kind === "answer" ? r.body : undefined);
      if (owned.sessions.get(id)?.state === "fencing") note.call.repeat();
      return;
    }
    const orders = reconcileCommands(s, this.#wantedOn(id));
    if (s.state === "ready" && orders.length === 0) {
      const r = await this.workers.call(endpoint, "GET", "/status", undefined, DIRECT_MS);
      if (ownFault(r)) return;
      this.#directReport(id, note, r.kind === "answer" ? r.body : undefined);
      return;
    }
    const starts = this.#startKeys(orders);
    owned.stepSession(id, { kind: "command_sent", starts });
    const body = commandsBody(s.token, s.status.epoch, orders);
    const r = await this.workers.call(endpoint, "POST", "/orders", body, DIRECT_MS);
    if (r.kind === "unsent") owned.stepSession(id, { kind: "command_not_sent", starts });
    else if (r.kind === "lost" || (r.status !== 200 && r.status !== 409 && r.status !== 400))
      owned.stepSession(id, { kind: "command_lost", starts });
    else {
      // 409 and 400: nothing was executed.
      owned.stepSession(id, {
        kind: r.status === 200 ? "command_answered" : "command_not_sent",
        starts,
      });
      this.#directReport(id, note, r.body);
      // It has shown our token just now: what waited for that goes at once.
      const now = owned.sessions.get(id);
      if (s.state === "fencing" && now?.state === "ready")
        if (reconcileCommands(now, this.#wantedOn(id)).length > 0) note.call.repeat();
      return;
    }
    if (!ownFault(r)) this.#callFailed(id, note);
  }

  #callFailed(id: MachineId, note: MachineSoftState): void {
    note.health.recordFailedCall(note.call.lastCallAt);
    this.owned.dirtyMachines.add(id);
    this.owned.wake();
  }

  #directReport(id: MachineId, note: MachineSoftState, body: unknown): void {
    const { owned } = this;
    const { replica } = owned.ctx;
    const report = parseWorkerStatus(body);
    if (report === undefined || report.machine !== id) {
      this.#callFailed(id, note);
      return;
    }
    note.health.recordAnsweredCall();
    const s = owned.sessions.get(id);
    if (s === undefined) return;
    if (report.token > s.token) {
      const m = replica.machines.get(id);
      if (m !== undefined)
        void rereadKeys(owned.ctx, [keys.shard(m.shard), replica.machinePageOf(id) ?? ""]);
      return;
    }
    this.#hear(report, "direct", monotonicNow());
  }

  /** Reports come with up to a quarter of delay; one that is later than that is asked for. */
  #worthAsking(
    s: WorkerSession,
    m: MachineRecord,
    note: MachineSoftState,
    overdue: boolean,
    now: MonotonicMs,
  ): boolean {
    const claim = s.state === "fencing" || (s.state === "unknown" && m.endpoint !== "");
    const asked = overdue || claim || note.health.unreachableCalls > 0;
    return asked && now - note.call.lastCallAt >= PROBE_EVERY_MS;
  }

  /**
   * Silent machines are called; those that don't answer either are silent. One that reports but
   * never answers a call is unreachable: what it says proves no way to it, and it is of no use.
   * Both are proved gone by returning them. A controller that reaches hardly any of its machines must not
   * take its own trouble for theirs.
   */
  detectFailures(now: MonotonicMs): void {
    if (now - this.#watchedAt < WATCH_EVERY_MS) return;
    this.#watchedAt = now;
    const { owned } = this;
    const { operators, settings, replica, log, loopLag } = owned.ctx;
    // What this process has not read yet is nobody's silence.
    const judgedAt = loopLag.readUpTo(now);
    const reportMs = settings.workers.reportS * 1000;
    const silenceMs = operators.silenceS * 1000;
    const heartbeatMs = settings.workers.leaseS * 1000 * HEARTBEAT_LEASES + reportMs;
    const lost: { id: MachineId; why: string; quietMs: number }[] = [];
    let known = 0;
    let unreached = 0;
    this.#lostAt = this.#lostAt.filter((at) => now - at < WAVE_MS);
    const wave = this.#lostAt.length >= WAVE_LEAST;
    const overdueMs = reportMs * (wave ? WAVE_OVERDUE_PART : 1.25);
    const patienceMs = silenceMs * (wave ? WAVE_SILENCE_PART : 1);
    for (const [id, s] of owned.sessions) {
      const m = replica.machines.get(id);
      if (m === undefined || replica.isGone(id)) continue;
      const note = owned.machineState(id);
      const quietMs = judgedAt - s.lastHeardAt;
      if (this.#worthAsking(s, m, note, quietMs > overdueMs + OVERDUE_MS, now))
        this.callMachine(id);
      if (m.endpoint === "" && s.status === undefined) continue;
      if (note.departure.decommission?.force === true || m.phase !== "up") continue;
      known++;
      const unanswered = note.health.failedCalls > 0 && quietMs > reportMs;
      if (unanswered || note.health.unreachableCalls >= UNANSWERED_CALLS_UNTIL_SILENT) unreached++;
      if (s.status !== undefined) note.health.expectHeartbeats(now);
      const why = detectMachineFailure(note, quietMs, judgedAt, {
        silenceMs,
        patienceMs,
        heartbeatMs,
      });
      if (why !== undefined) lost.push({ id, why, quietMs });
    }
    // With the first machines held there was nobody to be heard before.
    if (this.#known === 0) this.#heardAt = now;
    this.#known = known;
    this.#connectivity = assessConnectivity({
      known,
      quietMs: judgedAt - this.#heardAt,
      mostUnreached: unreached >= known * UNREACHED_PART,
      reportMs,
      silenceMs,
      leaseMs: settings.workers.leaseS * 1000,
    });
    if (this.#connectivity === "suspect" || this.#connectivity === "disconnected") return;
    for (const l of lost) {
      owned.stepSession(l.id, { kind: "became_unresponsive" });
      log.info(`machine ${l.why}`, { machine: l.id, quietMs: Math.round(l.quietMs) });
      owned.machineState(l.id).departure.step({ kind: "decommission_forced", reason: l.why });
      owned.dirtyMachines.add(l.id);
      this.#lostAt.push(now);
    }
  }
}

/** A call that never went out for want of a socket or a turn here says nothing of the machine. */
const ownFault = (r: CallResult): boolean => r.kind === "unsent" && r.own === true;

/** Two states of a session that lead to the same decisions. */
const sameNews = (a: WorkerSession, b: WorkerSession): boolean => {
  if (
    a.state !== b.state ||
    a.token !== b.token ||
    a.startDeliveries.size !== b.startDeliveries.size
  )
    return false;
  if (!hasNoStartInFlight(a) || a.tasks.size !== b.tasks.size) return false;
  if (a.status === undefined || a.status.epoch !== b.status?.epoch) return false;
  if (a.status.preemptionNoticeS !== b.status.preemptionNoticeS) return false;
  for (const [task, x] of a.tasks) {
    const y = b.tasks.get(task);
    if (y?.attempt !== x.attempt || y.phase !== x.phase) return false;
  }
  return true;
};
