import type { ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import { CURRENT_PREFIX, classifyKey } from "../storage/records.js";
import { sleep } from "../transport/clock.js";

/** How long a watch may wait for changes. */
const WATCH_MS = 10_000;
const RETRY_MS = 200;

/** Keeps the replica up to date: one scan at the start, and then the watch. */
export class ReplicaSync {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    /** Has a round run soon. */
    private readonly wake: () => void,
  ) {}

  /** One watch; before the first, the scan. */
  async follow(): Promise<void> {
    const { store, replica } = this.ctx;
    if (!this.ctx.synced && !(await this.#start())) return sleep(RETRY_MS);
    const watched = await store.watch(CURRENT_PREFIX, replica.syncedRevision, WATCH_MS);
    if (watched.kind === "unavailable") return sleep(RETRY_MS);
    if (watched.kind === "too_old") {
      await this.#scan();
      return;
    }
    let others = 0;
    for (const change of watched.changes) {
      // What is news is not ours: our own is taken in when it is answered.
      // (Deletes of our own counted as others' writes: in a flood of ends the owner throttled itself.)
      if (replica.isKnown(change)) continue;
      // The end of a job also writes its final record, which no watch shows.
      others += change.kind === "delete" && classifyKey(change.key).kind === "live" ? 2 : 1;
      replica.apply(change);
    }
    this.membership.recordForeignWrites(others);
    replica.advance(watched.rev);
    if (watched.changes.length > 0) this.#reconcileSoon();
  }

  async #start(): Promise<boolean> {
    const { ctx } = this;
    if (!(await this.#scan())) return false;
    ctx.synced = true;
    ctx.log.info("synced", { rev: ctx.replica.syncedRevision, jobs: ctx.replica.accepted.size });
    this.#reconcileSoon();
    return true;
  }

  async #scan(): Promise<boolean> {
    const scan = await this.ctx.store.scan(CURRENT_PREFIX);
    if (scan === undefined) return false;
    this.ctx.replica.reset(scan.items, scan.rev);
    return true;
  }

  #reconcileSoon(): void {
    this.wake();
    this.membership.reconcile().catch((e) => {
      this.ctx.log.error("membership failed", { error: String(e) });
    });
  }
}
