/**
 * Monitors whether this controller reaches the state store and its machines. If it doesn't, it asks
 * the other controllers whether they do, which tells a failure of its own network from a failure of
 * the store or the machines. Its only state is whether the shards were released at the last update.
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

/** Timeout of a status request to another controller. */
const PEER_TIMEOUT_MS = 800;
const STATUS_YES = 204;
const STATUS_NO = 503;

/** Assesses the availability of the store and of the machines; `update` is a periodic task. */
export class AvailabilityMonitor {
  #hadReleasedShards = false;

  /** `peers` is the HTTP client for the other controllers, the only hosts called from here. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly peers: HttpClient,
  ) {}

  /**
   * Reassesses availability once. After an isolation or a rejoin, restarts the timers of failure
   * detection. Releases the shards for other controllers if this one reaches no machines, unless
   * others report that they receive no heartbeats either.
   */
  async update(): Promise<void> {
    const { ctx, membership, owner } = this;
    const reports = ctx.store.isFailing()
      ? await this.#askPeers(PEER_STORE_AVAILABILITY_PATH)
      : NO_PEER_REPORTS;
    const wasIsolated = membership.storeAvailability === "isolated";
    const hasReleasedShards = membership.hasReleasedShards;
    const availability = membership.updateAvailability(reports);
    // Heartbeats that were missed while this controller was isolated or had released its shards are
    // no evidence of a failed machine, so the machines of a regained shard start with new timers.
    const hasRejoined = this.#hadReleasedShards && !hasReleasedShards;
    this.#hadReleasedShards = hasReleasedShards;
    if (hasRejoined || (wasIsolated && availability !== "isolated"))
      owner.channel.resetTimers(monotonicNow());
    const hasPeers = ctx.replica.members.size > 1;
    if (owner.channel.connectivity !== "disconnected" || !hasPeers) return;
    if (availability !== "available" || !membership.holdsValidLease()) return;
    // If the other controllers receive no heartbeats either, none of them could use the shards.
    const heartbeats = await this.#askPeers(PEER_HEARTBEAT_RECEPTION_PATH);
    if (heartbeats.availableCount > 0 || heartbeats.unavailableCount === 0)
      await membership.releaseShards();
  }

  /** Asks all other controllers the yes-or-no question at `path`; counts only those that answer. */
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
