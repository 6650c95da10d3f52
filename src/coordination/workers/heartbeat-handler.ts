/**
 * Answers heartbeats: records the status, and answers with the fencing token and the commands that
 * reconciliation derives from the status. Only the owner of the machine answers with 200, and only
 * with a token that the worker will accept. Otherwise the worker is redirected to another
 * controller, or asked to retry.
 */
import type { ControllerLabel, FencingToken } from "@umberfold/ids";
import {
  heartbeatResponseBody,
  parseWorkerStatus,
  redirectBody,
  type WorkerStatus,
} from "../../protocol/workers.js";
import { monotonicNow } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/server.js";
import { reconcileCommands, startedAttemptKeys } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";
import { desiredAttemptsOn } from "./desired-attempts.js";
import type { StatusRecorder } from "./status-recorder.js";

/** Asks the worker to repeat its heartbeat after a delay. */
const RETRY_AFTER_1_S: HttpResponse = { status: 503, retryAfterS: 1 };
const RETRY_AFTER_5_S: HttpResponse = { status: 503, retryAfterS: 5 };

const redirectTo = (label: ControllerLabel | undefined): HttpResponse => ({
  status: 421,
  body: redirectBody(label),
});

/** Whether this controller may accept a heartbeat; if not, the response that refuses it. */
type Admission =
  | { readonly kind: "owned"; readonly token: FencingToken }
  | { readonly kind: "refused"; readonly response: HttpResponse };

const refused = (response: HttpResponse): Admission => ({ kind: "refused", response });

/** Answers the heartbeats of one controller. */
export class HeartbeatHandler {
  /**
   * @param state the controller's in-memory state of its shards and machines
   * @param recorder records the statuses
   */
  constructor(
    private readonly state: ShardState,
    private readonly recorder: StatusRecorder,
  ) {}

  /**
   * Answers one heartbeat.
   *
   * @param body the decoded request
   * @param handleUnknownMachine called, if this controller is the leader, with the status of a
   *   machine of which no record exists
   */
  handle(body: unknown, handleUnknownMachine: (status: WorkerStatus) => void): HttpResponse {
    const { state } = this;
    const status = parseWorkerStatus(body);
    if (status === undefined) {
      state.ctx.log.info("malformed heartbeat", {});
      return { status: 400, body: { error: "malformed report" } };
    }
    const admission = this.#admit(status, handleUnknownMachine);
    return admission.kind === "refused"
      ? admission.response
      : this.#accept(status, admission.token);
  }

  #admit(status: WorkerStatus, handleUnknownMachine: (status: WorkerStatus) => void): Admission {
    const { state } = this;
    const { ctx, membership } = state;
    const { replica, self } = ctx;
    if (!ctx.isReplicaSynced) return refused(RETRY_AFTER_1_S);
    // The lease is lost while the state store serves other controllers: one of them owns the
    // machine, or will soon.
    if (!membership.holdsValidLease()) return refused(redirectTo(undefined));
    const machine = replica.machines.get(status.machine);
    if (machine === undefined) {
      const leader = replica.leader?.value.label;
      if (membership.isLeader()) handleUnknownMachine(status);
      return refused(redirectTo(leader === self.label ? undefined : leader));
    }
    if (!membership.ownsShard(machine.shard)) {
      const owner = membership.ownerOf(machine.shard)?.label;
      return refused(redirectTo(owner === self.label ? undefined : owner));
    }
    // The machine is proved gone, so the heartbeat was sent before that.
    if (replica.isGone(status.machine)) return refused(RETRY_AFTER_5_S);
    const token = state.fencingTokenOf(machine);
    if (status.token <= token) return { kind: "owned", token };
    this.recorder.rereadOwnership(status.machine, machine);
    return refused(RETRY_AFTER_1_S);
  }

  #accept(status: WorkerStatus, token: FencingToken): HttpResponse {
    const { state, recorder } = this;
    const { machine } = status;
    const now = monotonicNow();
    state.assignToken(machine, token, now);
    recorder.record(status, "heartbeat", now);
    const session = state.sessions.get(machine);
    if (session === undefined) return RETRY_AFTER_1_S;
    // A status that arrived late doesn't show what the worker runs now: it gets no commands.
    const commands =
      session.status === status
        ? reconcileCommands(session, desiredAttemptsOn(state, machine))
        : [];
    state.stepSession(machine, {
      kind: "heartbeat_answered",
      starts: startedAttemptKeys(commands),
    });
    return { status: 200, body: heartbeatResponseBody(token, commands) };
  }
}
