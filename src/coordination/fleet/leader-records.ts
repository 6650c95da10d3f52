import type { Transaction } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import type { Membership } from "../membership/membership.js";

/**
 * The records that only the leader writes. Each write is conditional on its leadership, so that one
 * of a deposed leader fails however late it is carried out.
 */
export class LeaderRecords {
  constructor(
    protected readonly ctx: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Whether this controller leads, and knows the records. */
  get writable(): boolean {
    return this.ctx.synced && this.membership.isActiveLeader();
  }

  /** True if it was applied; else what stood in the way is known by now. */
  async write(t: Transaction): Promise<boolean> {
    const { ctx } = this;
    const lead = ctx.replica.leader;
    if (lead === undefined || !this.membership.isActiveLeader()) return false;
    const conditions = [...t.conditions, { key: keys.leader, rev: lead.rev }];
    const r = await ctx.store.commitUntilDecided({ ...t, conditions }, () => ctx.stopping);
    if (r.kind === "applied") {
      applyCommitted(ctx.replica, t.ops, r.rev);
      return true;
    }
    await rereadKeys(
      ctx,
      conditions.map((c) => c.key),
    );
    return false;
  }
}
