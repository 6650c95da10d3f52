/**
 * When a user may be told that a job is cancelled.
 *
 * Owns the confirmations given lately and those under way. What must hold: `cancelled` is answered
 * only once the controller that answers the workers of the job's shard has acknowledged the
 * cancellation, or is this one. Then it is enforced whether or not the state store can be reached
 * afterwards. (A controller that was refused alone was never notified, and renewed its workers'
 * leases through the outage that followed.)
 */
import type { JobId } from "@umberfold/ids";
import type { CancellationNotice } from "../../protocol/peer.js";
import { monotonicNow, sleep } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { NoticeOutbox } from "./notice-outbox.js";
import type { NoticeReceiver } from "./notice-receiver.js";

/** How long a confirmation may wait for the watch and for the owner; then the user asks again. */
const CONFIRMATION_TIMEOUT_MS = 900;
const REPLICA_POLL_MS = 20;
/** Confirmations remembered, so that a later question about the job need not ask the owner again. */
const MAX_REMEMBERED = 20_000;

/** Confirms cancellations to users. */
export class UserConfirmations {
  readonly #confirmed = new Set<JobId>();
  readonly #inFlight = new Map<JobId, Promise<boolean>>();
  /** Questions answered with yes, and with not yet, since the start. */
  readonly counters = { confirmed: 0, unconfirmed: 0 };

  /**
   * @param outbox the way to the other controllers
   * @param receiver takes each notice into this controller too
   */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly outbox: NoticeOutbox,
    private readonly receiver: NoticeReceiver,
  ) {}

  /**
   * Whether a user may be told that the job is cancelled, as its record at `notice.rev` says. False:
   * not yet, the user asks again. Questions about one job at a time share one answer.
   */
  confirm(notice: CancellationNotice): Promise<boolean> {
    if (this.#confirmed.has(notice.job)) return Promise.resolve(true);
    const inFlight = this.#inFlight.get(notice.job);
    if (inFlight !== undefined) return inFlight;
    const confirmation = this.#askOwner(notice).finally(() => this.#inFlight.delete(notice.job));
    this.#inFlight.set(notice.job, confirmation);
    return confirmation;
  }

  async #askOwner(notice: CancellationNotice): Promise<boolean> {
    const { settings, replica, self } = this.ctx;
    const deadline = monotonicNow() + CONFIRMATION_TIMEOUT_MS;
    this.receiver.receive([notice]);
    // All are notified, so that whoever is left enforces it; the owner's acknowledgment is what counts.
    const acknowledgments = new Map(
      settings.seeds.map((seed) => [seed.label, this.outbox.send(seed.label, notice)] as const),
    );
    // Whoever claims the shard after this revision has read the record before it acts on it. Who
    // claimed it before is known here once the replica is synced up to the revision.
    while (replica.syncedRevision < notice.rev) {
      if (monotonicNow() >= deadline) return this.#count(false);
      await sleep(REPLICA_POLL_MS);
    }
    const shard = replica.shardOf(notice.job);
    const owner = shard === undefined ? undefined : this.membership.ownerOf(shard)?.label;
    if (owner === undefined) return this.#count(false);
    const acknowledged = owner === self.label || (await (acknowledgments.get(owner) ?? false));
    if (acknowledged) this.#remember(notice.job);
    return this.#count(acknowledged);
  }

  #count(confirmed: boolean): boolean {
    this.counters[confirmed ? "confirmed" : "unconfirmed"]++;
    return confirmed;
  }

  #remember(job: JobId): void {
    const oldest =
      this.#confirmed.size >= MAX_REMEMBERED ? this.#confirmed.keys().next().value : undefined;
    if (oldest !== undefined) this.#confirmed.delete(oldest);
    this.#confirmed.add(job);
  }
}
