/**
 * Writes the member, leader, team and shard owner records. Stateless; each transaction is
 * conditional on the record revisions that the decision was based on.
 */
import type { Transaction } from "../../protocol/store.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { LeaseKeeper } from "./lease-keeper.js";

/** Commits a transaction and updates the replica and the lease state according to its outcome. */
export class MembershipWriter {
  /** A refused transaction is reported to the lease keeper as an expired lease. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly lease: LeaseKeeper,
  ) {}

  /**
   * Retries the transaction until its outcome is known or the controller stops. Returns true if it
   * was applied; otherwise rereads the keys of its conditions and returns false.
   */
  async commit(transaction: Transaction): Promise<boolean> {
    const { ctx } = this;
    const result = await ctx.store.commitUntilDecided(transaction, () => ctx.isShuttingDown);
    if (result.kind === "applied") {
      applyCommitted(ctx.replica, transaction.ops, result.rev);
      return true;
    }
    if (result.kind === "refused") this.lease.onLeaseExpired();
    await rereadKeys(
      ctx,
      transaction.conditions.map((condition) => condition.key),
    );
    return false;
  }
}
