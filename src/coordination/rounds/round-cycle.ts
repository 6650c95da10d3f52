/**
 * One round of an owner, its scheduling cycle, as a sequence of named phases: sync sessions, detect
 * failures, evict, swarm, terminate attempts, reconcile machine records, place (with preemption),
 * commit, dispatch.
 *
 * Owns what goes on from round to round: the order of shards, the machine sweep, the time of the last
 * swarm period, and since when finished tasks wait to be committed together. A command is sent only
 * once the records that it follows from are committed. At most one round runs at a time; the caller
 * sees to that.
 */
import type { MachineId, MonotonicMs, ShardId } from "@umberfold/ids";
import { TransactionBatch } from "../../storage/transaction-batch.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerChannel } from "../workers/worker-channel.js";
import { finishCompletedJobs, terminateAttempts } from "./attempt-termination.js";
import { MachineSweep, markReplicaChangesDirty } from "./dirty-machines.js";
import { drainRequestedMachines, handleSpotNotices } from "./evictions.js";
import { MachineRecordPhase } from "./machine-record-phase.js";
import { PlacementPhase } from "./placement-phase.js";
import type { RoundCommit } from "./round-commit.js";
import { newShardRound, type ShardRound } from "./shard-round.js";
import { runSwarmPhase } from "./swarm-phase.js";

/** How long terminated attempts may wait to be committed together, if nothing else is written. */
const COALESCE_MS = 700;
/**
 * A round is decided once the write budget allows this many operations; a larger transaction is paid
 * off afterwards.
 */
const MIN_ROUND_WRITES = 2;
/** How soon to look again whether the watch has delivered what was read ahead of it. */
const CATCH_UP_MS = 25;
/** Transactions with final records alone that may follow a round. */
const MAX_FINISH_TRANSACTIONS = 3;

/** What to do after a round: another at once, one after a pause, or one when something happens. */
export type RoundOutcome = "again" | "idle" | { readonly pauseMs: number };

/** What a round has decided for all owned shards, before it is committed. */
interface RoundDecision {
  readonly batch: TransactionBatch;
  /** Machines that get a command call. */
  readonly machinesToCall: Set<MachineId>;
  /** Keys of the attempts that the batch terminates. */
  readonly terminatedKeys: string[];
  /** Machines that were dirty: they are again if the decision is not committed. */
  readonly examinedMachines: ReadonlySet<MachineId>;
}

/** The rounds of one owner. */
export class RoundCycle {
  readonly #machineRecords: MachineRecordPhase;
  readonly #sweep = new MachineSweep();
  #lastSwarmAt: MonotonicMs = monotonicNow();
  /** Rotates the order of shards. */
  #firstShard = 0;
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
    if (this.commit.isReplicaBehind) return { pauseMs: CATCH_UP_MS };
    const writeWaitMs = store.writeWaitMs(MIN_ROUND_WRITES);
    if (writeWaitMs > 0) return { pauseMs: writeWaitMs };
    state.reservations.deleteExpired(now);
    // A task that is stopped to make room could not be started again while nothing can be written.
    const canWrite = !store.isFailing();
    this.#evict(now, canWrite);
    if (canWrite) this.#swarm(shards, now);
    const decision = this.#decide(shards, now);
    if (decision.batch.empty) {
      this.#dispatch(decision);
      return "idle";
    }
    const coalesceMs = this.#coalesceMs(decision.batch, now);
    if (coalesceMs > 0) {
      this.#abandon(decision);
      this.#dispatch(decision);
      return { pauseMs: coalesceMs };
    }
    const transaction = decision.batch.transaction();
    if (!store.mayWriteBatch(transaction.ops.length, MIN_ROUND_WRITES)) {
      this.#abandon(decision);
      return { pauseMs: store.writeWaitMs(MIN_ROUND_WRITES) };
    }
    this.#machineRecords.nextPageNames();
    if (!(await this.commit.commit(transaction))) {
      this.#abandon(decision);
      return "again";
    }
    for (const key of decision.terminatedKeys) state.forgetAttempt(key);
    state.syncSessions(monotonicNow());
    this.#dispatch(decision);
    await this.#finishJobs();
    return "again";
  }

  /** Requests the stops that clear machines: for spot notices, and for transfers with a drain. */
  #evict(now: MonotonicMs, canWrite: boolean): void {
    handleSpotNotices(this.state, now);
    if (canWrite) drainRequestedMachines(this.state, now);
  }

  /** Runs the swarm in each shard once a period. */
  #swarm(shards: readonly ShardId[], now: MonotonicMs): void {
    if (now - this.#lastSwarmAt < this.state.ctx.operators.swarmPeriodS * 1000) return;
    this.#lastSwarmAt = now;
    for (const shard of shards) runSwarmPhase(this.state, shard, now);
  }

  /** Decides on what is dirty and what waits, shard by shard: terminate, reconcile, place. */
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
      terminatedKeys: [],
      examinedMachines,
    };
    // Each shard is the first one in its turn, for the batch may be full before the last.
    this.#firstShard = (this.#firstShard + 1) % shards.length;
    for (let i = 0; i < shards.length; i++) {
      const shard = shards[(i + this.#firstShard) % shards.length];
      if (shard === undefined) continue;
      const { machinesToCall, terminatedKeys } = decision;
      const round = { ...newShardRound(shard, batch, now), machinesToCall, terminatedKeys };
      const machines = [...examinedMachines].filter(
        (id) => replica.machines.get(id)?.shard === shard,
      );
      this.#decideShard(round, machines);
    }
    return decision;
  }

  /**
   * Terminates attempts, reconciles machine records and places tasks: what frees resources and
   * finishes jobs gets room in the batch first, then machine records, then starts.
   */
  #decideShard(round: ShardRound, machines: readonly MachineId[]): void {
    const { state } = this;
    terminateAttempts(state, round, machines);
    const changedMachines = this.#machineRecords.reconcile(round, machines);
    if (PlacementPhase.needed(state, round))
      new PlacementPhase(state, round, changedMachines).run();
  }

  /**
   * How long a round with nothing urgent waits for more to write: nobody waits for terminations
   * alone, so they gather until a start or a job's end joins them, or the time is over. 0: no wait.
   */
  #coalesceMs(batch: TransactionBatch, now: MonotonicMs): number {
    if (!batch.urgent) {
      this.#coalescingSince ??= now;
      const waitMs = COALESCE_MS - (now - this.#coalescingSince);
      if (waitMs > 0) return waitMs;
    }
    this.#coalescingSince = undefined;
    return 0;
  }

  /** The decision is not committed: the next round examines the same machines. */
  #abandon({ examinedMachines }: RoundDecision): void {
    for (const id of examinedMachines) this.state.dirtyMachines.add(id);
  }

  /** Calls the machines that have commands to carry out. */
  #dispatch({ machinesToCall }: RoundDecision): void {
    for (const id of machinesToCall) this.channel.callMachine(id, true);
  }

  /**
   * Final records of jobs that had no room in the round, in transactions of their own: these need no
   * look at machines, so in a flood of small jobs they are written faster than rounds are.
   */
  async #finishJobs(): Promise<void> {
    const { state } = this;
    const { membership } = state;
    const { store } = state.ctx;
    for (let n = 0; n < MAX_FINISH_TRANSACTIONS && !state.ctx.stopping; n++) {
      if (this.commit.isReplicaBehind || !membership.holdsValidLease()) return;
      const batch = this.#newBatch();
      // Asked each time: a shard may have got another owner during the last write.
      for (const shard of membership.ownedShards())
        finishCompletedJobs(state, newShardRound(shard, batch, monotonicNow()));
      if (batch.empty) return;
      const transaction = batch.transaction();
      if (!store.mayWriteBatch(transaction.ops.length, MIN_ROUND_WRITES)) return;
      if (!(await this.commit.commit(transaction))) return;
    }
  }

  #newBatch(): TransactionBatch {
    const { replica, settings } = this.state.ctx;
    return new TransactionBatch(replica, { ...settings.state, shardCount: settings.shardCount });
  }
}
