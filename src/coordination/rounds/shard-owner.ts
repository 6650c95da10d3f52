import { type MachineId, type MonotonicMs, monotonicMs, revision } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { Transaction } from "../../protocol/store.js";
import type { WorkerStatus } from "../../protocol/workers.js";
import { classifyKey } from "../../storage/records.js";
import { TransactionBatch } from "../../storage/transaction-batch.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/server.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { ShardState } from "../ownership/shard-state.js";
import { WorkerChannel } from "../workers/worker-channel.js";
import { finishCompletedJobs, newShardRound, terminateAttempts } from "./attempt-termination.js";
import { drainRequestedMachines, handleSpotNotices } from "./evictions.js";
import { MachineRecordPhase } from "./machine-record-phase.js";
import { MachineSweep } from "./machine-sweep.js";
import { PlacementPhase } from "./placement-phase.js";
import { runSwarmPhase } from "./swarm-phase.js";

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
export type RoundOutcome = "again" | "idle" | { readonly pauseMs: number };

/** Runs the shards held here, in rounds: look, decide, commit, send. */
export class ShardOwner {
  readonly state: ShardState;
  readonly channel: WorkerChannel;
  readonly #records: MachineRecordPhase;
  readonly #heartbeats = { accepted: 0, redirected: 0, refused: 0 };
  #committing = false;
  #swarmAt: MonotonicMs = monotonicNow();
  readonly #sweep = new MachineSweep();
  #turn = 0;
  #coalescingSince: MonotonicMs | undefined;
  /** Nothing is decided before the watch has told everything up to here. */
  #catchUp = revision(0);

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    workers: HttpClient,
    wake: () => void,
  ) {
    this.state = new ShardState(ctx, membership, wake);
    this.channel = new WorkerChannel(this.state, workers);
    this.#records = new MachineRecordPhase(this.state);
  }

  handleHeartbeat(body: unknown, adopt: (r: WorkerStatus) => void): HttpResponse {
    this.detectPause();
    const answer = this.channel.handleHeartbeat(body, adopt);
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
    const now = monotonicNow();
    const pauseMs = this.ctx.pauses.detect(now);
    if (pauseMs === 0) return;
    this.ctx.log.info("process paused", { forMs: Math.round(pauseMs) });
    this.membership.onResume();
    this.channel.resetTimers(now);
  }

  // ---- Requests of the leader ---------------------------------------------------------------

  requestTransfer(m: MachineTransferRequest): void {
    if (!this.state.sessions.has(m.machine)) return;
    const { to, drain, whenEmpty = false } = m;
    const transfer = { to, drain, whenEmpty, until: monotonicMs(monotonicNow() + MOVE_MS) };
    this.state.machineState(m.machine).departure.step({ kind: "transfer_requested", transfer });
    this.state.dirtyMachines.add(m.machine);
    this.state.wake();
  }

  /** Without a reason it is surplus, and goes once it is empty; else it is lost, and goes at once. */
  requestDecommission(id: MachineId, reason?: string): void {
    if (!this.state.sessions.has(id)) return;
    const { departure } = this.state.machineState(id);
    if (reason) departure.step({ kind: "decommission_forced", reason });
    else departure.step({ kind: "decommission_requested", reason: "surplus" });
    this.state.dirtyMachines.add(id);
    this.state.wake();
  }

  // ---- Rounds -------------------------------------------------------------------------------

  async runRound(): Promise<RoundOutcome> {
    this.detectPause();
    if (!this.#mayCommit()) return "idle";
    this.#committing = true;
    try {
      return await this.#round();
    } finally {
      this.#committing = false;
      this.state.terminating.clear();
    }
  }

  /**
   * Writes something of the shards owned here while no round is in flight, so that what the records
   * show as open is all that is. False if it has to wait, or nothing was written.
   */
  async writeBetweenRounds(decide: () => Transaction | undefined): Promise<boolean> {
    if (!this.#mayCommit() || this.ctx.replica.syncedRevision < this.#catchUp) return false;
    const txn = decide();
    if (txn === undefined || !this.ctx.store.mayWriteBatch(txn.ops.length, txn.ops.length))
      return false;
    this.#committing = true;
    try {
      return await this.#commit(txn);
    } finally {
      this.#committing = false;
      this.state.wake();
    }
  }

  #mayCommit(): boolean {
    return !this.#committing && this.ctx.synced && this.membership.holdsValidLease();
  }

  async #round(): Promise<RoundOutcome> {
    const { ctx, state } = this;
    const now = monotonicNow();
    state.syncSessions(now);
    this.channel.detectFailures(now);
    const shards = this.membership.ownedShards();
    if (shards.length === 0) return "idle";
    if (this.ctx.replica.syncedRevision < this.#catchUp) return { pauseMs: CATCH_UP_MS };
    const pauseMs = ctx.store.writeWaitMs(LEAST_WRITES);
    if (pauseMs > 0) return { pauseMs };
    state.reservations.expire(now);
    handleSpotNotices(state, now);
    // What is stopped to make room could not be started again while nothing can be written.
    const writes = !ctx.store.isFailing();
    if (writes) drainRequestedMachines(state, now);
    if (writes && now - this.#swarmAt >= ctx.operators.swarmPeriodS * 1000) {
      this.#swarmAt = now;
      for (const shard of shards) runSwarmPhase(state, shard, now);
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
    if (!batch.urgent) {
      this.#coalescingSince ??= now;
      const waitMs = LAZY_MS - (now - this.#coalescingSince);
      if (waitMs > 0) {
        for (const id of looked) state.dirtyMachines.add(id);
        callAll();
        return { pauseMs: waitMs };
      }
    }
    this.#coalescingSince = undefined;
    const t = batch.transaction();
    if (!ctx.store.mayWriteBatch(t.ops.length, LEAST_WRITES)) {
      for (const id of looked) state.dirtyMachines.add(id);
      return { pauseMs: ctx.store.writeWaitMs(LEAST_WRITES) };
    }
    this.#records.nextNames();
    if (!(await this.#commit(t))) {
      for (const id of looked) state.dirtyMachines.add(id);
      return "again";
    }
    for (const key of closedKeys) state.forgetAttempt(key);
    state.syncSessions(monotonicNow());
    callAll();
    await this.#endJobs();
    return "again";
  }

  /** True if it was applied; else what stood in the way is known by now. */
  async #commit(t: Transaction): Promise<boolean> {
    const { ctx, state } = this;
    const began = monotonicNow();
    const r = await ctx.store.commitUntilDecided(t, () => ctx.stopping);
    ctx.metrics.record("commit", monotonicNow() - began);
    if (r.kind === "applied") {
      applyCommitted(ctx.replica, t.ops, r.rev);
      state.counters.commits++;
      state.counters.puts += t.ops.length;
      return true;
    }
    state.counters.conflicts++;
    ctx.log.debug("round not applied", { result: r.kind, ops: t.ops.length });
    const failed = r.kind === "conflict" ? r.failed : [];
    // Its own first copy was applied, most likely, without an answer. Keys read one by one are of
    // different moments: a job or a machine that went from one page to another in that write could
    // be seen in neither, and what it has open be taken for nothing.
    const pages = failed.filter((key) => PAGES.has(classifyKey(key).kind));
    await rereadKeys(ctx, failed.length > 0 ? failed : t.conditions.map((c) => c.key));
    for (const key of pages)
      this.#catchUp = revision(Math.max(this.#catchUp, ctx.replica.revisionOf(key)));
    return false;
  }

  /**
   * Final records of jobs whose ends had no room in the round, in transactions of their own: these
   * need no look at machines, so in a flood of small jobs they come faster than rounds do.
   */
  async #endJobs(): Promise<void> {
    const { ctx, state } = this;
    const { replica, settings } = ctx;
    for (let n = 0; n < MOST_END_TXNS && !ctx.stopping; n++) {
      if (replica.syncedRevision < this.#catchUp || !this.membership.holdsValidLease()) return;
      const batch = new TransactionBatch(replica, {
        ...settings.state,
        shardCount: settings.shardCount,
      });
      // Asked anew each time: a shard may have gone to another while the last one was written.
      for (const shard of this.membership.ownedShards())
        finishCompletedJobs(state, newShardRound(shard, batch, monotonicNow()));
      if (batch.empty) return;
      const t = batch.transaction();
      if (!ctx.store.mayWriteBatch(t.ops.length, LEAST_WRITES)) return;
      if (!(await this.#commit(t))) return;
    }
  }

  #decide(shards: readonly ReturnType<Membership["ownedShards"]>[number][], now: MonotonicMs) {
    const { ctx, state } = this;
    const { replica, settings } = ctx;
    const batch = new TransactionBatch(replica, {
      ...settings.state,
      shardCount: settings.shardCount,
    });
    const call = new Set<MachineId>();
    const closedKeys: string[] = [];
    this.#disturbRewritten();
    this.#sweep.markDirty(state, now);
    const looked = new Set(state.dirtyMachines);
    state.dirtyMachines.clear();
    // Each has its turn at being first, for the batch may be full before the last.
    this.#turn = (this.#turn + 1) % shards.length;
    for (let i = 0; i < shards.length; i++) {
      const shard = shards[(i + this.#turn) % shards.length];
      if (shard === undefined) continue;
      const round = {
        ...newShardRound(shard, batch, now),
        machinesToCall: call,
        terminatedKeys: closedKeys,
      };
      const own = [...looked].filter((id) => replica.machines.get(id)?.shard === shard);
      // What frees resources and ends jobs goes first, then machines, then starts.
      terminateAttempts(state, round, own);
      const edited = this.#records.reconcile(round, own);
      if (PlacementPhase.needed(state, round)) new PlacementPhase(state, round, edited).run();
    }
    return { batch, call, closedKeys, looked };
  }

  /** Machines with attempts of jobs that were cancelled, and those proved gone, are looked at now. */
  #disturbRewritten(): void {
    const { replica } = this.ctx;
    const { dirtyMachines, sessions } = this.state;
    for (const id of replica.rewrittenJobs) {
      const shard = replica.shardOf(id);
      // Pages of shards that are not owned here need not be read for it.
      if (shard === undefined || !this.membership.ownsShard(shard)) continue;
      for (const o of replica.job(id)?.open ?? [])
        if (sessions.has(o.machine)) dirtyMachines.add(o.machine);
    }
    for (const id of replica.recentlyGone) if (sessions.has(id)) dirtyMachines.add(id);
    replica.rewrittenJobs.clear();
    replica.recentlyGone.clear();
  }

  stats(): Readonly<Record<string, unknown>> {
    return { ...this.state.stats(), heartbeats: this.#heartbeats };
  }
}
