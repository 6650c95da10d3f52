/**
 * Enforces cancellations on the machines of the shards that this controller owns.
 *
 * Holds no state. It changes the machines' soft state (their departure) and marks them dirty, so
 * that the next round writes the change. Invariant: the machine of an open attempt of a cancelled
 * job is called repeatedly until the attempt is proved gone.
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

/** Interval between calls to a machine on which a cancelled task is not proved gone. */
const CALL_REPEAT_INTERVAL_MS = 1000;

/** Stops cancelled tasks on machines owned here, or else has the machines returned. */
export class OwnMachineEnforcement {
  /** @param localShards the shards that this controller owns */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly localShards: LocalShards,
    private readonly forcedReturns: ForcedReturns,
  ) {}

  /**
   * Stops the open attempts of a cancelled job, `ageMs` milliseconds after its cancellation.
   * Returns the machines that the caller has to return by a direct call to the cloud.
   */
  enforce(job: JobId, ageMs: number): readonly MachineId[] {
    const { replica } = this.ctx;
    const now = monotonicNow();
    const machinesToReturn: MachineId[] = [];
    for (const openAttempt of replica.job(job)?.open ?? []) {
      const { machine } = openAttempt;
      const session = this.localShards.state.sessions.get(machine);
      if (
        session === undefined ||
        replica.isGone(machine) ||
        this.forcedReturns.hasReturned(machine)
      )
        continue;
      const action = this.#actionFor(job, openAttempt, session, ageMs, now);
      if (action === "none") continue;
      this.#callIfDue(machine, now);
      if (action === "stop") continue;
      this.#decommission(machine);
      if (action === "force_return") machinesToReturn.push(machine);
    }
    return machinesToReturn;
  }

  #actionFor(
    job: JobId,
    openAttempt: OpenAttempt,
    session: WorkerSession,
    ageMs: number,
    now: MonotonicMs,
  ): CancellationAction {
    const observation = observeAttempt(
      session,
      taskId(job, openAttempt.index),
      openAttempt.attempt,
    );
    const hasEnded = observation.kind === "present" && observation.status.phase === "ended";
    const awaitsFirstStatus = session.state === "unknown" || session.state === "fencing";
    return decideCancellationAction({
      isProvedGone: observation.kind === "absent" || hasEnded,
      ageMs,
      cancelMs: this.ctx.settings.workers.cancellationTimeoutS * 1000,
      isStoreFailing: this.ctx.store.isFailing(),
      firstStatusWaitMs: awaitsFirstStatus ? now - session.lastHeardAt : null,
    });
  }

  #callIfDue(machine: MachineId, now: MonotonicMs): void {
    const { call } = this.localShards.state.machineState(machine);
    if (now - call.lastCallAt >= CALL_REPEAT_INTERVAL_MS)
      this.localShards.channel.callMachine(machine, true);
  }

  #decommission(machine: MachineId): void {
    const { state } = this.localShards;
    const { departure } = state.machineState(machine);
    if (departure.decommission?.isForced === true) return;
    departure.step({ kind: "decommission_forced", reason: "cancelled task stays" });
    state.dirtyMachines.add(machine);
    state.wake();
  }
}
