import { type MachineId, type Mono, mono, revision } from "@umberfold/ids";
import type { MoveRequest } from "../../protocol/peer.js";
import type { Txn } from "../../protocol/store.js";
import type { Report } from "../../protocol/workers.js";
import { classify } from "../../storage/records.js";
import { Batch } from "../../storage/transaction-batch.js";
import type { Calls } from "../../transport/client.js";
import { steadyNow } from "../../transport/clock.js";
import type { Answer } from "../../transport/server.js";
import { absorb, type Context, refresh } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { ShardState } from "../ownership/shard-state.js";
import { WorkerChannel } from "../workers/worker-channel.js";
import { closeAttempts, endDueJobs, newShardRound } from "./attempt-termination.js";
import { drainRequested, handleSpotNotices } from "./evictions.js";
import { MachineRecords } from "./machine-record-phase.js";
import { MachineSweep } from "./machine-sweep.js";
import { PlacementRound } from "./placement-phase.js";
import { swarmPeriod } from "./swarm-phase.js";

/** How long a request of the leader's stands. */
const MOVE_MS = 10_000;
/** How long ends of tasks may wait for company, if nothing else is to be written. */
const LAZY_MS = 700;
/** A round is decided once this many changes may be written; a larger one is paid off after. */
const LEAST_WRITES = 2;

/** How soon to look again whether the watch has come as far as what was read by itself. */
const CATCH_UP_MS = 25;
const PAGES: ReadonlySet<string> = new Set(["work", "fleet"]);

/** Transactions of ends alone that may follow a round. */
const MOST_END_TXNS = 3;

/** What to do after a round: another at once, one after a pause, or one when something happens. */
export type Next = "again" | "idle" | { readonly pauseMs: number };

/** Runs the shards held here, in rounds: look, decide, commit, send. */
export class ShardOwner {
  readonly owned: ShardState;
  readonly channel: WorkerChannel;
  readonly #records: MachineRecords;
  readonly #heartbeats = { accepted: 0, redirected: 0, refused: 0 };
  #committing = false;
  #swarmAt: Mono = steadyNow();
  readonly #sweep = new MachineSweep();
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
    this.owned = new ShardState(ctx, membership, wake);
    this.channel = new WorkerChannel(this.owned, workers);
    this.#records = new MachineRecords(this.owned);
  }

  heartbeat(body: unknown, adopt: (r: Report) => void): Answer {
    this.detectPause();
    const answer = this.channel.heartbeat(body, adopt);
    this.#countHeartbeat(answer.status);
    return answer;
  }

  /** Heartbeats by what became of them, for the logs. */
  #countHeartbeat(status: number): void {
    if (status === 200) this.#heartbeats.accepted++;
    else if (status === 421) this.#heartbeats.redirected++;
    else this.#heartbeats.refused++;
  }

  /**
   * Called wherever something begins. After this process stood still it holds nobody's silence
   * against him, and acts on nothing until the state service has shown what it still holds.
   */
  detectPause(): void {
    const now = steadyNow();
    const pauseMs = this.ctx.pauses.detect(now);
    if (pauseMs === 0) return;
    this.ctx.log.info("process paused", { forMs: Math.round(pauseMs) });
    this.membership.resumed();
    this.channel.startAnew(now);
  }

  // ---- Requests of the leader ---------------------------------------------------------------

  requestMove(m: MoveRequest): void {
    if (!this.owned.sessions.has(m.machine)) return;
    const until = mono(steadyNow() + MOVE_MS);
    const { to, drain, whenEmpty = false } = m;
    this.owned.note(m.machine).move = { to, drain, whenEmpty, until };
    this.owned.disturbed.add(m.machine);
    this.owned.wake();
  }

  /** Without a reason it is surplus, and goes once it is empty; else it is lost, and goes at once. */
  requestRetire(id: MachineId, reason?: string): void {
    if (!this.owned.sessions.has(id)) return;
    const note = this.owned.note(id);
    if (reason !== undefined && reason !== "") note.retire = { reason, force: true };
    else note.retire ??= { reason: "surplus", force: false };
    this.owned.disturbed.add(id);
    this.owned.wake();
  }

  // ---- Rounds -------------------------------------------------------------------------------

  async round(): Promise<Next> {
    this.detectPause();
    if (!this.#maySettle()) return "idle";
    this.#committing = true;
    try {
      return await this.#round();
    } finally {
      this.#committing = false;
      this.owned.closing.clear();
    }
  }

  /**
   * Writes something of the shards owned here while no round is in flight, so that what the records
   * show as open is all that is. False if it has to wait, or nothing was written.
   */
  async writeBetweenRounds(decide: () => Txn | undefined): Promise<boolean> {
    if (!this.#maySettle() || this.ctx.replica.position < this.#catchUp) return false;
    const txn = decide();
    if (txn === undefined || !this.ctx.store.mayWriteBatch(txn.ops.length, txn.ops.length))
      return false;
    this.#committing = true;
    try {
      return await this.#commit(txn);
    } finally {
      this.#committing = false;
      this.owned.wake();
    }
  }

  #maySettle(): boolean {
    return !this.#committing && this.ctx.synced && this.membership.entitled();
  }

  async #round(): Promise<Next> {
    const { ctx, owned } = this;
    const now = steadyNow();
    owned.sync(now);
    this.channel.watchSilence(now);
    const shards = this.membership.ownedShards();
    if (shards.length === 0) return "idle";
    if (this.ctx.replica.position < this.#catchUp) return { pauseMs: CATCH_UP_MS };
    const pauseMs = ctx.store.writeWaitMs(LEAST_WRITES);
    if (pauseMs > 0) return { pauseMs };
    for (const [task, x] of owned.incoming) if (x.until <= now) owned.incoming.delete(task);
    handleSpotNotices(owned, now);
    // What is stopped to make room could not be started again while nothing can be written.
    const writes = !ctx.store.failing();
    if (writes) drainRequested(owned, now);
    if (writes && now - this.#swarmAt >= ctx.operators.swarmPeriodS * 1000) {
      this.#swarmAt = now;
      for (const shard of shards) swarmPeriod(owned, shard, now);
    }
    const { batch, call, closedKeys, looked } = this.#decide(shards, now);
    const callAll = (): void => {
      for (const id of call) this.channel.callMachine(id, true);
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
        for (const id of looked) owned.disturbed.add(id);
        callAll();
        return { pauseMs: waitMs };
      }
    }
    this.#lazySince = undefined;
    const t = batch.txn();
    if (!ctx.store.mayWriteBatch(t.ops.length, LEAST_WRITES)) {
      for (const id of looked) owned.disturbed.add(id);
      return { pauseMs: ctx.store.writeWaitMs(LEAST_WRITES) };
    }
    this.#records.nextNames();
    if (!(await this.#commit(t))) {
      for (const id of looked) owned.disturbed.add(id);
      return "again";
    }
    for (const key of closedKeys) owned.attempts.delete(key);
    owned.sync(steadyNow());
    callAll();
    await this.#endJobs();
    return "again";
  }

  /** True if it was applied; else what stood in the way is known by now. */
  async #commit(t: Txn): Promise<boolean> {
    const { ctx, owned } = this;
    const began = steadyNow();
    const r = await ctx.store.settle(t, () => ctx.stopping);
    ctx.metrics.record("commit", steadyNow() - began);
    if (r.kind === "applied") {
      absorb(ctx.replica, t.ops, r.rev);
      owned.counters.commits++;
      owned.counters.puts += t.ops.length;
      return true;
    }
    owned.counters.conflicts++;
    ctx.log.debug("round not applied", { result: r.kind, ops: t.ops.length });
    const failed = r.kind === "conflict" ? r.failed : [];
    // Its own first copy was applied, most likely, without an answer. Keys read one by one are of
    // different moments: a job or a machine that went from one page to another in that write could
    // be seen in neither, and what it has open be taken for nothing.
    const pages = failed.filter((key) => PAGES.has(classify(key).kind));
    await refresh(ctx, failed.length > 0 ? failed : t.conditions.map((c) => c.key));
    for (const key of pages)
      this.#catchUp = revision(Math.max(this.#catchUp, ctx.replica.rev(key)));
    return false;
  }

  /**
   * Final records of jobs whose ends had no room in the round, in transactions of their own: these
   * need no look at machines, so in a flood of small jobs they come faster than rounds do.
   */
  async #endJobs(): Promise<void> {
    const { ctx, owned } = this;
    const { replica, settings } = ctx;
    for (let n = 0; n < MOST_END_TXNS && !ctx.stopping; n++) {
      if (replica.position < this.#catchUp || !this.membership.entitled()) return;
      const batch = new Batch(replica, { ...settings.state, size: settings.size });
      // Asked anew each time: a shard may have gone to another while the last one was written.
      for (const shard of this.membership.ownedShards())
        endDueJobs(owned, newShardRound(shard, batch, steadyNow()));
      if (batch.empty) return;
      const t = batch.txn();
      if (!ctx.store.mayWriteBatch(t.ops.length, LEAST_WRITES)) return;
      if (!(await this.#commit(t))) return;
    }
  }

  #decide(shards: readonly ReturnType<Membership["ownedShards"]>[number][], now: Mono) {
    const { ctx, owned } = this;
    const { replica, settings } = ctx;
    const batch = new Batch(replica, { ...settings.state, size: settings.size });
    const call = new Set<MachineId>();
    const closedKeys: string[] = [];
    this.#disturbRewritten();
    this.#sweep.disturb(owned, now);
    const looked = new Set(owned.disturbed);
    owned.disturbed.clear();
    // Each has its turn at being first, for the batch may be full before the last.
    this.#turn = (this.#turn + 1) % shards.length;
    for (let i = 0; i < shards.length; i++) {
      const shard = shards[(i + this.#turn) % shards.length];
      if (shard === undefined) continue;
      const round = { ...newShardRound(shard, batch, now), call, closedKeys };
      const own = [...looked].filter((id) => replica.machines.get(id)?.shard === shard);
      // What frees resources and ends jobs goes first, then machines, then starts.
      closeAttempts(owned, round, own);
      const edited = this.#records.reconcile(round, own);
      if (PlacementRound.needed(owned, round)) new PlacementRound(owned, round, edited).run();
    }
    return { batch, call, closedKeys, looked };
  }

  /** Machines with attempts of jobs that were cancelled, and those proved gone, are looked at now. */
  #disturbRewritten(): void {
    const { replica } = this.ctx;
    const { disturbed, sessions } = this.owned;
    for (const id of replica.rewrittenJobs) {
      const shard = replica.shardOf(id);
      // Pages of shards that are not owned here need not be read for it.
      if (shard === undefined || !this.membership.holds(shard)) continue;
      for (const o of replica.job(id)?.open ?? [])
        if (sessions.has(o.machine)) disturbed.add(o.machine);
    }
    for (const id of replica.goneLately) if (sessions.has(id)) disturbed.add(id);
    replica.rewrittenJobs.clear();
    replica.goneLately.clear();
  }

  stats(): Readonly<Record<string, unknown>> {
    return { ...this.owned.stats(), heartbeats: this.#heartbeats };
  }
}
