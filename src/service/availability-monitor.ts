/**
 * Watches how this controller stands with the state store and with its machines, and asks the other
 * controllers where that alone does not tell whose failure it is. Owns nothing but whether the
 * shards were released at the last look.
 */
import type { ControllerContext } from "../coordination/context.js";
import {
  type Membership,
  NO_PEER_REPORTS,
  type PeerReports,
} from "../coordination/membership/membership.js";
import type { ShardOwner } from "../coordination/rounds/shard-owner.js";
import type { HttpClient } from "../transport/client.js";
import { monotonicNow } from "../transport/clock.js";
import { PEER_HEARTBEAT_RECEPTION_PATH, PEER_STORE_AVAILABILITY_PATH } from "./routes.js";

/** How long another controller may take to answer how it stands. */
const PEER_TIMEOUT_MS = 800;
const STATUS_YES = 204;
const STATUS_NO = 503;

/** Assesses the store's availability; `update` is run again and again as a periodic task. */
export class AvailabilityMonitor {
  #hadReleasedShards = false;

  /** `peers` calls the other controllers; state store and workers are not called from here. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /**
   * One look. After an isolation or a rejoin it restarts the timers of failure detection; when no
   * machine is reachable from here though others reach theirs, it releases the shards.
   */
  async update(): Promise<void> {
    const { ctx, membership, owner } = this;
    const reports = ctx.store.isFailing()
      ? await this.#askPeers(PEER_STORE_AVAILABILITY_PATH)
      : NO_PEER_REPORTS;
    const wasIsolated = membership.storeAvailability === "isolated";
    const hasReleasedShards = membership.hasReleasedShards;
    const availability = membership.updateAvailability(reports);
    // Heartbeats missed during a failure of this controller's own are no machine's failure.
    // So after a release too: machines of a shard that came back start anew. (docs/incidents, inc-58fc)
    const hasRejoined = this.#hadReleasedShards && !hasReleasedShards;
    this.#hadReleasedShards = hasReleasedShards;
    if (hasRejoined || (wasIsolated && availability !== "isolated"))
      owner.channel.resetTimers(monotonicNow());
    const hasPeers = ctx.replica.members.size > 1;
    if (owner.channel.connectivity !== "disconnected" || !hasPeers) return;
    if (availability !== "available" || !membership.holdsValidLease()) return;
    // Where the others receive no heartbeats either, there is nobody to release the shards to.
    const heartbeats = await this.#askPeers(PEER_HEARTBEAT_RECEPTION_PATH);
    if (heartbeats.availableCount > 0 || heartbeats.unavailableCount === 0)
      await membership.releaseShards();
  }

  /** Asks all other controllers one yes-or-no question about themselves; some may not answer. */
  async #askPeers(path: string): Promise<PeerReports> {
    const { seeds } = this.ctx.settings;
    const answers = await Promise.all(
      seeds.map((seed) =>
        this.peers.callRaw(seed.address, "GET", path, undefined, PEER_TIMEOUT_MS),
      ),
    );
    const countStatus = (status: number): number =>
      answers.filter((answer) => answer.kind === "answer" && answer.status === status).length;
    return { availableCount: countStatus(STATUS_YES), unavailableCount: countStatus(STATUS_NO) };
  }
}
