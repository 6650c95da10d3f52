import { type MachineId, type Mono, mono, revision } from "../protocol/ids.js";
import type { MoveRequest } from "../protocol/peer.js";
import type { Report } from "../protocol/workers.js";
import { absorb, type Context, refresh } from "../service/context.js";
import { classify } from "../storage/records.js";
import type { Calls } from "../transport/client.js";
import { steadyNow } from "../transport/clock.js";
import type { Answer } from "../transport/server.js";
import { Batch } from "./batch.js";
import { closeAttempts, type ShareRound } from "./closing.js";
import { Held } from "./held.js";
import { MachineRecords } from "./machines.js";
import type { Membership } from "./membership.js";
import { PlacementRound } from "./placement-round.js";
import { swarmPeriod } from "./swarm-period.js";
import { WorkerDealings } from "./workers.js";

/** How long a request of the leader's stands. */
const MOVE_MS = 10_000;
/** How often all open attempts are looked at, whether or not anything was heard of them. */
const SWEEP_MS = 1000;
/** How long ends of tasks may wait for company, if nothing else is to be written. */
const LAZY_MS = 700;
/** A round is decided once this many changes may be written; a larger one is paid off after. */
const LEAST_WRITES = 2;

/** How soon to look again whether the watch has come as far as what was read by itself. */
const CATCH_UP_MS = 25;
const PAGES: ReadonlySet<string> = new Set(["work", "fleet"]);

/** What to do after a round: another at once, one after a pause, or one when something happens. */
export type Next = "again" | "idle" | { readonly pauseMs: number };

/** Runs the shares held here, in rounds: look, decide, commit, send. */
export class Holder {
  readonly held: Held;
  readonly dealings: WorkerDealings;
  readonly #records: MachineRecords;
  #committing = false;
  #swarmAt: Mono = steadyNow();
  #sweptAt: Mono = mono(Number.NEGATIVE_INFINITY);
  #turn = 0;
  #lazySince: Mono | undefined;
  /** Nothing is decided before the watch has told everything up to here. */
  #catchUp = revision(0);

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    workers: Calls,
    wake: () => void,
  ) {
    this.held = new Held(ctx, membership, wake);
    this.dealings = new WorkerDealings(this.held, workers);
    this.#records = new MachineRecords(this.held);
  }

  beat(body: unknown, adopt: (r: Report) => void): Answer {
    this.look();
    return this.dealings.beat(body, adopt);
  }

  /**
   * Called wherever something begins. After this process stood still it holds nobody's silence
   * against him, and acts on nothing until the state service has shown what it still holds.
   */
  look(): void {
    const now = steadyNow();
    const pauseMs = this.ctx.awake.look(now);
    if (pauseMs === 0) return;
    this.ctx.log.info("stood still", { forMs: Math.round(pauseMs) });
    this.membership.woke();
    this.dealings.startAnew(now);
  }

  // ---- Requests of the leader ---------------------------------------------------------------

  requestMove(m: MoveRequest): void {
    if (!this.held.sessions.has(m.machine)) return;
    const until = mono(steadyNow() + MOVE_MS);
    this.held.note(m.machine).move = { to: m.to, vacate: m.vacate, until };
    this.held.wake();
  }

  /** Without a reason it is surplus, and goes once it is empty; else it is lost, and goes at once. */
  requestRetire(id: MachineId, reason?: string): void {
    if (!this.held.sessions.has(id)) return;
    const note = this.held.note(id);
    if (reason !== undefined && reason !== "") note.retire = { reason, force: true };
    else note.retire ??= { reason: "surplus", force: false };
    this.held.wake();
  }

  // ---- Rounds -------------------------------------------------------------------------------

  async round(): Promise<Next> {
    this.look();
    if (this.#committing || !this.ctx.synced || !this.membership.entitled()) return "idle";
    this.#committing = true;
    try {
      return await this.#round();
    } finally {
      this.#committing = false;
      this.held.closing.clear();
    }
  }

  async #round(): Promise<Next> {
    const { ctx, held } = this;
    const now = steadyNow();
    held.sync(now);
    this.dealings.watchSilence(now);
    const shares = this.membership.heldShares();
    if (shares.length === 0) return "idle";
    if (this.ctx.replica.position < this.#catchUp) return { pauseMs: CATCH_UP_MS };
    const pauseMs = ctx.store.writeWaitMs(LEAST_WRITES);
    if (pauseMs > 0) return { pauseMs };
    for (const [task, x] of held.incoming) if (x.until <= now) held.incoming.delete(task);
    this.#heedNotices(now);
    // What is stopped to make room could not be started again while nothing can be written.
    const writes = !ctx.store.failing();
    if (writes) this.#vacate(now);
    if (writes && now - this.#swarmAt >= ctx.operators.swarmPeriodS * 1000) {
      this.#swarmAt = now;
      for (const share of shares) swarmPeriod(held, share, now);
    }
    const { batch, call, closedKeys, looked } = this.#decide(shares, now);
    const callAll = (): void => {
      for (const id of call) this.dealings.callMachine(id, true);
    };
    if (batch.empty) {
      callAll();
      return "idle";
    }
    // Ends alone are not waited for by anybody: they gather until a start or a second comes along.
    if (!batch.pressing) {
      this.#lazySince ??= now;
      const waitMs = LAZY_MS - (now - this.#lazySince);
      if (waitMs > 0) {
        for (const id of looked) held.disturbed.add(id);
        callAll();
        return { pauseMs: waitMs };
      }
    }
    this.#lazySince = undefined;
    const t = batch.txn();
    if (!ctx.store.mayWriteBatch(t.ops.length, LEAST_WRITES)) {
      for (const id of looked) held.disturbed.add(id);
      return { pauseMs: ctx.store.writeWaitMs(LEAST_WRITES) };
    }
    this.#records.nextNames();
    const began = steadyNow();
    const r = await ctx.store.settle(t, () => ctx.stopping);
    ctx.metrics.record("commit", steadyNow() - began);
    if (r.kind === "applied") {
      absorb(ctx.replica, t.ops, r.rev);
      for (const key of closedKeys) held.attempts.delete(key);
      held.counters.commits++;
      held.counters.puts += t.ops.length;
      held.sync(steadyNow());
      callAll();
      return "again";
    }
    held.counters.conflicts++;
    for (const id of looked) held.disturbed.add(id);
    ctx.log.debug("round not applied", { result: r.kind, ops: t.ops.length });
    const failed = r.kind === "conflict" ? r.failed : [];
    // Its own first copy was applied, most likely, without an answer. Keys read one by one are of
    // different moments: a job or a machine that went from one page to another in that write could
    // be seen in neither, and what it has open be taken for nothing.
    const pages = failed.filter((key) => PAGES.has(classify(key).kind));
    await refresh(ctx, failed.length > 0 ? failed : t.conditions.map((c) => c.key));
    for (const key of pages)
      this.#catchUp = revision(Math.max(this.#catchUp, ctx.replica.rev(key)));
    return "again";
  }

  #decide(shares: readonly ReturnType<Membership["heldShares"]>[number][], now: Mono) {
    const { ctx, held } = this;
    const { replica, settings } = ctx;
    const batch = new Batch(replica, { ...settings.state, size: settings.size });
    const call = new Set<MachineId>();
    const closedKeys: string[] = [];
    const sweep = now - this.#sweptAt >= SWEEP_MS;
    if (sweep) this.#sweptAt = now;
    this.#disturbRewritten();
    const looked = new Set(sweep ? held.sessions.keys() : held.disturbed);
    held.disturbed.clear();
    // Each has its turn at being first, for the batch may be full before the last.
    this.#turn = (this.#turn + 1) % shares.length;
    for (let i = 0; i < shares.length; i++) {
      const share = shares[(i + this.#turn) % shares.length];
      if (share === undefined) continue;
      const round: ShareRound = {
        share,
        batch,
        now,
        call,
        closedKeys,
        drafts: new Map(),
        closed: new Map(),
      };
      const own = [...looked].filter((id) => replica.machines.get(id)?.share === share);
      // What frees resources and ends jobs goes first, then machines, then starts.
      closeAttempts(held, round, own);
      const edited = this.#records.tend(round);
      if (PlacementRound.needed(held, round)) new PlacementRound(held, round, edited).run();
    }
    return { batch, call, closedKeys, looked };
  }

  /** Machines with attempts of jobs that were cancelled, and those proved gone, are looked at now. */
  #disturbRewritten(): void {
    const { replica } = this.ctx;
    const { disturbed, sessions } = this.held;
    for (const id of replica.rewrittenJobs)
      for (const o of replica.job(id)?.open ?? [])
        if (sessions.has(o.machine)) disturbed.add(o.machine);
    for (const id of replica.goneLately) if (sessions.has(id)) disturbed.add(id);
    replica.rewrittenJobs.clear();
    replica.goneLately.clear();
  }

  /** The cloud takes a machine away: what can't end in time is saved, or started elsewhere now. */
  #heedNotices(now: Mono): void {
    const { held } = this;
    const { replica } = this.ctx;
    for (const [id, s] of held.sessions) {
      const noticeS = s.report?.noticeS ?? null;
      if (noticeS === null || s.state !== "ready") continue;
      const leftS = noticeS - (now - s.heardAt) / 1000;
      for (const o of replica.openOn(id).values()) {
        const job = replica.accepted.get(o.job)?.value;
        if (job === undefined) continue;
        const { key } = o;
        const note = held.attemptNote(key, id);
        const ranS = note.runningSince === null ? 0 : (now - note.runningSince) / 1000;
        // The nominal notice may be half of the true one, and estimates are often half wrong.
        const ends = note.runningSince !== null && job.spec.expectS - ranS < leftS / 2;
        if (job.spec.checkpointS > 0 || !ends)
          held.stop(key, id, "notice", job.spec.saveS < leftS ? job.spec.saveS : 0);
      }
      held.note(id).retire ??= { reason: "notice", force: false };
    }
  }

  /** Machines that the leader wants for urgent work of another share are cleared for it. */
  #vacate(now: Mono): void {
    const { held } = this;
    const { replica } = this.ctx;
    for (const [id, note] of held.machines) {
      if (note.move === null) continue;
      if (note.move.until <= now) note.move = null;
      else if (note.move.vacate)
        for (const o of replica.openOn(id).values()) {
          const saveS = replica.accepted.get(o.job)?.value.spec.saveS ?? 0;
          const { key } = o;
          if (!held.attempts.get(key)?.stop) held.counters.preempted++;
          held.stop(key, id, "preempted", saveS);
        }
    }
  }

  stats(): Readonly<Record<string, unknown>> {
    return this.held.stats();
  }
}
