/**
 * The commit phase of a round: writes a transaction of the owned shards, and after a failure reads
 * again what it conflicted with.
 *
 * Owns the revision that the replica must have reached before the next decision. No decision may be
 * taken on a replica in which pages are of different moments.
 */
import { type Revision, revision } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { classifyKey } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import { applyCommitted, rereadKeys } from "../context.js";
import type { ShardState } from "../ownership/shard-state.js";

/** Kinds of records that are pages, between which jobs or machines move. */
const PAGE_KINDS: ReadonlySet<string> = new Set(["work", "fleet"]);

/** Commits the transactions of one owner. */
export class RoundCommit {
  /** Pages were read ahead of the watch up to this revision. */
  #pagesReadAt: Revision = revision(0);

  constructor(private readonly state: ShardState) {}

  /** Whether the watch has yet to deliver changes up to a page that was read by itself. */
  get isReplicaBehind(): boolean {
    return this.state.ctx.replica.syncedRevision < this.#pagesReadAt;
  }

  /**
   * Writes the transaction, and repeats it until its fate is known or this controller stops.
   *
   * @returns true if it was applied; otherwise the keys that it conflicted with have been read again
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
    // Most likely its own first copy was applied, and the answer was lost. Keys that are read one by
    // one are of different moments: a job or a machine that went from one page to another in that
    // write could be seen in neither, and its open attempts be taken for none.
    const failedPages = failedKeys.filter((key) => PAGE_KINDS.has(classifyKey(key).kind));
    const conditionKeys = transaction.conditions.map((condition) => condition.key);
    await rereadKeys(ctx, failedKeys.length > 0 ? failedKeys : conditionKeys);
    for (const key of failedPages)
      this.#pagesReadAt = revision(Math.max(this.#pagesReadAt, ctx.replica.revisionOf(key)));
    return false;
  }
}
