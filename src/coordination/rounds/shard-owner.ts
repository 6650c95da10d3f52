/**
 * An owner: all that one controller does for the shards that it owns. Heartbeats, requests of the
 * leader, process pauses and rounds enter here.
 *
 * Owns the shard state, the worker channel and the rule that at most one transaction of the owned
 * shards is in flight. Nothing is written without a valid lease.
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

/** How long the leader's request for a transfer is valid. */
const TRANSFER_REQUEST_MS = 10_000;

/** Runs the shards that this controller owns. */
export class ShardOwner {
  /** Soft state of the owned shards. */
  readonly state: ShardState;
  /** Commands to workers and heartbeats from them. */
  readonly channel: WorkerChannel;
  readonly #commit: RoundCommit;
  readonly #cycle: RoundCycle;
  /** Heartbeats by their outcome, for the logs. */
  readonly #heartbeatCounts = { accepted: 0, redirected: 0, refused: 0 };
  /** A transaction of the owned shards is being decided on or written. */
  #isCommitting = false;

  /** @param wake has a round run soon */
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
   * Takes a worker's heartbeat and answers it with commands.
   *
   * @param adopt called on the leader with the status of a machine that the records don't know
   */
  handleHeartbeat(body: unknown, adopt: (status: WorkerStatus) => void): HttpResponse {
    this.detectPause();
    const answer = this.channel.handleHeartbeat(body, adopt);
    this.#countHeartbeat(answer.status);
    return answer;
  }

  #countHeartbeat(httpStatus: number): void {
    if (httpStatus === 200) this.#heartbeatCounts.accepted++;
    else if (httpStatus === 421) this.#heartbeatCounts.redirected++;
    else this.#heartbeatCounts.refused++;
  }

  /**
   * To be called first wherever this controller begins to act. After a process pause no machine's
   * silence counts against it, and nothing is done until a read of the state store has shown which
   * shards are still owned.
   */
  detectPause(): void {
    const now = monotonicNow();
    const pauseMs = this.ctx.pauses.detect(now);
    if (pauseMs === 0) return;
    this.ctx.log.info("process paused", { forMs: Math.round(pauseMs) });
    this.membership.onResume();
    this.channel.resetTimers(now);
  }

  /** The leader wants a machine for another shard. Ignored for machines that are not owned here. */
  requestTransfer({ machine, to, drain, whenEmpty = false }: MachineTransferRequest): void {
    if (!this.state.sessions.has(machine)) return;
    const expiresAt = monotonicMs(monotonicNow() + TRANSFER_REQUEST_MS);
    const transfer = { to, drain, whenEmpty, expiresAt };
    this.state.machineState(machine).departure.step({ kind: "transfer_requested", transfer });
    this.state.dirtyMachines.add(machine);
    this.state.wake();
  }

  /**
   * Has a machine decommissioned. Without a reason it is surplus and returned once it is empty; with
   * one it is lost and returned at once. Ignored for machines that are not owned here.
   */
  requestDecommission(id: MachineId, reason?: string): void {
    if (!this.state.sessions.has(id)) return;
    const { departure } = this.state.machineState(id);
    if (reason) departure.step({ kind: "decommission_forced", reason });
    else departure.step({ kind: "decommission_requested", reason: "surplus" });
    this.state.dirtyMachines.add(id);
    this.state.wake();
  }

  /** Runs one round, unless another transaction is in flight or the lease is not valid. */
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
   * Writes a transaction of the owned shards while no round is in flight, so that the records show
   * all open attempts. Returns false if it has to wait, or if nothing was written.
   *
   * @param decide called once it may be written; undefined if there is nothing to write
   */
  async writeBetweenRounds(decide: () => Transaction | undefined): Promise<boolean> {
    if (!this.#mayCommit() || this.#commit.isReplicaBehind) return false;
    const transaction = decide();
    if (transaction === undefined) return false;
    const operations = transaction.ops.length;
    if (!this.ctx.store.mayWriteBatch(operations, operations)) return false;
    this.#isCommitting = true;
    try {
      return await this.#commit.commit(transaction);
    } finally {
      this.#isCommitting = false;
      this.state.wake();
    }
  }

  #mayCommit(): boolean {
    return !this.#isCommitting && this.ctx.synced && this.membership.holdsValidLease();
  }

  /** Counters for the logs. */
  stats(): Readonly<Record<string, unknown>> {
    return { ...this.state.stats(), heartbeats: this.#heartbeatCounts };
  }
}
