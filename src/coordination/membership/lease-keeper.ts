/**
 * Maintains this controller's lease in the state store: requests it, renews it, replaces it after
 * it has expired, and releases it when the controller can reach none of its machines. Owns the
 * `LeaseState`, which only `stepLease` changes.
 */
import { type LeaseId, type MonotonicMs, monotonicMs, type ShardId, shardId } from "@umberfold/ids";
import { keys } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import { type ControllerContext, rereadKeys } from "../context.js";
import type { AvailabilityTracker } from "./availability-tracker.js";
import {
  grantedLease,
  INITIAL_LEASE_STATE,
  type LeaseEvent,
  type LeaseState,
  stepLease,
} from "./lease-state.js";

/** Interval between probes of the machines while the shards are released. */
const REJOIN_PROBE_INTERVAL_MS = 4000;

/** Requests, renews and releases the lease of this controller. */
export class LeaseKeeper {
  #state: LeaseState = INITIAL_LEASE_STATE;
  /** Guards `maintain`: at most one grant, renewal or probe is in flight. */
  #isMaintaining = false;

  /** `canReachMachines` probes some machines: true if enough answer, or if there are none. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly availability: AvailabilityTracker,
    private readonly canReachMachines: () => Promise<boolean>,
  ) {}

  /** The lease that member and leader records are attached to; undefined while there is none. */
  get leaseId(): LeaseId | undefined {
    return grantedLease(this.#state)?.id;
  }

  /** Whether this controller has released its shards and has not rejoined yet. */
  get isReleased(): boolean {
    return this.#state.kind === "released";
  }

  /** Records that the state store rejected a renewal or a transaction because the lease expired. */
  onLeaseExpired(): void {
    this.#step({ kind: "expired" });
  }

  /**
   * Renews the lease, or requests a new one if there is none. While the shards are released, it
   * probes the machines first and continues only if they answer. Called periodically; a call
   * returns at once while another one is in progress.
   */
  async maintain(): Promise<void> {
    if (this.#isMaintaining) return;
    this.#isMaintaining = true;
    try {
      if (await this.#rejoinIfReleased()) await this.#renewOrGrant();
    } finally {
      this.#isMaintaining = false;
    }
  }

  /** Releases the lease, so that others claim the shards; `ownedShards` is only logged. */
  async release(ownedShards: readonly ShardId[]): Promise<void> {
    const lease = this.leaseId;
    this.#step({ kind: "released", nextProbeAt: this.#nextProbeTime() });
    this.ctx.log.info("shards released", { shards: ownedShards });
    if (lease !== undefined) await this.ctx.store.release(lease);
  }

  #step(event: LeaseEvent): void {
    this.#state = stepLease(this.#state, event);
  }

  #nextProbeTime(): MonotonicMs {
    return monotonicMs(monotonicNow() + REJOIN_PROBE_INTERVAL_MS);
  }

  /**
   * Rejoins if the shards are released and machines answer a probe. Returns whether the lease may
   * be renewed or requested, which is false while the shards remain released. Rejoining before the
   * machines answer would return shards to a controller that still receives no heartbeats for them.
   */
  async #rejoinIfReleased(): Promise<boolean> {
    if (this.#state.kind !== "released") return true;
    if (monotonicNow() < this.#state.nextProbeAt) return false;
    if (this.ctx.replica.members.size > 0 && !(await this.canReachMachines())) {
      this.#step({ kind: "rejoin_postponed", nextProbeAt: this.#nextProbeTime() });
      return false;
    }
    this.#step({ kind: "rejoined" });
    this.ctx.log.info("rejoined", {});
    return true;
  }

  async #renewOrGrant(): Promise<void> {
    const { store, operators, log } = this.ctx;
    const requestSentAt = monotonicNow();
    const current = grantedLease(this.#state);
    if (current !== undefined) {
      const renewal = await store.renew(current.id);
      if (renewal === "renewed") {
        this.#step({ kind: "renewed", at: monotonicNow() });
        // The lease has not expired, so no other controller has claimed its shards or leadership.
        this.availability.onOwnershipConfirmed(requestSentAt);
      }
      if (renewal !== "lapsed") return;
      log.info("lease expired", { lateMs: Math.round(monotonicNow() - current.renewedAt) });
      this.onLeaseExpired();
    }
    const id = await store.grant(operators.memberLeaseMs);
    if (id === undefined) return;
    this.#step({ kind: "granted", lease: { id, renewedAt: monotonicNow() } });
    // Others may have claimed shards since the old lease expired, and the watch may show that much
    // later: read the records before acting on them.
    if (!this.ctx.isReplicaSynced || (await rereadKeys(this.ctx, this.#ownershipKeys())))
      this.availability.onOwnershipConfirmed(requestSentAt);
  }

  /** The keys of the leader record and of all shard owner records. */
  #ownershipKeys(): readonly string[] {
    const ownershipKeys: string[] = [keys.leader];
    for (let n = 0; n < this.ctx.settings.shardCount; n++)
      ownershipKeys.push(keys.shard(shardId(n)));
    return ownershipKeys;
  }
}
