/**
 * Direct calls to workers: sends commands without waiting for a heartbeat, and asks machines that
 * are silent for their status.
 *
 * One call at a time for each machine (see direct-call-state.ts), and a bounded number in all, or a
 * user's request would wait behind all the answers of a failover. Each call's outcome goes into the
 * worker session (may its starts be in flight?) and into the machine's health (did it answer?).
 */

import type { MachineId } from "@umberfold/ids";
import { errorFields } from "../../observability/error-fields.js";
import { commandsBody, parseWorkerStatus } from "../../protocol/workers.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";
import { socketParts } from "../../transport/sockets.js";
import type { MachineSoftState } from "../ownership/machine-soft-state.js";
import { reconcileCommands, startedAttemptKeys } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import { desiredAttemptsOn } from "./desired-attempts.js";
import type { StatusRecorder } from "./status-recorder.js";

/** How long a direct call to a worker may take. */
export const DIRECT_CALL_MS = 1200;
/** The epoch that most machines are in when their first status hasn't come yet. */
const FIRST_EPOCH = 1;

/** A machine that is being called, as it is known before the call. */
interface Recipient {
  readonly endpoint: string;
  readonly session: WorkerSession;
}

/** What a machine is sent next. */
type DirectCall =
  /** Shows our token to a worker of which no status is known. */
  | { readonly kind: "introduce"; readonly body: unknown }
  /** There is nothing to command: its status is asked for. */
  | { readonly kind: "ask_status" }
  /** Commands, under the session as it was before; `starts` are the attempts that they start. */
  | {
      readonly kind: "command";
      readonly body: unknown;
      readonly starts: readonly string[];
      readonly session: WorkerSession;
    };

type CommandOutcome = "command_answered" | "command_not_sent" | "command_lost";

/** A call that never went out for want of a socket or a turn here says nothing of the machine. */
const isOwnFault = (result: CallResult): boolean => result.kind === "unsent" && result.own === true;

const bodyOf = (result: CallResult): unknown =>
  result.kind === "answer" ? result.body : undefined;

/** What became of the commands in a call. */
const commandOutcome = (result: CallResult): CommandOutcome => {
  if (result.kind === "unsent") return "command_not_sent";
  if (result.kind === "lost") return "command_lost";
  if (result.status === 200) return "command_answered";
  // Refused: nothing was executed.
  return result.status === 409 || result.status === 400 ? "command_not_sent" : "command_lost";
};

/** The direct calls of one controller. */
export class DirectCommandSender {
  readonly #queue: MachineId[] = [];
  #inFlight = 0;
  /** Calls in flight at a time: dead machines hold theirs for as long as a call may take. */
  readonly #maxInFlight: number;

  /**
   * @param state what the controller keeps of its machines
   * @param workers sends the calls
   * @param recorder takes in the statuses that they are answered with
   */
  constructor(
    private readonly state: ShardState,
    private readonly workers: HttpClient,
    private readonly recorder: StatusRecorder,
  ) {
    const { settings } = state.ctx;
    const members = settings.seeds.length + 1;
    this.#maxInFlight = socketParts(settings.resources.maxSockets, members).workers;
  }

  /** Queues a call to a machine, at the front if it is urgent; or after the one in flight. */
  call(id: MachineId, urgent: boolean): void {
    if (!this.state.machineState(id).call.requestCall(monotonicNow())) return;
    if (urgent) this.#queue.unshift(id);
    else this.#queue.push(id);
    this.#sendQueued();
  }

  #sendQueued(): void {
    while (this.#inFlight < this.#maxInFlight) {
      const id = this.#queue.shift();
      if (id === undefined) return;
      const machineState = this.state.machineState(id);
      this.#inFlight++;
      this.#send(id, machineState)
        .catch((error) =>
          this.state.ctx.log.error("worker call failed", { machine: id, ...errorFields(error) }),
        )
        .finally(() => {
          this.#inFlight--;
          if (machineState.call.end()) this.call(id, false);
          this.#sendQueued();
        });
    }
  }

  async #send(id: MachineId, machineState: MachineSoftState): Promise<void> {
    const recipient = this.#recipient(id);
    if (recipient === undefined) return;
    const { endpoint, session } = recipient;
    machineState.call.markSent(monotonicNow());
    const call = this.#nextCall(id, session);
    if (call.kind === "command")
      this.state.stepSession(id, { kind: "command_sent", starts: call.starts });
    const result = await (call.kind === "ask_status"
      ? this.workers.call(endpoint, "GET", "/status", undefined, DIRECT_CALL_MS)
      : this.workers.call(endpoint, "POST", "/orders", call.body, DIRECT_CALL_MS));
    if (call.kind === "command") this.#onCommandResult(id, machineState, call, result);
    else this.#onStatusResult(id, machineState, call, result);
  }

  /** Whom to call; undefined if the machine can't be called, or needn't be any more. */
  #recipient(id: MachineId): Recipient | undefined {
    const { sessions, ctx } = this.state;
    const session = sessions.get(id);
    const machine = ctx.replica.machines.get(id);
    if (session === undefined || machine === undefined || ctx.replica.isGone(id)) return undefined;
    const endpoint = session.status?.endpoint ?? machine.endpoint;
    return endpoint === "" ? undefined : { endpoint, session };
  }

  #nextCall(id: MachineId, session: WorkerSession): DirectCall {
    // The epoch is unknown, but most are in their first: if so, one call shows it our token; if
    // not, the refusal tells the epoch.
    if (session.status === undefined)
      return { kind: "introduce", body: commandsBody(session.token, FIRST_EPOCH, []) };
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
    if (isOwnFault(result)) return;
    this.#onAnswer(id, machineState, bodyOf(result));
    // Its epoch is known now: the next call can show it our token.
    if (call.kind === "introduce" && this.state.sessions.get(id)?.state === "fencing")
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
    state.stepSession(id, { kind: outcome, starts });
    if (result.kind !== "answer" || outcome === "command_lost") {
      if (!isOwnFault(result)) this.#onFailedCall(id, machineState);
      return;
    }
    this.#onAnswer(id, machineState, result.body);
    // It has shown our token just now: what waited for that goes at once.
    const after = state.sessions.get(id);
    if (session.state !== "fencing" || after?.state !== "ready") return;
    if (reconcileCommands(after, desiredAttemptsOn(state, id)).length > 0)
      machineState.call.requestRepeat();
  }

  #onFailedCall(id: MachineId, { health, call }: MachineSoftState): void {
    health.recordFailedCall(call.lastCallAt);
    this.state.dirtyMachines.add(id);
    this.state.wake();
  }

  /** Takes an answer in; one that is no status of this machine counts as none. */
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
