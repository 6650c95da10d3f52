/**
 * Direct calls to workers: sends commands without waiting for a heartbeat, and asks silent
 * machines for their status.
 *
 * Each machine has at most one call in flight (see direct-call-state.ts), and the total in flight
 * is bounded: otherwise a user's request would wait behind the answers of all machines called in a
 * failover. The outcome of a call updates the worker session (whether the starts that it carried
 * may still be in flight) and the machine's health (whether it answered).
 */

import type { MachineId } from "@umberfold/ids";
import { errorFields } from "../../observability/error-fields.js";
import { commandsBody, parseWorkerStatus } from "../../protocol/workers.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import { divideSockets } from "../../transport/sockets.js";
import type { MachineSoftState } from "../ownership/machine-soft-state.js";
import { reconcileCommands, startedAttemptKeys } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import { desiredAttemptsOn } from "./desired-attempts.js";
import type { StatusRecorder } from "./status-recorder.js";

/** Timeout of a direct call to a worker. */
export const DIRECT_CALL_TIMEOUT_MS = 1200;
/** The epoch assumed for a worker that has sent no status yet: most are in their first epoch. */
const FIRST_EPOCH = 1;

/** The endpoint and session of a machine, read before it is called. */
interface Recipient {
  readonly endpoint: string;
  readonly session: WorkerSession;
}

/** The next call to a machine. */
type DirectCall =
  /** Shows our fencing token to a worker that has sent no status yet; carries no commands. */
  | { readonly kind: "show_token"; readonly body: unknown }
  /** Asks for the status, because there is nothing to command. */
  | { readonly kind: "ask_status" }
  /** Sends commands. `starts`: keys of the attempts started; `session`: as before the call. */
  | {
      readonly kind: "command";
      readonly body: unknown;
      readonly starts: readonly string[];
      readonly session: WorkerSession;
    };

type CommandOutcome = "command_answered" | "command_not_sent" | "command_lost";

/**
 * The call was not sent because this process had no free socket or connection slot, which is no
 * evidence against the machine.
 */
const isLocalFailure = (result: CallResult): boolean =>
  result.kind === "unsent" && result.isLocal === true;

const answerBody = (result: CallResult): unknown =>
  result.kind === "answer" ? result.body : undefined;

/** Whether the commands in a call were executed, as far as its result shows. */
const commandOutcome = (result: CallResult): CommandOutcome => {
  if (result.kind === "unsent") return "command_not_sent";
  if (result.kind === "lost") return "command_lost";
  if (result.status === 200) return "command_answered";
  // The worker refused the request and executed nothing.
  return result.status === 409 || result.status === 400 ? "command_not_sent" : "command_lost";
};

/** The direct calls of one controller. */
export class DirectCommandSender {
  readonly #queue: MachineId[] = [];
  #inFlightCount = 0;
  /** Limit of calls in flight; a call to a dead machine counts until it times out. */
  readonly #maxInFlight: number;

  /**
   * @param state the controller's in-memory state of its shards and machines
   * @param workerClient sends the calls
   * @param recorder records the statuses in their answers
   */
  constructor(
    private readonly state: ShardState,
    private readonly workerClient: HttpClient,
    private readonly recorder: StatusRecorder,
  ) {
    const { settings } = state.ctx;
    const controllerCount = settings.seeds.length + 1;
    this.#maxInFlight = divideSockets(settings.resources.maxSockets, controllerCount).workerCalls;
  }

  /**
   * Queues a call to a machine, at the front if it is urgent. If one is queued or in flight, the
   * next is queued after it has ended.
   */
  requestCall(id: MachineId, isUrgent: boolean): void {
    if (!this.state.machineState(id).call.requestCall(monotonicNow())) return;
    if (isUrgent) this.#queue.unshift(id);
    else this.#queue.push(id);
    this.#sendQueued();
  }

  #sendQueued(): void {
    while (this.#inFlightCount < this.#maxInFlight) {
      const id = this.#queue.shift();
      if (id === undefined) return;
      const machineState = this.state.machineState(id);
      this.#inFlightCount++;
      this.#send(id, machineState)
        .catch((error) =>
          this.state.ctx.log.error("worker call failed", { machine: id, ...errorFields(error) }),
        )
        .finally(() => {
          this.#inFlightCount--;
          if (machineState.call.end()) this.requestCall(id, false);
          this.#sendQueued();
        });
    }
  }

  async #send(id: MachineId, machineState: MachineSoftState): Promise<void> {
    const recipient = this.#findRecipient(id);
    if (recipient === undefined) return;
    const { endpoint, session } = recipient;
    machineState.call.markSent(monotonicNow());
    const call = this.#nextCall(id, session);
    if (call.kind === "command")
      this.state.stepSession(id, { kind: "command_sent", starts: call.starts });
    const result = await (call.kind === "ask_status"
      ? this.workerClient.call(endpoint, "GET", "/status", undefined, DIRECT_CALL_TIMEOUT_MS)
      : this.workerClient.call(endpoint, "POST", "/orders", call.body, DIRECT_CALL_TIMEOUT_MS));
    if (call.kind === "command") this.#onCommandResult(id, machineState, call, result);
    else this.#onStatusResult(id, machineState, call, result);
  }

  /** Undefined if the machine has no known endpoint, is gone, or has no session or record. */
  #findRecipient(id: MachineId): Recipient | undefined {
    const { sessions, ctx } = this.state;
    const session = sessions.get(id);
    const machine = ctx.replica.machines.get(id);
    if (session === undefined || machine === undefined || ctx.replica.isGone(id)) return undefined;
    const endpoint = session.status?.endpoint ?? machine.endpoint;
    return endpoint === "" ? undefined : { endpoint, session };
  }

  #nextCall(id: MachineId, session: WorkerSession): DirectCall {
    // The worker's epoch is unknown. If it is the first, this call shows it our token; if not, the
    // worker refuses the call, and its answer contains the epoch.
    if (session.status === undefined)
      return { kind: "show_token", body: commandsBody(session.token, FIRST_EPOCH, []) };
    const commands = reconcileCommands(session, desiredAttemptsOn(this.state, id));
    if (session.state === "ready" && commands.length === 0) return { kind: "ask_status" };
    const body = commandsBody(session.token, session.status.epoch, commands);
    return { kind: "command", body, starts: startedAttemptKeys(commands), session };
  }

  #onStatusResult(
    id: MachineId,
    machineState: MachineSoftState,
    call: DirectCall,
    result: CallResult,
  ): void {
    if (isLocalFailure(result)) return;
    this.#onAnswer(id, machineState, answerBody(result));
    // The worker refused the assumed epoch. Its epoch is known now: the next call shows our token.
    if (call.kind === "show_token" && this.state.sessions.get(id)?.state === "fencing")
      machineState.call.requestRepeat();
  }

  #onCommandResult(
    id: MachineId,
    machineState: MachineSoftState,
    { starts, session }: Extract<DirectCall, { kind: "command" }>,
    result: CallResult,
  ): void {
    const { state } = this;
    const outcome = commandOutcome(result);
    state.stepSession(id, { kind: outcome, starts, token: session.token });
    if (result.kind !== "answer" || outcome === "command_lost") {
      if (!isLocalFailure(result)) this.#onFailedCall(id, machineState);
      return;
    }
    this.#onAnswer(id, machineState, result.body);
    // The worker has just accepted our token: commands that waited for this are sent at once.
    const sessionAfter = state.sessions.get(id);
    if (session.state !== "fencing" || sessionAfter?.state !== "ready") return;
    if (reconcileCommands(sessionAfter, desiredAttemptsOn(state, id)).length > 0)
      machineState.call.requestRepeat();
  }

  #onFailedCall(id: MachineId, { health, call }: MachineSoftState): void {
    health.recordFailedCall(call.lastCallAt);
    this.state.dirtyMachines.add(id);
    this.state.wake();
  }

  /** Handles an answer; one that is not a status of this machine counts as a failed call. */
  #onAnswer(id: MachineId, machineState: MachineSoftState, body: unknown): void {
    const { sessions, ctx } = this.state;
    const status = parseWorkerStatus(body);
    if (status === undefined || status.machine !== id) {
      this.#onFailedCall(id, machineState);
      return;
    }
    machineState.health.recordAnsweredCall();
    const session = sessions.get(id);
    if (session === undefined) return;
    if (status.token <= session.token) {
      this.recorder.record(status, "direct", monotonicNow());
      return;
    }
    const machine = ctx.replica.machines.get(id);
    if (machine !== undefined) this.recorder.rereadOwnership(id, machine);
  }
}
