/**
 * All traffic between an owner and its workers, composed of its parts: heartbeats in
 * (heartbeat-handler.ts), direct calls out (direct-command-sender.ts), statuses taken in
 * (status-recorder.ts), and failure detection (failure-detector.ts).
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

/** The workers of one controller. */
export class WorkerChannel {
  readonly #heartbeats: HeartbeatHandler;
  readonly #commands: DirectCommandSender;
  readonly #detector: FailureDetector;

  /**
   * @param state what the controller keeps of its machines
   * @param workers sends direct calls
   */
  constructor(
    private readonly state: ShardState,
    private readonly workers: HttpClient,
  ) {
    const recorder = new StatusRecorder(state);
    const commands = new DirectCommandSender(state, workers, recorder);
    this.#heartbeats = new HeartbeatHandler(state, recorder);
    this.#commands = commands;
    this.#detector = new FailureDetector(state, {
      recorder,
      callMachine: (id) => commands.call(id, false),
    });
  }

  /** Whether this controller reaches its workers at all. */
  get connectivity(): Connectivity {
    return this.#detector.connectivity;
  }

  /** Whether heartbeats arrive here; undefined if no machine should be sending any. */
  receivesHeartbeats(): boolean | undefined {
    return this.#detector.receivesHeartbeats();
  }

  /** The controller was paused or cut off: silence until now counts against no machine. */
  resetTimers(now: MonotonicMs): void {
    this.#detector.resetTimers(now);
  }

  /** Whether machines answer a call from here: a few are asked, whoever owns them. */
  canReachMachines(): Promise<boolean> {
    return canReachMachines(this.state.ctx, this.workers);
  }

  /**
   * Answers `POST /agent/beat`. The leader's `adoptUnknown` is given the status of a machine that
   * no record shows.
   */
  handleHeartbeat(body: unknown, adoptUnknown: (status: WorkerStatus) => void): HttpResponse {
    return this.#heartbeats.handle(body, adoptUnknown);
  }

  /** Sends a machine what it should do, straight to its address; ahead of others if `urgent`. */
  callMachine(id: MachineId, urgent = false): void {
    this.#commands.call(id, urgent);
  }

  /** Calls machines that are late, and gives up those that failed. Cheap to call often. */
  detectFailures(now: MonotonicMs): void {
    this.#detector.run(now);
  }
}
