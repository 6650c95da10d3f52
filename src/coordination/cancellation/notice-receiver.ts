/**
 * Cancellation notices that arrive from other controllers, or from this one's own users.
 *
 * Owns no state: a notice goes into the replica. What must hold: a notice never overrides a newer
 * record, and never creates one.
 */
import type { JobId } from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import { encodeAcceptedJob, keys } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";
import type { LocalShards } from "./local-shards.js";

/** Takes cancellation notices into the replica and stops their tasks. */
export class NoticeReceiver {
  /** @param owner the shards owned here */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly owner: LocalShards,
  ) {}

  /**
   * Takes in cancellations as if the watch had shown them, and stops their tasks at once: that needs
   * no write. A notice of a job that is not known changes nothing: nothing of it can have been
   * started from here, and what starts it later must name its record's revision.
   */
  receive(notices: readonly CancellationNotice[]): void {
    const { replica } = this.ctx;
    for (const notice of notices) {
      const accepted = replica.accepted.get(notice.job);
      if (accepted === undefined) continue;
      if (accepted.rev < notice.rev && accepted.value.cancelledAt === null) {
        const value = encodeAcceptedJob({ ...accepted.value, cancelledAt: notice.at });
        replica.apply({ kind: "put", key: keys.live(notice.job), value, rev: notice.rev });
      }
      this.#callMachinesOf(notice.job);
    }
    if (notices.length > 0) this.owner.state.wake();
  }

  #callMachinesOf(job: JobId): void {
    const { state, channel } = this.owner;
    for (const { machine } of this.ctx.replica.job(job)?.open ?? [])
      if (state.sessions.has(machine)) channel.callMachine(machine, true);
  }
}
