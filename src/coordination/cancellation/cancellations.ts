import {
  attemptKey,
  type ControllerLabel,
  type JobId,
  type MachineId,
  type MonotonicMs,
  type TaskId,
  taskId,
} from "@umberfold/ids";
import { MAX_RETURNS_PER_CALL, returnBody } from "../../protocol/cloud.js";
import {
  type CancellationNotice,
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
} from "../../protocol/peer.js";
import { commandsBody, parseWorkerStatus, type WorkerStatus } from "../../protocol/workers.js";
import { encodeAcceptedJob, keys, type OpenAttempt } from "../../storage/records.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow, sleep, wallClockNow } from "../../transport/clock.js";
import { type ControllerContext, peerAddress } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { observeAttempt } from "../ownership/attempt-observation.js";
import type { ShardOwner } from "../rounds/shard-owner.js";

/** How long a confirmation may wait for the watch and for the owner; then the user asks again. */
const CONFIRM_MS = 900;
const POSITION_MS = 20;
const NOTICE_MS = 600;
/** PeerAnswers in one message; more go into the next. */
const NOTICES_A_MESSAGE = 500;
/** Confirmations remembered, so that a later question about the job need not ask the owner again. */
const TOLD_KEPT = 20_000;
/** A machine that still holds a cancelled task is called again after this long. */
const AGAIN_MS = 1000;
const CALL_MS = 1200;
const CLOUD_MS = 5000;
/** Machines of another owner asked at a time. */
const MOST_ASKED = 16;
/** While another owner answers for its cancelled tasks it is not asked about the job again. */
const ANSWERS_MS = 3000;
/**
 * Parts of `cancel_s`. From the first on a machine on which a cancelled task isn't proved gone is to
 * be returned; from the second on whoever knows of it returns it by a call of its own, which needs
 * neither a record nor a leader. While nothing can be written there is no use in waiting for that.
 */
const RETIRE_PART = 0.4;
const FORCE_RETURN_PART = 0.65;
/** From this part on the other controllers look after tasks whose owner doesn't answer. */
const OTHERS_PART = 0.5;
/** A machine taken over lately has this long to show what it holds, unless time runs out. */
const SHOW_MS = 4000;
const LAST_PART = 0.85;

export type CancellationAction = "none" | "stop" | "decommission" | "force_return";

export interface CancellationView {
  /** It is proved that the task is not on the machine and can't start there any more. */
  readonly gone: boolean;
  readonly ageMs: number;
  readonly cancelMs: number;
  /** Nothing can be written: a record can't bring the machine's return about. */
  readonly failing: boolean;
  /** For how long the machine has been held without showing what it holds; null: it has shown it. */
  readonly unshownMs: number | null;
}

/** What an open attempt of a cancelled job calls for. */
export const decideCancellationAction = (v: CancellationView): CancellationAction => {
  if (v.gone) return "none";
  const part = v.ageMs / v.cancelMs;
  if (part < RETIRE_PART) return "stop";
  // The owner before may have ended all of it; the machine tells as soon as it is asked.
  const hurry = part >= LAST_PART && part < 1;
  if (v.unshownMs !== null && v.unshownMs < SHOW_MS && !hurry) return "stop";
  return v.failing || part >= FORCE_RETURN_PART ? "force_return" : "decommission";
};

/** PeerAnswers on their way to one other controller: one message at a time, all that waits in the next. */
interface Outbox {
  readonly waiting: Map<
    JobId,
    { readonly notice: CancellationNotice; readonly done: ((ok: boolean) => void)[] }
  >;
  sending: boolean;
}

/**
 * Cancellations, from the record to the proof that nothing of the job is left. A user is told
 * `cancelled` once the controller that answers the workers of the job's shard has acknowledged it,
 * or is this one: then it is held to whether or not the state service can be reached afterwards.
 * (One that was refused alone never heard of them, and renewed its workers' leases through the
 * outage that followed.)
 */
export class Cancellations {
  readonly #told = new Set<JobId>();
  readonly #asking = new Map<JobId, Promise<boolean>>();
  readonly #outboxes = new Map<ControllerLabel, Outbox>();
  /** Machines that a call of ours returned. Their records follow by the ordinary way. */
  readonly #forceReturned = new Set<MachineId>();
  #taking = false;
  #seeing = false;
  /** When a owner last answered for a job's tasks. */
  readonly #answeredFor = new Map<JobId, MonotonicMs>();
  readonly counters = {
    confirmed: 0,
    unconfirmed: 0,
    notices: 0,
    forceReturned: 0,
    stoppedForOthers: 0,
  };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly cloud: HttpClient,
    private readonly peers: HttpClient,
    private readonly workers: HttpClient,
  ) {}

  // ---- Telling the user ---------------------------------------------------------------------

  /**
   * Whether a user may be told that the job is cancelled, as its record at `rev` says. False: not
   * yet, the user asks again.
   */
  confirm(notice: CancellationNotice): Promise<boolean> {
    if (this.#told.has(notice.job)) return Promise.resolve(true);
    const known = this.#asking.get(notice.job);
    if (known !== undefined) return known;
    const asked = this.#confirm(notice).finally(() => this.#asking.delete(notice.job));
    this.#asking.set(notice.job, asked);
    return asked;
  }

  async #confirm(notice: CancellationNotice): Promise<boolean> {
    const { settings, replica, self } = this.ctx;
    const until = monotonicNow() + CONFIRM_MS;
    this.receiveNotices([notice]);
    // All are told, so that whoever is left looks after it; the owner's acknowledgment is what counts.
    const acks = new Map(
      settings.seeds.map((s) => [s.label, this.#tell(s.label, notice)] as const),
    );
    // Whoever takes the shard after this revision has read the record before it acts on it. Who
    // took it before is known here once the watch has come to it.
    while (replica.syncedRevision < notice.rev) {
      if (monotonicNow() >= until) return this.#count(false);
      await sleep(POSITION_MS);
    }
    const shard = replica.shardOf(notice.job);
    const label = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (label === undefined) return this.#count(false);
    const sure = label === self.label || (await (acks.get(label) ?? false));
    if (sure) this.#remember(notice.job);
    return this.#count(sure);
  }

  #count(ok: boolean): boolean {
    this.counters[ok ? "confirmed" : "unconfirmed"]++;
    return ok;
  }

  #remember(id: JobId): void {
    const oldest = this.#told.size >= TOLD_KEPT ? this.#told.keys().next().value : undefined;
    if (oldest !== undefined) this.#told.delete(oldest);
    this.#told.add(id);
  }

  // ---- Notices between controllers -----------------------------------------------------------

  /** True once the other controller has acknowledged it; false if it didn't in a short time. */
  #tell(to: ControllerLabel, notice: CancellationNotice): Promise<boolean> {
    let box = this.#outboxes.get(to);
    if (box === undefined) {
      box = { waiting: new Map(), sending: false };
      this.#outboxes.set(to, box);
    }
    const row = box.waiting.get(notice.job) ?? { notice, done: [] };
    box.waiting.set(notice.job, row);
    const answer = new Promise<boolean>((resolve) => row.done.push(resolve));
    void this.#send(to, box);
    return answer;
  }

  async #send(to: ControllerLabel, box: Outbox): Promise<void> {
    if (box.sending) return;
    box.sending = true;
    const address = peerAddress(this.ctx.settings, to);
    while (box.waiting.size > 0) {
      const rows = [...box.waiting.values()].slice(0, NOTICES_A_MESSAGE);
      for (const r of rows) box.waiting.delete(r.notice.job);
      const cancelled = rows.map((r) => r.notice);
      const payload = encodePeerMessage({
        ...EMPTY_PEER_MESSAGE,
        from: this.ctx.self.label,
        cancelled,
      });
      this.counters.notices += rows.length;
      const r =
        address === undefined
          ? undefined
          : await this.peers.callRaw(address, "POST", "/peer", payload, NOTICE_MS);
      const ok = r?.kind === "answer" && r.status === 204;
      for (const row of rows) for (const done of row.done) done(ok);
    }
    box.sending = false;
  }

  /**
   * Takes notices of cancellations in as if the watch had told of them, and stops their tasks at once:
   * that needs no write. A notice of a job that is not known changes nothing: nothing of it can have
   * been started from here, and what starts it later must name its record's revision.
   */
  receiveNotices(notices: readonly CancellationNotice[]): void {
    const { replica } = this.ctx;
    for (const w of notices) {
      const a = replica.accepted.get(w.job);
      if (a === undefined) continue;
      if (a.rev < w.rev && a.value.cancelledAt === null) {
        const value = encodeAcceptedJob({ ...a.value, cancelledAt: w.at });
        replica.apply({ kind: "put", key: keys.live(w.job), value, rev: w.rev });
      }
      this.#stop(w.job);
    }
    if (notices.length > 0) this.owner.state.wake();
  }

  #stop(id: JobId): void {
    const { state, channel } = this.owner;
    for (const o of this.ctx.replica.job(id)?.open ?? [])
      if (state.sessions.has(o.machine)) channel.callMachine(o.machine, true);
  }

  // ---- Until nothing is left ----------------------------------------------------------------

  /** Looks after all cancelled jobs: stops, and in the end machines, with or without records. */
  async reconcile(): Promise<void> {
    const { ctx } = this;
    if (!ctx.synced) return;
    const cancelMs = ctx.settings.workers.cancelS * 1000;
    const away = new Set<MachineId>();
    const others: { id: JobId; notice: CancellationNotice; ageMs: number }[] = [];
    for (const [id, { value: a, rev }] of ctx.replica.accepted) {
      if (a.cancelledAt === null) continue;
      const ageMs = wallClockNow() - a.cancelledAt;
      const shard = ctx.replica.shardOf(id);
      if (shard !== undefined && this.membership.ownsShard(shard)) this.#tendOwn(id, ageMs, away);
      else if (ctx.store.isFailing() && ageMs >= cancelMs * OTHERS_PART)
        others.push({ id, notice: { job: id, rev, at: a.cancelledAt }, ageMs });
    }
    if (others.length > 0) void this.#seeThrough(others);
    if (away.size > 0) void this.#takeAway([...away]);
  }

  #tendOwn(id: JobId, ageMs: number, away: Set<MachineId>): void {
    const { state, channel } = this.owner;
    const { replica, settings, store } = this.ctx;
    const now = monotonicNow();
    for (const o of replica.job(id)?.open ?? []) {
      const s = state.sessions.get(o.machine);
      if (s === undefined || replica.isGone(o.machine) || this.#forceReturned.has(o.machine))
        continue;
      const found = observeAttempt(s, taskId(id, o.index), o.attempt);
      const step = decideCancellationAction({
        gone:
          found.kind === "absent" || (found.kind === "present" && found.report.phase === "ended"),
        ageMs,
        cancelMs: settings.workers.cancelS * 1000,
        failing: store.isFailing(),
        unshownMs: s.state === "unknown" || s.state === "fencing" ? now - s.lastHeardAt : null,
      });
      if (step === "none") continue;
      const note = state.machineState(o.machine);
      if (now - note.call.lastCallAt >= AGAIN_MS) channel.callMachine(o.machine, true);
      if (step === "stop") continue;
      if (note.departure.decommission?.force !== true) {
        note.departure.step({ kind: "decommission_forced", reason: "cancelled task stays" });
        state.dirtyMachines.add(o.machine);
        state.wake();
      }
      if (step === "force_return") away.add(o.machine);
    }
  }

  /**
   * Returns machines by a call of its own. Harmless to repeat: names that are unknown are ignored.
   * The 200 proves that they are gone; the records catch up by the ordinary way.
   */
  async #takeAway(all: readonly MachineId[]): Promise<void> {
    const ids = all.filter((id) => !this.#forceReturned.has(id)).slice(0, MAX_RETURNS_PER_CALL);
    if (this.#taking || ids.length === 0) return;
    this.#taking = true;
    try {
      const { settings, log } = this.ctx;
      const r = await this.cloud.call(
        settings.cloudAddress,
        "POST",
        "/machines/return",
        returnBody(ids),
        CLOUD_MS,
      );
      const done = r.kind === "answer" && r.status === 200;
      log.info("returned for cancelled tasks", { machines: ids, done });
      if (!done) return;
      this.counters.forceReturned += ids.length;
      for (const id of ids) this.#forceReturned.add(id);
    } finally {
      this.#taking = false;
    }
  }

  // ---- Tasks whose owner doesn't answer, while nothing can be written -----------------------

  /**
   * The owner may have ended, or be out of reach, after it acknowledged. Nobody can take its shard
   * in an outage, so the others stop its cancelled tasks under the token that the machine shows: a
   * command of an equal token is accepted from anyone. Tokens, forgetting and closing stay the
   * owner's.
   */
  async #seeThrough(
    rows: readonly {
      readonly id: JobId;
      readonly notice: CancellationNotice;
      readonly ageMs: number;
    }[],
  ): Promise<void> {
    if (this.#seeing) return;
    this.#seeing = true;
    try {
      const now = monotonicNow();
      for (const id of this.#answeredFor.keys())
        if (!this.ctx.replica.accepted.has(id)) this.#answeredFor.delete(id);
      const asked = await Promise.all(
        rows
          .filter(
            (r) => now - (this.#answeredFor.get(r.id) ?? Number.NEGATIVE_INFINITY) > ANSWERS_MS,
          )
          .map(async (r) => ((await this.#ownerAnswers(r.notice)) ? undefined : r)),
      );
      const byMachine = new Map<MachineId, { tasks: [TaskId, OpenAttempt][]; ageMs: number }>();
      for (const r of asked) {
        if (r === undefined) continue;
        for (const o of this.ctx.replica.job(r.id)?.open ?? []) {
          const m = byMachine.get(o.machine) ?? { tasks: [], ageMs: 0 };
          m.tasks.push([taskId(r.id, o.index), o]);
          m.ageMs = Math.max(m.ageMs, r.ageMs);
          byMachine.set(o.machine, m);
        }
      }
      const queue = [...byMachine];
      const away: MachineId[] = [];
      const cancelMs = this.ctx.settings.workers.cancelS * 1000;
      const work = async (): Promise<void> => {
        for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
          const [id, m] = next;
          if (this.ctx.replica.isGone(id) || this.#forceReturned.has(id)) continue;
          if (await this.#stopThere(id, m.tasks)) continue;
          if (m.ageMs >= cancelMs * FORCE_RETURN_PART) away.push(id);
        }
      };
      await Promise.all(Array.from({ length: MOST_ASKED }, work));
      // Still nobody else's to write about: had the state service come back, its records decide.
      if (this.ctx.store.isFailing()) await this.#takeAway(away);
    } finally {
      this.#seeing = false;
    }
  }

  async #ownerAnswers(notice: CancellationNotice): Promise<boolean> {
    const shard = this.ctx.replica.shardOf(notice.job);
    const label = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (label === undefined || label === this.ctx.self.label) return false;
    const ok = await this.#tell(label, notice);
    if (ok) this.#answeredFor.set(notice.job, monotonicNow());
    return ok;
  }

  /** Whether none of these tasks is on the machine, after telling it to stop them. */
  async #stopThere(
    id: MachineId,
    tasks: readonly (readonly [TaskId, OpenAttempt])[],
  ): Promise<boolean> {
    const endpoint = this.ctx.replica.machines.get(id)?.endpoint ?? "";
    if (endpoint === "") return false;
    const wanted = new Set(tasks.map(([task, o]) => attemptKey(task, o.attempt)));
    const left = (r: WorkerStatus) =>
      r.tasks.filter((t) => t.phase !== "ended" && wanted.has(attemptKey(t.task, t.attempt)));
    const asked = await this.#ask(id, endpoint, "GET", "/status");
    if (asked === undefined) return false;
    const there = left(asked);
    if (there.length === 0) return true;
    const stops = there.map(
      ({ task, attempt }) => ({ op: "stop", task, attempt, graceS: 0 }) as const,
    );
    const body = commandsBody(asked.token, asked.epoch, stops);
    const after = await this.#ask(id, endpoint, "POST", "/orders", body);
    if (after === undefined || left(after).length > 0) return false;
    this.counters.stoppedForOthers += there.length;
    return true;
  }

  async #ask(
    id: MachineId,
    endpoint: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<WorkerStatus | undefined> {
    const r = await this.workers.call(endpoint, method, path, body, CALL_MS);
    const report = r.kind === "answer" ? parseWorkerStatus(r.body) : undefined;
    return report?.machine === id ? report : undefined;
  }

  stats(): Readonly<Record<string, unknown>> {
    return { ...this.counters };
  }
}
