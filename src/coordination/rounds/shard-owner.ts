/**
 * The entry point for all that one controller does as the owner of its shards: handling heartbeats,
 * requests of the leader and process pauses, and running rounds.
 *
 * Owns the shard state and the worker channel, and ensures that at most one transaction of the
 * owned shards is in flight. Nothing is written without a valid lease.
 */
import { type MachineId, monotonicMs } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { Transaction } from "../../protocol/store.js";
import type { WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/server.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { ShardState } from "../ownership/shard-state.js";
import { WorkerChannel } from "../workers/worker-channel.js";
import { RoundCommit } from "./round-commit.js";
import { RoundCycle, type RoundOutcome } from "./round-cycle.js";

export type { RoundOutcome } from "./round-cycle.js";

/** How long a transfer request of the leader stays valid. */
const TRANSFER_REQUEST_TTL_MS = 10_000;

/** Runs the shards that this controller owns. */
export class ShardOwner {
  /** Soft state of the owned shards. */
  readonly state: ShardState;
  /** Commands to workers and heartbeats from them. */
  readonly channel: WorkerChannel;
  readonly #commit: RoundCommit;
  readonly #cycle: RoundCycle;
  /** Number of heartbeats by outcome, for `stats`. */
  readonly #heartbeatCounts = { accepted: 0, redirected: 0, refused: 0 };
  /** Whether a transaction of the owned shards is being prepared or written. */
  #isCommitting = false;

  /** @param wake requests that a round runs soon */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    workers: HttpClient,
    wake: () => void,
  ) {
    this.state = new ShardState(ctx, membership, wake);
    this.channel = new WorkerChannel(this.state, workers);
    this.#commit = new RoundCommit(this.state);
    this.#cycle = new RoundCycle(this.state, this.channel, this.#commit);
  }

  /**
   * Handles a worker's heartbeat and answers it with commands.
   *
   * @param handleUnknownMachine called, if this controller is the leader, with the status of a
   *   machine that has no record
   */
  handleHeartbeat(
    body: unknown,
    handleUnknownMachine: (status: WorkerStatus) => void,
  ): HttpResponse {
    this.detectPause();
    const answer = this.channel.handleHeartbeat(body, handleUnknownMachine);
    this.#countHeartbeat(answer.status);
    return answer;
  }

  #countHeartbeat(httpStatus: number): void {
    if (httpStatus === 200) this.#heartbeatCounts.accepted++;
    else if (httpStatus === 421) this.#heartbeatCounts.redirected++;
    else this.#heartbeatCounts.refused++;
  }

  /**
   * Checks whether this process was paused. Must be called first in each activity.
   * Heartbeats missed during a pause do not count as failures of their machines, and the controller
   * does nothing until a read of the state store has shown which shards it still owns.
   */
  detectPause(): void {
    const now = monotonicNow();
    const pauseMs = this.ctx.pauseDetector.detect(now);
    if (pauseMs === 0) return;
    this.ctx.log.info("process paused", { forMs: Math.round(pauseMs) });
    this.membership.onProcessResumed();
    this.channel.resetTimers(now);
  }

  /**
   * Requests the transfer of a machine to another shard, on behalf of the leader. Ignored for
   * machines that are not owned here.
   */
  requestTransfer({ machine, to, drain, whenEmpty = false }: MachineTransferRequest): void {
    if (!this.state.sessions.has(machine)) return;
    const expiresAt = monotonicMs(monotonicNow() + TRANSFER_REQUEST_TTL_MS);
    const transfer = { to, drain, whenEmpty, expiresAt };
    this.state.machineState(machine).departure.step({ kind: "transfer_requested", transfer });
    this.state.dirtyMachines.add(machine);
    this.state.wake();
  }

  /**
   * Requests the decommission of a machine. With a reason the decommission is forced: the machine
   * is treated as lost and returned at once. Without one the machine is surplus and is returned
   * when it has no open attempts. Ignored for machines that are not owned here.
   */
  requestDecommission(id: MachineId, reason?: string): void {
    if (!this.state.sessions.has(id)) return;
    const { departure } = this.state.machineState(id);
    if (reason) departure.step({ kind: "decommission_forced", reason });
    else departure.step({ kind: "decommission_requested", reason: "surplus" });
    this.state.dirtyMachines.add(id);
    this.state.wake();
  }

  /** Runs one round, unless a transaction is in flight or the lease is not valid. */
  async runRound(): Promise<RoundOutcome> {
    this.detectPause();
    if (!this.#mayCommit()) return "idle";
    this.#isCommitting = true;
    try {
      return await this.#cycle.run();
    } finally {
      this.#isCommitting = false;
      this.state.terminatingAttempts.clear();
    }
  }

  /**
   * Writes a transaction of the owned shards while no round runs, so that the records already show
   * all open attempts.
   *
   * @param buildTransaction called once a transaction may be written; returns undefined if there is
   *   nothing to write
   * @returns true if the transaction was applied; false if there was none, if it may not be written
   *   yet, or if it conflicted
   */
  async writeBetweenRounds(buildTransaction: () => Transaction | undefined): Promise<boolean> {
    if (!this.#mayCommit() || this.#commit.isReplicaBehind) return false;
    const transaction = buildTransaction();
    if (transaction === undefined) return false;
    const operations = transaction.ops.length;
    if (!this.ctx.store.tryTakeBatchWriteBudget(operations, operations)) return false;
    this.#isCommitting = true;
    try {
      return await this.#commit.commit(transaction);
    } finally {
      this.#isCommitting = false;
      this.state.wake();
    }
  }

  #mayCommit(): boolean {
    return !this.#isCommitting && this.ctx.isReplicaSynced && this.membership.holdsValidLease();
  }

  /** Counters for the `stats` log event. */
  stats(): Readonly<Record<string, unknown>> {
    return { ...this.state.stats(), heartbeats: this.#heartbeatCounts };
  }
}
