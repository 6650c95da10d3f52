/**
 * Keeps this controller's lease in the state store: grants it, renews it, replaces it once it has
 * expired, and gives it up when the controller reaches none of its machines. Owns the `LeaseState`,
 * which changes through `stepLease` alone.
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

/** A controller that reaches none of its machines waits for this long before it probes them again. */
const REJOIN_RETRY_MS = 4000;

/** Grants, renews and releases the lease of this controller. */
export class LeaseKeeper {
  #state: LeaseState = INITIAL_LEASE_STATE;
  /** Mutual exclusion: one grant, renewal or probe at a time. */
  #isMaintaining = false;

  /** `reachesMachines` tells whether machines answer this controller, if there are any to ask. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly availability: AvailabilityTracker,
    private readonly reachesMachines: () => Promise<boolean>,
  ) {}

  /** The lease to attach the member and leader records to; undefined while there is none. */
  get leaseId(): LeaseId | undefined {
    return grantedLease(this.#state)?.id;
  }

  /** Whether the shards were released, and this controller has not rejoined. */
  get isReleased(): boolean {
    return this.#state.kind === "released";
  }

  /** The state store no longer knows the lease: by a renewal, or by a refused transaction. */
  leaseExpired(): void {
    this.#step({ kind: "expired" });
  }

  /**
   * Renews the lease, or is granted a new one if there is none. While the shards are released it
   * first probes the machines. Called periodically; a call during another one does nothing.
   */
  async maintain(): Promise<void> {
    if (this.#isMaintaining) return;
    this.#isMaintaining = true;
    try {
      if (await this.#mayHoldLease()) await this.#renewOrGrant();
    } finally {
      this.#isMaintaining = false;
    }
  }

  /** Gives the lease up, so that others fail over; `ownedShards` is for the log. */
  async release(ownedShards: readonly ShardId[]): Promise<void> {
    const lease = this.leaseId;
    this.#step({ kind: "released", retryAt: this.#nextRetryAt() });
    this.ctx.log.info("shards released", { shards: ownedShards });
    if (lease !== undefined) await this.ctx.store.release(lease);
  }

  #step(event: LeaseEvent): void {
    this.#state = stepLease(this.#state, event);
  }

  #nextRetryAt(): MonotonicMs {
    return monotonicMs(monotonicNow() + REJOIN_RETRY_MS);
  }

  /**
   * False while the shards stay released. It rejoins only once machines answer again: a shard that
   * came back earlier would lose its heartbeats anew.
   */
  async #mayHoldLease(): Promise<boolean> {
    if (this.#state.kind !== "released") return true;
    if (monotonicNow() < this.#state.retryAt) return false;
    if (this.ctx.replica.members.size > 0 && !(await this.reachesMachines())) {
      this.#step({ kind: "rejoin_postponed", retryAt: this.#nextRetryAt() });
      return false;
    }
    this.#step({ kind: "rejoined" });
    this.ctx.log.info("rejoined", {});
    return true;
  }

  async #renewOrGrant(): Promise<void> {
    const { store, operators, log } = this.ctx;
    const askedAt = monotonicNow();
    const current = grantedLease(this.#state);
    if (current !== undefined) {
      const renewal = await store.renew(current.id);
      if (renewal === "renewed") {
        this.#step({ kind: "renewed", at: monotonicNow() });
        // The lease never expired, so no other controller has claimed anything.
        this.availability.ownershipConfirmed(askedAt);
      }
      if (renewal !== "lapsed") return;
      log.info("lease expired", { lateMs: Math.round(monotonicNow() - current.renewedAt) });
      this.leaseExpired();
    }
    const id = await store.grant(operators.memberLeaseMs);
    if (id === undefined) return;
    this.#step({ kind: "granted", lease: { id, renewedAt: monotonicNow() } });
    // The watch may show much later what others claimed meanwhile: it is read before acting.
    if (!this.ctx.isReplicaSynced || (await rereadKeys(this.ctx, this.#ownershipKeys())))
      this.availability.ownershipConfirmed(askedAt);
  }

  /** The keys that say what this controller owns: leadership and all shards. */
  #ownershipKeys(): readonly string[] {
    const names: string[] = [keys.leader];
    for (let n = 0; n < this.ctx.settings.shardCount; n++) names.push(keys.shard(shardId(n)));
    return names;
  }
}
