/**
 * The facade through which all other folders use membership: the lease, the state store's
 * availability, leadership, shard ownership and the share of the write limit. Holds no state of its
 * own; the module comment of each part names the state that the part owns.
 */
import type { ShardId } from "@umberfold/ids";
import type { ControllerId } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";
import { AvailabilityTracker, type PeerReports } from "./availability-tracker.js";
import { LeaderElection } from "./leader-election.js";
import { LeaseKeeper } from "./lease-keeper.js";
import { MemberRegistry } from "./member-registry.js";
import { MembershipWriter } from "./membership-writer.js";
import { ShardOwnership } from "./shard-ownership.js";
import { ShardReconciler } from "./shard-reconciler.js";
import type { StoreAvailability } from "./store-availability.js";
import { WriteShare } from "./write-share.js";

export { NO_PEER_REPORTS, type PeerReports } from "./availability-tracker.js";

/** Delegates each call to the part of membership that is responsible for it. */
export class Membership {
  readonly #availability: AvailabilityTracker;
  readonly #lease: LeaseKeeper;
  readonly #registry: MemberRegistry;
  readonly #election: LeaderElection;
  readonly #shards: ShardOwnership;
  readonly #writeShare: WriteShare;
  readonly #reconciler: ShardReconciler;

  /** `canReachMachines` probes some machines: true if enough answer, or if there are none. */
  constructor(ctx: ControllerContext, canReachMachines: () => Promise<boolean> = async () => true) {
    this.#availability = new AvailabilityTracker(ctx);
    this.#lease = new LeaseKeeper(ctx, this.#availability, canReachMachines);
    this.#registry = new MemberRegistry(ctx);
    this.#election = new LeaderElection(ctx);
    this.#shards = new ShardOwnership(ctx);
    this.#writeShare = new WriteShare(ctx.store);
    this.#reconciler = new ShardReconciler(ctx, {
      lease: this.#lease,
      registry: this.#registry,
      election: this.#election,
      writer: new MembershipWriter(ctx, this.#lease),
      writeShare: this.#writeShare,
    });
  }

  /** Whether the member record names this controller with its current incarnation. */
  isRegistered(): boolean {
    return this.#registry.isRegistered();
  }

  /** The availability of the state store as last assessed by this controller. */
  get storeAvailability(): StoreAvailability {
    return this.#availability.availability;
  }

  /**
   * Whether this controller may decide and send commands. False in these states:
   *
   * - `isolated`: its lease must be assumed to have expired while others are served, so they claim
   *   its shards. A worker that stayed with this controller would only lose its worker lease.
   * - `resuming`: after a process pause or an isolation, until it has confirmed what it still owns.
   * - It has released its shards and has not rejoined.
   */
  holdsValidLease(): boolean {
    return this.canServeUsers() && this.storeAvailability !== "resuming";
  }

  /** Whether this controller has released its shards and has not rejoined yet. */
  get hasReleasedShards(): boolean {
    return this.#lease.isReleased;
  }

  /**
   * Whether this controller may serve users' requests. They need only the state store and no owned
   * shards, so they are also served while `resuming`, but not while `isolated` or released.
   */
  canServeUsers(): boolean {
    return this.storeAvailability !== "isolated" && !this.hasReleasedShards;
  }

  /** Reassesses the store's availability with the other controllers' latest reports. */
  updateAvailability(reports: PeerReports): StoreAvailability {
    return this.#availability.update(reports);
  }

  /** To be called when a pause of this process was detected; ownership is then unconfirmed. */
  onProcessResumed(): void {
    this.#availability.onProcessResumed();
  }

  /**
   * Releases the lease, so that other controllers claim the shards. Called when this controller can
   * reach none of the shards' machines.
   */
  releaseShards(): Promise<void> {
    return this.#lease.release(this.#shards.ownedShards());
  }

  /** Counts writes of other controllers that the watch has shown, to measure their write rate. */
  recordPeerWrites(writes: number): void {
    this.#writeShare.recordPeerWrites(writes);
  }

  /** Whether the leader record names this controller with its current incarnation. */
  isLeader(): boolean {
    return this.#election.isLeader();
  }

  /** Whether this controller is the leader and holds a valid lease, so may act as the leader. */
  isActiveLeader(): boolean {
    return this.isLeader() && this.holdsValidLease();
  }

  /**
   * Whether this controller owns the shard and its replica contains every change up to the revision
   * of the claim.
   */
  ownsShard(shard: ShardId): boolean {
    return this.#shards.ownsShard(shard);
  }

  /** All shards for which `ownsShard` holds. */
  ownedShards(): readonly ShardId[] {
    return this.#shards.ownedShards();
  }

  /** The owner named in the shard's record, alive or not; undefined if it was never claimed. */
  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.#shards.ownerOf(shard);
  }

  /** Renews the lease, or replaces an expired one; called several times per lease duration. */
  maintainLease(): Promise<void> {
    return this.#lease.maintain();
  }

  /** Runs one reconciliation pass over registration, leadership, teams and shards. */
  reconcile(): Promise<void> {
    return this.#reconciler.reconcile();
  }
}
