/**
 * One round, the scheduling cycle of an owner, as a sequence of phases: sync sessions, detect
 * failures, evict, swarm, terminate attempts, reconcile machine records, place (with preemption),
 * commit, dispatch.
 *
 * Owns the state that is kept from round to round: the order of shards, the machine sweep, the time
 * of the last swarm phase, and the time since which terminations have been held back for a common
 * commit. A command is sent only after the records that it follows from are committed. The caller
 * ensures that at most one round runs at a time.
 */
import type { MachineId, MonotonicMs, ShardId } from "@umberfold/ids";
import { TransactionBatch } from "../../storage/transaction-batch.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerChannel } from "../workers/worker-channel.js";
import { finishCompletedJobs, terminateAttempts } from "./attempt-termination.js";
import { MachineSweep, markReplicaChangesDirty } from "./dirty-machines.js";
import { drainMachinesForTransfer, handlePreemptionNotices } from "./evictions.js";
import { MachineRecordPhase } from "./machine-record-phase.js";
import { PlacementPhase } from "./placement-phase.js";
import type { RoundCommit } from "./round-commit.js";
import { newShardRound, type ShardRound } from "./shard-round.js";
import { runSwarmPhase } from "./swarm-phase.js";

/** How long terminations are held back for a common commit while there is no urgent change. */
const COALESCE_MAX_DELAY_MS = 700;
/**
 * A round begins once the write budget allows this many operations. A larger transaction puts the
 * budget into debt, which delays the next round.
 */
const MIN_WRITE_BUDGET_OPS = 2;
/** Pause before checking again whether the watch has delivered what was read ahead of it. */
const REPLICA_CATCH_UP_PAUSE_MS = 25;
/** The most transactions with nothing but final records that may follow a round. */
const MAX_FINISH_TRANSACTIONS_PER_ROUND = 3;

/**
 * When to run the next round: at once (`again`), after a pause, or when an event asks for it
 * (`idle`).
 */
export type RoundOutcome = "again" | "idle" | { readonly pauseMs: number };

/** The decisions of a round for all owned shards, before they are committed. */
interface RoundDecision {
  readonly batch: TransactionBatch;
  /** Machines that are called with commands after the commit. */
  readonly machinesToCall: Set<MachineId>;
  /** Keys of the attempts that the batch terminates. */
  readonly terminatedAttemptKeys: string[];
  /** Machines that were dirty; marked dirty again if the decision is not committed. */
  readonly examinedMachines: ReadonlySet<MachineId>;
}

/** Runs the rounds of one owner. */
export class RoundCycle {
  readonly #machineRecords: MachineRecordPhase;
  readonly #sweep = new MachineSweep();
  #lastSwarmAt: MonotonicMs = monotonicNow();
  /** Index of the shard that the round handles first; advances with each round. */
  #firstShardIndex = 0;
  /** When the current delay of terminations began; undefined while none are held back. */
  #coalescingSince: MonotonicMs | undefined;

  constructor(
    private readonly state: ShardState,
    private readonly channel: WorkerChannel,
    private readonly commit: RoundCommit,
  ) {
    this.#machineRecords = new MachineRecordPhase(state);
  }

  /** Runs one round. */
  async run(): Promise<RoundOutcome> {
    const { state } = this;
    const { store } = state.ctx;
    const now = monotonicNow();
    state.syncSessions(now);
    this.channel.detectFailures(now);
    const shards = state.membership.ownedShards();
    if (shards.length === 0) return "idle";
    if (this.commit.isReplicaBehind) return { pauseMs: REPLICA_CATCH_UP_PAUSE_MS };
    const writeWaitMs = store.writeWaitMs(MIN_WRITE_BUDGET_OPS);
    if (writeWaitMs > 0) return { pauseMs: writeWaitMs };
    state.reservations.deleteExpired(now);
    // While the state store fails, no task is stopped to free capacity or to be moved: its next
    // start could not be committed.
    const canWrite = !store.isFailing();
    this.#evict(now, canWrite);
    if (canWrite) this.#swarm(shards, now);
    const decision = this.#decide(shards, now);
    if (decision.batch.isEmpty) {
      this.#dispatch(decision);
      return "idle";
    }
    const coalesceDelayMs = this.#coalesceDelayMs(decision.batch, now);
    if (coalesceDelayMs > 0) {
      this.#discard(decision);
      this.#dispatch(decision);
      return { pauseMs: coalesceDelayMs };
    }
    const transaction = decision.batch.transaction();
    if (!store.tryTakeBatchWriteBudget(transaction.ops.length, MIN_WRITE_BUDGET_OPS)) {
      this.#discard(decision);
      return { pauseMs: store.writeWaitMs(MIN_WRITE_BUDGET_OPS) };
    }
    this.#machineRecords.advancePageNames();
    if (!(await this.commit.commit(transaction))) {
      this.#discard(decision);
      return "again";
    }
    for (const key of decision.terminatedAttemptKeys) state.forgetAttempt(key);
    state.syncSessions(monotonicNow());
    this.#dispatch(decision);
    await this.#finishJobs();
    return "again";
  }

  /** Handles preemption notices, and drains machines whose requested transfer needs a drain. */
  #evict(now: MonotonicMs, canWrite: boolean): void {
    handlePreemptionNotices(this.state, now);
    if (canWrite) drainMachinesForTransfer(this.state, now);
  }

  /** Runs the swarm phase in each shard, once per swarm period. */
  #swarm(shards: readonly ShardId[], now: MonotonicMs): void {
    if (now - this.#lastSwarmAt < this.state.ctx.operators.swarmPeriodS * 1000) return;
    this.#lastSwarmAt = now;
    for (const shard of shards) runSwarmPhase(this.state, shard, now);
  }

  /**
   * Examines the dirty machines and the waiting tasks of each shard: terminates attempts,
   * reconciles machine records and places tasks.
   */
  #decide(shards: readonly ShardId[], now: MonotonicMs): RoundDecision {
    const { state } = this;
    const { replica } = state.ctx;
    const batch = this.#newBatch();
    markReplicaChangesDirty(state);
    this.#sweep.markDirty(state, now);
    const examinedMachines = new Set(state.dirtyMachines);
    state.dirtyMachines.clear();
    const decision = {
      batch,
      machinesToCall: new Set<MachineId>(),
      terminatedAttemptKeys: [],
      examinedMachines,
    };
    // Each round begins with another shard, because the batch may be full before the last shard.
    this.#firstShardIndex = (this.#firstShardIndex + 1) % shards.length;
    for (let i = 0; i < shards.length; i++) {
      const shard = shards[(i + this.#firstShardIndex) % shards.length];
      if (shard === undefined) continue;
      const { machinesToCall, terminatedAttemptKeys } = decision;
      const round = { ...newShardRound(shard, batch, now), machinesToCall, terminatedAttemptKeys };
      const machines = [...examinedMachines].filter(
        (id) => replica.machines.get(id)?.shard === shard,
      );
      this.#decideShard(round, machines);
    }
    return decision;
  }

  /**
   * Runs the deciding phases for one shard. Their order sets their priority in the batch: first
   * terminations and finished jobs, which free resources, then machine records, then starts.
   */
  #decideShard(round: ShardRound, machines: readonly MachineId[]): void {
    const { state } = this;
    terminateAttempts(state, round, machines);
    const changedMachines = this.#machineRecords.reconcile(round, machines);
    if (PlacementPhase.isNeeded(state, round))
      new PlacementPhase(state, round, changedMachines).run();
  }

  /**
   * How long to delay the commit of a batch without urgent changes; 0 to commit now. Such a batch
   * has only terminations that nobody waits for, so they are collected until a start, a finished
   * job or a machine record is written with them, or the delay is over.
   */
  #coalesceDelayMs(batch: TransactionBatch, now: MonotonicMs): number {
    if (!batch.isUrgent) {
      this.#coalescingSince ??= now;
      const remainingMs = COALESCE_MAX_DELAY_MS - (now - this.#coalescingSince);
      if (remainingMs > 0) return remainingMs;
    }
    this.#coalescingSince = undefined;
    return 0;
  }

  /** Drops a decision that is not committed: the next round examines the same machines again. */
  #discard({ examinedMachines }: RoundDecision): void {
    for (const id of examinedMachines) this.state.dirtyMachines.add(id);
  }

  /** Calls the machines for which the decision has commands. */
  #dispatch({ machinesToCall }: RoundDecision): void {
    for (const id of machinesToCall) this.channel.callMachine(id, true);
  }

  /**
   * Writes, in separate transactions, the final records that did not fit in the round's batch.
   * These transactions examine no machines, so under a burst of small jobs they clear the backlog
   * of final records faster than further rounds would.
   */
  async #finishJobs(): Promise<void> {
    const { state } = this;
    const { membership } = state;
    const { store } = state.ctx;
    for (let n = 0; n < MAX_FINISH_TRANSACTIONS_PER_ROUND && !state.ctx.isShuttingDown; n++) {
      if (this.commit.isReplicaBehind || !membership.holdsValidLease()) return;
      const batch = this.#newBatch();
      // Read again for each transaction: a shard may have changed its owner during the last write.
      for (const shard of membership.ownedShards())
        finishCompletedJobs(state, newShardRound(shard, batch, monotonicNow()));
      if (batch.isEmpty) return;
      const transaction = batch.transaction();
      if (!store.tryTakeBatchWriteBudget(transaction.ops.length, MIN_WRITE_BUDGET_OPS)) return;
      if (!(await this.commit.commit(transaction))) return;
    }
  }

  #newBatch(): TransactionBatch {
    const { replica, settings } = this.state.ctx;
    return new TransactionBatch(replica, { ...settings.state, shardCount: settings.shardCount });
  }
}
