/**
 * This controller's place among the others, as all other parts see it: a facade over the lease, the
 * store's availability, leadership, shard ownership and the share of the write limit. Owns no state
 * of its own; each part owns its own and says so in its file.
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

/** The facade of membership. Methods that return a promise pass on that of the part itself. */
export class Membership {
  readonly #availability: AvailabilityTracker;
  readonly #lease: LeaseKeeper;
  readonly #registry: MemberRegistry;
  readonly #election: LeaderElection;
  readonly #shards: ShardOwnership;
  readonly #writeShare: WriteShare;
  readonly #reconciler: ShardReconciler;

  /** `reachesMachines` tells whether machines answer this controller, if there are any to ask. */
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

  /** Whether the member record of this start of the controller is written. */
  isRegistered(): boolean {
    return this.#registry.isRegistered();
  }

  /** The state store as this controller sees it. */
  get storeAvailability(): StoreAvailability {
    return this.#availability.availability;
  }

  /**
   * Whether it may act for the cluster. Not once its lease must have expired while others are
   * served: they are claiming its shards, and a worker that is kept here would only lose its lease.
   * Nor after a process pause, before it knows what it still owns, nor once it has released its
   * shards.
   */
  holdsValidLease(): boolean {
    return this.canServeUsers() && this.storeAvailability !== "resuming";
  }

  /** Whether it has released its shards and has not rejoined. */
  get hasReleasedShards(): boolean {
    return this.#lease.isReleased;
  }

  /** Users are served from the state store, whatever this controller owns. */
  canServeUsers(): boolean {
    return this.storeAvailability !== "isolated" && !this.hasReleasedShards;
  }

  /** Assesses the store's availability anew, with the other controllers' newest reports. */
  updateAvailability(reports: PeerReports): StoreAvailability {
    return this.#availability.update(reports);
  }

  /** A pause of this process was detected. */
  onProcessResumed(): void {
    this.#availability.onProcessResumed();
  }

  /** Gives up the lease, so that others claim its shards: it reaches none of their machines. */
  releaseShards(): Promise<void> {
    return this.#lease.release(this.#shards.ownedShards());
  }

  /** Counts changes that the watch has shown and that this controller did not write. */
  recordPeerWrites(writes: number): void {
    this.#writeShare.recordPeerWrites(writes);
  }

  /** Whether the leader record names this controller. */
  isLeader(): boolean {
    return this.#election.isLeader();
  }

  /** Whether it is the leader and may act as such. */
  isActiveLeader(): boolean {
    return this.isLeader() && this.holdsValidLease();
  }

  /** Whether it owns the shard and has synced everything written before its claim. */
  ownsShard(shard: ShardId): boolean {
    return this.#shards.ownsShard(shard);
  }

  /** All shards for which `ownsShard` holds. */
  ownedShards(): readonly ShardId[] {
    return this.#shards.ownedShards();
  }

  /** The owner by its record, alive or not; undefined if the shard was never claimed. */
  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.#shards.ownerOf(shard);
  }

  /** Renews the lease, or replaces an expired one; called several times within its length. */
  maintainLease(): Promise<void> {
    return this.#lease.maintain();
  }

  /** One pass over registration, leadership, teams and shards; writes what is lacking. */
  reconcile(): Promise<void> {
    return this.#reconciler.reconcile();
  }
}
