/**
 * Answers heartbeats: takes the status in, and answers with the fencing token and the commands that
 * reconciliation derives from it. Only the owner of the machine answers with 200, and only with a
 * token that the worker will accept; anybody else redirects the worker, or asks it to come again.
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

/** The worker repeats its heartbeat after so many seconds. */
const RETRY_SOON: HttpResponse = { status: 503, retryAfterS: 1 };
const RETRY_LATER: HttpResponse = { status: 503, retryAfterS: 5 };

const redirectTo = (label: ControllerLabel | undefined): HttpResponse => ({
  status: 421,
  body: redirectBody(label),
});

/** Whether this controller may answer a heartbeat, and how else it is answered. */
type Admission =
  | { readonly kind: "owned"; readonly token: FencingToken }
  | { readonly kind: "refused"; readonly response: HttpResponse };

const refused = (response: HttpResponse): Admission => ({ kind: "refused", response });

/** Answers the heartbeats of one controller. */
export class HeartbeatHandler {
  /**
   * @param state what the controller keeps of its machines
   * @param recorder takes the statuses in
   */
  constructor(
    private readonly state: ShardState,
    private readonly recorder: StatusRecorder,
  ) {}

  /**
   * Answers one heartbeat.
   *
   * @param body the decoded request
   * @param adoptUnknown takes a status of a machine that no record shows, where this is the leader
   */
  handle(body: unknown, adoptUnknown: (status: WorkerStatus) => void): HttpResponse {
    const { state } = this;
    const status = parseWorkerStatus(body);
    if (status === undefined) {
      state.ctx.log.info("malformed heartbeat", {});
      return { status: 400, body: { error: "malformed report" } };
    }
    const admission = this.#admit(status, adoptUnknown);
    return admission.kind === "refused"
      ? admission.response
      : this.#accept(status, admission.token);
  }

  #admit(status: WorkerStatus, adoptUnknown: (status: WorkerStatus) => void): Admission {
    const { state } = this;
    const { ctx, membership } = state;
    const { replica, self } = ctx;
    if (!ctx.isReplicaSynced) return refused(RETRY_SOON);
    // Cut off while others are served: somebody else owns the machine, or soon will.
    if (!membership.holdsValidLease()) return refused(redirectTo(undefined));
    const machine = replica.machines.get(status.machine);
    if (machine === undefined) {
      const leader = replica.leader?.value.label;
      if (membership.isLeader()) adoptUnknown(status);
      return refused(redirectTo(leader === self.label ? undefined : leader));
    }
    if (!membership.ownsShard(machine.shard)) {
      const owner = membership.ownerOf(machine.shard)?.label;
      return refused(redirectTo(owner === self.label ? undefined : owner));
    }
    // Proved gone: what it says was sent before.
    if (replica.isGone(status.machine)) return refused(RETRY_LATER);
    const token = state.fencingTokenOf(machine);
    if (status.token <= token) return { kind: "owned", token };
    this.recorder.rereadOwnership(status.machine, machine);
    return refused(RETRY_SOON);
  }

  #accept(status: WorkerStatus, token: FencingToken): HttpResponse {
    const { state, recorder } = this;
    const { machine } = status;
    const now = monotonicNow();
    state.assignToken(machine, token, now);
    recorder.record(status, "heartbeat", now);
    const session = state.sessions.get(machine);
    if (session === undefined) return RETRY_SOON;
    // To a status that came late no commands are given: it isn't what the worker runs now.
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
