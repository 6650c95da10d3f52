/**
 * Writes records that only the leader may write.
 *
 * Owns no state: the leader record in the replica identifies the current term. Each write is
 * conditional on that record's revision, so that a delayed write of a former leader fails
 * whenever it reaches the state store.
 */
import type { Revision } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { Membership } from "../membership/membership.js";

/** Whether this controller may write as the leader; `revision` identifies its term. */
export type LeaderTerm =
  | { readonly kind: "not_leading" }
  | { readonly kind: "leading"; readonly revision: Revision };

const NOT_LEADING: LeaderTerm = { kind: "not_leading" };

/** Commits transactions on the condition that the leadership term still holds. */
export class LeaderRecords {
  constructor(
    protected readonly ctx: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Whether this controller is the active leader and its replica is synced. */
  get canWrite(): boolean {
    return this.ctx.isReplicaSynced && this.membership.isActiveLeader();
  }

  #term(): LeaderTerm {
    const leader = this.ctx.replica.leader;
    if (leader === undefined || !this.membership.isActiveLeader()) return NOT_LEADING;
    return { kind: "leading", revision: leader.rev };
  }

  /**
   * Commits a transaction on the additional condition that the term still holds. Returns true if it
   * was applied. After a conflict it rereads the keys of all conditions and returns false. Returns
   * false at once if this controller doesn't lead.
   */
  async write(transaction: Transaction): Promise<boolean> {
    const { ctx } = this;
    const term = this.#term();
    if (term.kind === "not_leading") return false;
    const conditions = [...transaction.conditions, { key: keys.leader, rev: term.revision }];
    const result = await ctx.store.commitUntilDecided(
      { ...transaction, conditions },
      () => ctx.isShuttingDown,
    );
    if (result.kind === "applied") {
      applyCommitted(ctx.replica, transaction.ops, result.rev);
      return true;
    }
    await rereadKeys(
      ctx,
      conditions.map(({ key }) => key),
    );
    return false;
  }
}
