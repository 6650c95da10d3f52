/**
 * Writes the records of membership: members, leader, teams and shard owners. Owns no state; each
 * transaction is conditional on the revisions that its decision was made on.
 */
import type { Transaction } from "../../protocol/store.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { LeaseKeeper } from "./lease-keeper.js";

/** Commits one transaction at a time and keeps replica and lease in step with its outcome. */
export class MembershipWriter {
  /** A refused transaction tells the keeper that the lease has expired. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly lease: LeaseKeeper,
  ) {}

  /**
   * Repeats the transaction until its outcome is known or the controller stops. True if it was
   * applied; otherwise the keys it was conditional on have been read again.
   */
  async commit(transaction: Transaction): Promise<boolean> {
    const { ctx } = this;
    const result = await ctx.store.commitUntilDecided(transaction, () => ctx.isShuttingDown);
    if (result.kind === "applied") {
      applyCommitted(ctx.replica, transaction.ops, result.rev);
      return true;
    }
    if (result.kind === "refused") this.lease.leaseExpired();
    await rereadKeys(
      ctx,
      transaction.conditions.map((condition) => condition.key),
    );
    return false;
  }
}
