/**
 * Applies cancellation notices that arrive from other controllers or from this controller's users.
 *
 * Holds no state: a notice is applied to the replica. Invariant: a notice never overwrites a newer
 * record and never creates one.
 */
import type { JobId } from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import { encodeAcceptedJob, keys } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";
import type { LocalShards } from "./local-shards.js";

/** Applies cancellation notices to the replica and stops the tasks of the cancelled jobs. */
export class NoticeReceiver {
  /** @param localShards the shards that this controller owns */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly localShards: LocalShards,
  ) {}

  /**
   * Applies cancellations as if the watch had delivered them, and sends stop commands at once,
   * which needs no write to the state store. A notice of a job that the replica doesn't hold is
   * ignored: this controller can't have started any of its tasks, and a later start is committed on
   * the condition that the job's record is unchanged since it was read, so a cancellation makes it
   * fail.
   */
  receive(notices: readonly CancellationNotice[]): void {
    const { replica } = this.ctx;
    for (const notice of notices) {
      const accepted = replica.acceptedJobs.get(notice.job);
      if (accepted === undefined) continue;
      if (accepted.rev < notice.rev && accepted.value.cancelledAt === null) {
        const value = encodeAcceptedJob({ ...accepted.value, cancelledAt: notice.at });
        replica.apply({ kind: "put", key: keys.live(notice.job), value, rev: notice.rev });
      }
      this.#callMachinesOf(notice.job);
    }
    if (notices.length > 0) this.localShards.state.wake();
  }

  #callMachinesOf(job: JobId): void {
    const { state, channel } = this.localShards;
    for (const { machine } of this.ctx.replica.job(job)?.open ?? [])
      if (state.sessions.has(machine)) channel.callMachine(machine, true);
  }
}
