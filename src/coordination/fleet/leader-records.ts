/**
 * The records that only the leader writes.
 *
 * Owns no state: the leader's record in the replica says whose term it is. What must hold: each
 * write is conditional on this term of leadership, so that one of a deposed leader fails however
 * late it is carried out.
 */
import type { Revision } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { Membership } from "../membership/membership.js";

/** Whether this controller may write as the leader; `revision` names its term. */
export type LeaderTerm =
  | { readonly kind: "not_leading" }
  | { readonly kind: "leading"; readonly revision: Revision };

const NOT_LEADING: LeaderTerm = { kind: "not_leading" };

/** Writes under the leader's term. */
export class LeaderRecords {
  constructor(
    protected readonly ctx: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Whether this controller leads, and knows the records. */
  get canWrite(): boolean {
    return this.ctx.isReplicaSynced && this.membership.isActiveLeader();
  }

  #term(): LeaderTerm {
    const leader = this.ctx.replica.leader;
    if (leader === undefined || !this.membership.isActiveLeader()) return NOT_LEADING;
    return { kind: "leading", revision: leader.rev };
  }

  /**
   * Commits a transaction on the added condition that the term still holds. True if it was applied;
   * else what stood in the way is known by now. False at once without leadership.
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
