/**
 * Decides when a user may be told that a job is cancelled.
 *
 * Holds the recent confirmations and those in progress. Invariant: a user is answered `cancelled`
 * only once the owner of the job's shard, which answers the heartbeats of the job's machines, has
 * acknowledged the cancellation or is this controller. The cancellation is then enforced even if
 * the state store can't be reached afterwards. (An owner that was the only controller refused by
 * the state store once never learned of a cancellation, and renewed its workers' leases all through
 * the outage that followed.)
 */
import type { JobId } from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import { BoundedMap } from "../../storage/bounded-map.js";
import { monotonicNow, sleep } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { NoticeOutbox } from "./notice-outbox.js";
import type { NoticeReceiver } from "./notice-receiver.js";

/**
 * How long a confirmation waits for the watch and the owner; after that the user has to ask again.
 */
const CONFIRMATION_TIMEOUT_MS = 900;
const REPLICA_POLL_INTERVAL_MS = 20;
/** How many confirmed jobs are remembered, so that repeated requests don't ask the owner again. */
const MAX_REMEMBERED_CONFIRMATIONS = 20_000;

/** Confirms cancellations to users. */
export class UserConfirmations {
  readonly #confirmedJobs = new BoundedMap<JobId, true>(MAX_REMEMBERED_CONFIRMATIONS);
  readonly #inFlight = new Map<JobId, Promise<boolean>>();
  /** How many requests were confirmed or not confirmed since the process started. */
  readonly counters = { confirmed: 0, unconfirmed: 0 };

  /**
   * @param outbox sends notices to the other controllers
   * @param receiver applies each notice on this controller too
   */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly outbox: NoticeOutbox,
    private readonly receiver: NoticeReceiver,
  ) {}

  /**
   * Whether a user may be told that the job is cancelled, given its record at revision
   * `notice.rev`. False means not yet: the user has to ask again. Concurrent requests for one job
   * share one result.
   */
  confirm(notice: CancellationNotice): Promise<boolean> {
    if (this.#confirmedJobs.has(notice.job)) return Promise.resolve(true);
    const inFlight = this.#inFlight.get(notice.job);
    if (inFlight !== undefined) return inFlight;
    const confirmation = this.#confirmWithOwner(notice).finally(() =>
      this.#inFlight.delete(notice.job),
    );
    this.#inFlight.set(notice.job, confirmation);
    return confirmation;
  }

  async #confirmWithOwner(notice: CancellationNotice): Promise<boolean> {
    const { settings, replica, self } = this.ctx;
    const deadline = monotonicNow() + CONFIRMATION_TIMEOUT_MS;
    this.receiver.receive([notice]);
    // All controllers are notified, so that those still running can enforce the cancellation. Only
    // the owner's acknowledgment is required for the confirmation.
    const acknowledgments = new Map(
      settings.seeds.map((seed) => [seed.label, this.outbox.send(seed.label, notice)] as const),
    );
    // A controller that claims the shard after this revision reads the record before it acts as
    // owner. One that claimed it earlier is known here once the replica is synced to the revision.
    while (replica.syncedRevision < notice.rev) {
      if (monotonicNow() >= deadline) return this.#countResult(false);
      await sleep(REPLICA_POLL_INTERVAL_MS);
    }
    const shard = replica.shardOf(notice.job);
    const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (owner === undefined) return this.#countResult(false);
    const acknowledged = owner === self.label || (await (acknowledgments.get(owner) ?? false));
    if (acknowledged) this.#confirmedJobs.set(notice.job, true);
    return this.#countResult(acknowledged);
  }

  #countResult(confirmed: boolean): boolean {
    this.counters[confirmed ? "confirmed" : "unconfirmed"]++;
    return confirmed;
  }
}
