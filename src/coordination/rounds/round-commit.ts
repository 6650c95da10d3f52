/**
 * The commit phase of a round: writes a transaction of the owned shards, and after a failure
 * rereads the keys that it conflicted with.
 *
 * Owns the revision that the replica must have reached before the next decision. No decision may be
 * based on a replica whose pages were read at different revisions.
 */
import { type Revision, revision } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { classifyKey } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import { applyCommitted, rereadKeys } from "../context.js";
import type { ShardState } from "../ownership/shard-state.js";

/** Kinds of keys that hold pages; jobs and machines may move from one page to another. */
const PAGE_KEY_KINDS: ReadonlySet<string> = new Set(["work", "fleet"]);

/** Commits the transactions of one owner. */
export class RoundCommit {
  /** The highest revision at which a page was reread ahead of the watch. */
  #pagesRereadAt: Revision = revision(0);

  constructor(private readonly state: ShardState) {}

  /** Whether the watch has not yet delivered all changes up to the last page that was reread. */
  get isReplicaBehind(): boolean {
    return this.state.ctx.replica.syncedRevision < this.#pagesRereadAt;
  }

  /**
   * Writes the transaction, and retries it until its outcome is known or this controller stops.
   *
   * @returns true if it was applied; otherwise the keys that it conflicted with have been reread
   */
  async commit(transaction: Transaction): Promise<boolean> {
    const { ctx, counters } = this.state;
    const beganAt = monotonicNow();
    const result = await ctx.store.commitUntilDecided(transaction, () => ctx.isShuttingDown);
    ctx.metrics.record("commit", monotonicNow() - beganAt);
    if (result.kind === "applied") {
      applyCommitted(ctx.replica, transaction.ops, result.rev);
      counters.commits++;
      counters.puts += transaction.ops.length;
      return true;
    }
    counters.conflicts++;
    ctx.log.debug("round commit failed", { result: result.kind, ops: transaction.ops.length });
    const failedKeys = result.kind === "conflict" ? result.failed : [];
    // Most likely an earlier try of this transaction was applied and its response was lost. Keys
    // that are reread one by one come from different revisions: a job or a machine that this write
    // moved from one page to another could be missing from both, as if it had no open attempts.
    const failedPages = failedKeys.filter((key) => PAGE_KEY_KINDS.has(classifyKey(key).kind));
    const conditionKeys = transaction.conditions.map((condition) => condition.key);
    await rereadKeys(ctx, failedKeys.length > 0 ? failedKeys : conditionKeys);
    for (const key of failedPages)
      this.#pagesRereadAt = revision(Math.max(this.#pagesRereadAt, ctx.replica.revisionOf(key)));
    return false;
  }
}
