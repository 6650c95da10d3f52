/**
 * Keeps the replica in step with the state store: a scan at the start and whenever the watch has
 * fallen too far behind, and the watch in between. Sets `isReplicaSynced` of the context, and
 * nothing else.
 */
import type { ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import { errorFields } from "../observability/error-fields.js";
import { CURRENT_PREFIX, classifyKey } from "../storage/records.js";
import { sleep } from "../transport/clock.js";

/** How long the state store may hold a watch open until there is a change. */
const WATCH_WAIT_MS = 10_000;
/** How long to wait after a scan or a watch that came to nothing. */
const RETRY_MS = 200;

/** The watch of this controller; `follow` is run again and again as a periodic task. */
export class ReplicaSync {
  /** `wakeRounds` has a scheduling round run soon. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly wakeRounds: () => void,
  ) {}

  /** One watch, answered or timed out; before the first, the scan. */
  async follow(): Promise<void> {
    const { store, replica } = this.ctx;
    if (!this.ctx.isReplicaSynced && !(await this.#startSync())) return sleep(RETRY_MS);
    const watched = await store.watch(CURRENT_PREFIX, replica.syncedRevision, WATCH_WAIT_MS);
    if (watched.kind === "unavailable") return sleep(RETRY_MS);
    if (watched.kind === "too_old") {
      await this.#scan();
      return;
    }
    let foreignWrites = 0;
    for (const change of watched.changes) {
      // A change that is not known yet is foreign: own ones were applied when they were answered.
      // (While own deletes counted as foreign writes, an owner throttled itself when many jobs
      // finished at once.)
      if (replica.isApplied(change)) continue;
      // Finishing a job also writes its final record, which no watch shows.
      foreignWrites += change.kind === "delete" && classifyKey(change.key).kind === "live" ? 2 : 1;
      replica.apply(change);
    }
    this.membership.recordPeerWrites(foreignWrites);
    replica.advanceTo(watched.rev);
    if (watched.changes.length > 0) this.#reconcileSoon();
  }

  async #startSync(): Promise<boolean> {
    const { ctx } = this;
    if (!(await this.#scan())) return false;
    ctx.isReplicaSynced = true;
    ctx.log.info("replica synced", {
      rev: ctx.replica.syncedRevision,
      jobs: ctx.replica.acceptedJobs.size,
    });
    this.#reconcileSoon();
    return true;
  }

  async #scan(): Promise<boolean> {
    const scan = await this.ctx.store.scan(CURRENT_PREFIX);
    if (scan === undefined) return false;
    this.ctx.replica.applyScan(scan.items, scan.rev);
    return true;
  }

  /** Not awaited: the watch must go on while membership waits for the state store. */
  #reconcileSoon(): void {
    this.wakeRounds();
    this.membership.reconcile().catch((error) => {
      this.ctx.log.error("membership reconciliation failed", errorFields(error));
    });
  }
}
