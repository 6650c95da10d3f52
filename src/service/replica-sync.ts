/**
 * Keeps the replica in sync with the state store: scans all records at the start and whenever the
 * watch has fallen too far behind, and otherwise applies the changes that the watch returns. Sets
 * `isReplicaSynced` of the context after the first scan.
 */
import type { ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import { errorFields } from "../observability/error-fields.js";
import { CURRENT_PREFIX, classifyKey } from "../storage/records.js";
import { sleep } from "../transport/clock.js";

/** How long the state store may keep a watch request open if nothing changes. */
const WATCH_TIMEOUT_MS = 10_000;
/** Delay after a failed scan or watch. */
const RETRY_DELAY_MS = 200;

/** Watches the state store for this controller; `syncOnce` is run as a periodic task. */
export class ReplicaSync {
  /** `wakeRounds` makes a scheduling round run soon. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly wakeRounds: () => void,
  ) {}

  /** Performs one watch request, and before the first of them a scan. */
  async syncOnce(): Promise<void> {
    const { store, replica } = this.ctx;
    if (!this.ctx.isReplicaSynced && !(await this.#startSync())) return sleep(RETRY_DELAY_MS);
    const watched = await store.watch(CURRENT_PREFIX, replica.syncedRevision, WATCH_TIMEOUT_MS);
    if (watched.kind === "unavailable") return sleep(RETRY_DELAY_MS);
    if (watched.kind === "too_old") {
      await this.#scan();
      return;
    }
    let peerWrites = 0;
    for (const change of watched.changes) {
      // A change that the replica doesn't have yet was made by another controller: own changes are
      // applied when their transaction succeeds. Own deletes must not be counted as peer writes: an
      // owner would throttle its own writes when many jobs finish at once.
      if (replica.isApplied(change)) continue;
      // Finishing a job also writes its final record, which this watch doesn't return.
      peerWrites += change.kind === "delete" && classifyKey(change.key).kind === "live" ? 2 : 1;
      replica.apply(change);
    }
    this.membership.recordPeerWrites(peerWrites);
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

  /** Doesn't wait for membership: the watch must continue while that waits for the state store. */
  #reconcileSoon(): void {
    this.wakeRounds();
    this.membership.reconcile().catch((error) => {
      this.ctx.log.error("membership reconciliation failed", errorFields(error));
    });
  }
}
