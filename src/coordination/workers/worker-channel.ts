/**
 * All communication between a shard's owner and the workers on its machines. Composes heartbeat
 * handling (heartbeat-handler.ts), direct calls (direct-command-sender.ts), recording of statuses
 * (status-recorder.ts) and failure detection (failure-detector.ts).
 */
import type { MachineId, MonotonicMs } from "@umberfold/ids";
import type { WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import type { HttpResponse } from "../../transport/server.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { Connectivity } from "./connectivity.js";
import { DirectCommandSender } from "./direct-command-sender.js";
import { FailureDetector } from "./failure-detector.js";
import { HeartbeatHandler } from "./heartbeat-handler.js";
import { canReachMachines } from "./reachability-probe.js";
import { StatusRecorder } from "./status-recorder.js";

/** The communication of one controller with its workers. */
export class WorkerChannel {
  readonly #heartbeatHandler: HeartbeatHandler;
  readonly #commandSender: DirectCommandSender;
  readonly #failureDetector: FailureDetector;

  /**
   * @param state the controller's in-memory state of its shards and machines
   * @param workerClient sends direct calls
   */
  constructor(
    private readonly state: ShardState,
    private readonly workerClient: HttpClient,
  ) {
    const recorder = new StatusRecorder(state);
    const commandSender = new DirectCommandSender(state, workerClient, recorder);
    this.#heartbeatHandler = new HeartbeatHandler(state, recorder);
    this.#commandSender = commandSender;
    this.#failureDetector = new FailureDetector(state, {
      recorder,
      callMachine: (id) => commandSender.requestCall(id, false),
    });
  }

  /** Whether this controller reaches its workers at all. */
  get connectivity(): Connectivity {
    return this.#failureDetector.connectivity;
  }

  /** Whether this controller receives heartbeats; undefined if no machine should send any. */
  receivesHeartbeats(): boolean | undefined {
    return this.#failureDetector.receivesHeartbeats();
  }

  /** After a pause or isolation of this controller: ignores the silence of machines until now. */
  resetTimers(now: MonotonicMs): void {
    this.#failureDetector.resetTimers(now);
  }

  /** Probes whether a few machines, of any owner, answer direct calls of this controller. */
  canReachMachines(): Promise<boolean> {
    return canReachMachines(this.state.ctx, this.workerClient);
  }

  /**
   * Answers `POST /agent/beat`. If this controller is the leader and no record of the machine
   * exists, its status is passed to `handleUnknownMachine`.
   */
  handleHeartbeat(
    body: unknown,
    handleUnknownMachine: (status: WorkerStatus) => void,
  ): HttpResponse {
    return this.#heartbeatHandler.handle(body, handleUnknownMachine);
  }

  /** Queues a direct call that sends a machine its commands; at the front if `isUrgent`. */
  callMachine(id: MachineId, isUrgent = false): void {
    this.#commandSender.requestCall(id, isUrgent);
  }

  /** Calls machines with overdue heartbeats and handles failed ones. Cheap to call often. */
  detectFailures(now: MonotonicMs): void {
    this.#failureDetector.run(now);
  }
}
