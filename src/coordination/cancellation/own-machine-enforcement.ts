/**
 * Enforcement of cancellations on the machines of shards owned here.
 *
 * Owns no state; it changes the machines' soft state (their departure) and marks them dirty, so
 * that the next round writes it. What must hold: an open attempt of a cancelled job is asked about
 * again and again until it is proved gone.
 */
import { type JobId, type MachineId, type MonotonicMs, taskId } from "@umberfold/ids";
import type { OpenAttempt } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { observeAttempt } from "../ownership/attempt-observation.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import { type CancellationAction, decideCancellationAction } from "./cancellation-action.js";
import type { ForcedReturns } from "./forced-returns.js";
import type { LocalShards } from "./local-shards.js";

/** A machine on which a cancelled task stays is called again after this long. */
const REPEAT_CALL_MS = 1000;

/** Stops cancelled tasks on own machines, and in the end has the machines returned. */
export class OwnMachineEnforcement {
  /** @param owner the shards owned here */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: LocalShards,
    private readonly forcedReturns: ForcedReturns,
  ) {}

  /**
   * Stops what is left of a cancelled job, `ageMs` milliseconds after its cancellation. The machines
   * that it yields are to be returned by a direct call.
   */
  enforce(job: JobId, ageMs: number): readonly MachineId[] {
    const { replica } = this.ctx;
    const now = monotonicNow();
    const machinesToReturn: MachineId[] = [];
    for (const open of replica.job(job)?.open ?? []) {
      const { machine } = open;
      const session = this.owner.state.sessions.get(machine);
      if (session === undefined || replica.isGone(machine) || this.forcedReturns.includes(machine))
        continue;
      const action = this.#actionFor(job, open, session, ageMs, now);
      if (action === "none") continue;
      this.#callAgain(machine, now);
      if (action === "stop") continue;
      this.#decommission(machine);
      if (action === "force_return") machinesToReturn.push(machine);
    }
    return machinesToReturn;
  }

  #actionFor(
    job: JobId,
    open: OpenAttempt,
    session: WorkerSession,
    ageMs: number,
    now: MonotonicMs,
  ): CancellationAction {
    const observation = observeAttempt(session, taskId(job, open.index), open.attempt);
    const ended = observation.kind === "present" && observation.status.phase === "ended";
    const awaitsStatus = session.state === "unknown" || session.state === "fencing";
    return decideCancellationAction({
      provedGone: observation.kind === "absent" || ended,
      ageMs,
      cancelMs: this.ctx.settings.workers.cancelS * 1000,
      storeFailing: this.ctx.store.isFailing(),
      awaitingStatusMs: awaitsStatus ? now - session.lastHeardAt : null,
    });
  }

  #callAgain(machine: MachineId, now: MonotonicMs): void {
    const { call } = this.owner.state.machineState(machine);
    if (now - call.lastCallAt >= REPEAT_CALL_MS) this.owner.channel.callMachine(machine, true);
  }

  #decommission(machine: MachineId): void {
    const { state } = this.owner;
    const { departure } = state.machineState(machine);
    if (departure.decommission?.isForced === true) return;
    departure.step({ kind: "decommission_forced", reason: "cancelled task stays" });
    state.dirtyMachines.add(machine);
    state.wake();
  }
}
