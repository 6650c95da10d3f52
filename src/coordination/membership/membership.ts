import {
  type ControllerLabel,
  KEY_ABSENT,
  type LeaseId,
  type MonotonicMs,
  monotonicMs,
  type ShardId,
  shardId,
} from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { encodeTeams } from "../../storage/cluster-records.js";
import {
  type ControllerId,
  encodeControllerId,
  keys,
  sameController,
} from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import { applyCommitted, type ControllerContext, rereadKeys } from "../context.js";
import { assignTeams, planShardActions } from "../sharding/shard-assignment.js";
import {
  type AvailabilityState,
  INITIAL_AVAILABILITY,
  type StoreAvailability,
  stepAvailability,
} from "./store-availability.js";

/** A controller that can't reach its machines stays away for this long before it tries again. */
const RESIGNED_MS = 4000;
/** A newcomer leaves what is without a owner to other newcomers for this long. */
const JOIN_MS = 600;
/** How far back others' writes are counted. */
const WRITES_OVER_S = 2;

/** What the other controllers say of themselves. */
export interface PeerReports {
  readonly available: number;
  readonly unavailable: number;
}

export const NO_PEER_REPORTS: PeerReports = { available: 0, unavailable: 0 };

/** This controller's place among the others: its lease, its shards, its claim to leadership. */
export class Membership {
  #lease: LeaseId | undefined;
  #health: AvailabilityState = INITIAL_AVAILABILITY;
  /** Since it stepped aside: when to see next whether the way to the machines is open again. */
  #resignedUntil: MonotonicMs | undefined;
  #confirmedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  #peerAnswers: PeerReports = NO_PEER_REPORTS;
  #keeping = false;
  #othersWrites = 0;
  #countedAt: MonotonicMs = monotonicNow();
  #counted = 0;
  #renewedAt: MonotonicMs = monotonicMs(0);
  #joinedAt: MonotonicMs | undefined;
  readonly #memberSince = new Map<string, MonotonicMs>();
  #busy = false;

  constructor(
    private readonly ctx: ControllerContext,
    /** Whether machines answer this controller's calls, as far as there are any to ask. */
    private readonly reachesMachines: () => Promise<boolean> = async () => true,
  ) {}

  /** Has told the others that it is here. */
  isRegistered(): boolean {
    return sameController(this.ctx.replica.members.get(this.ctx.self.label)?.value, this.ctx.self);
  }

  get storeAvailability(): StoreAvailability {
    return this.#health.availability;
  }

  /**
   * May it act for the controllers? Not once its lease must have run out while others are served:
   * they are taking its shards, and a worker that is kept here would only lose its lease. Nor
   * after it stood still, before it knows what it still holds.
   */
  holdsValidLease(): boolean {
    const { availability } = this.#health;
    return (
      availability !== "isolated" &&
      availability !== "resuming" &&
      this.#resignedUntil === undefined
    );
  }

  /** Has stepped aside, and not returned. */
  get hasReleasedShards(): boolean {
    return this.#resignedUntil !== undefined;
  }

  /** Users are served from the state service whatever is held here. */
  canServeUsers(): boolean {
    return this.#health.availability !== "isolated" && this.#resignedUntil === undefined;
  }

  /** Updates the standing by the evidence, with the other controllers' newest answers. */
  updateAvailability(answers: PeerReports): StoreAvailability {
    this.#peerAnswers = answers;
    return this.#step(false);
  }

  /** This process stood still. */
  onResume(): void {
    this.#step(true);
  }

  #step(resumed: boolean): StoreAvailability {
    const { store, log, settings } = this.ctx;
    const next = stepAvailability(this.#health, {
      now: monotonicNow(),
      answeredAt: store.answeredAt,
      refusedAt: store.refusedAt,
      unansweredAt: store.unansweredAt,
      peers: settings.seeds.length,
      peersAvailable: this.#peerAnswers.available,
      peersUnavailable: this.#peerAnswers.unavailable,
      resumed,
      ownershipConfirmedAt: this.#confirmedAt,
    });
    if (next.availability !== this.#health.availability)
      log.info("standing", { standing: next.availability });
    this.#health = next;
    return next.availability;
  }

  /** Steps aside, so that others take what is held here: the way to its machines is gone. */
  async releaseShards(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#resignedUntil = monotonicMs(monotonicNow() + RESIGNED_MS);
    this.ctx.log.info("resigned", { shards: this.ownedShards() });
    if (lease !== undefined) await this.ctx.store.release(lease);
  }

  /** Stays aside until machines answer again: a shard given back before would fall silent anew. */
  async #mayReturn(): Promise<boolean> {
    if (this.#resignedUntil === undefined) return true;
    if (monotonicNow() < this.#resignedUntil) return false;
    if (this.ctx.replica.members.size > 0 && !(await this.reachesMachines())) {
      this.#resignedUntil = monotonicMs(monotonicNow() + RESIGNED_MS);
      return false;
    }
    this.#resignedUntil = undefined;
    this.ctx.log.info("returned", {});
    return true;
  }

  /** Takes in how many changes the watch has shown that were not ours. */
  recordForeignWrites(n: number): void {
    this.#counted += n;
  }

  #shareBudget(members: number): void {
    const now = monotonicNow();
    const dtS = (now - this.#countedAt) / 1000;
    if (dtS <= 0) return;
    const old = Math.exp(-dtS / WRITES_OVER_S);
    this.#othersWrites = this.#othersWrites * old + (this.#counted / dtS) * (1 - old);
    this.#counted = 0;
    this.#countedAt = now;
    this.ctx.store.updateShares(members, this.#othersWrites);
  }

  isLeader(): boolean {
    const l = this.ctx.replica.leader;
    return l !== undefined && sameController(l.value, this.ctx.self);
  }

  /** Leads, and knows that it still does. */
  isActiveLeader(): boolean {
    return this.isLeader() && this.holdsValidLease();
  }

  /** Holds the shard, and has seen everything that was written before it took it. */
  ownsShard(shard: ShardId): boolean {
    const s = this.ctx.replica.shardOwners.get(shard);
    return (
      s !== undefined &&
      sameController(s.value, this.ctx.self) &&
      this.ctx.replica.syncedRevision >= s.rev
    );
  }

  ownedShards(): readonly ShardId[] {
    return [...this.ctx.replica.shardOwners.keys()].filter((n) => this.ownsShard(n));
  }

  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.ctx.replica.shardOwners.get(shard)?.value;
  }

  async #txn(t: Transaction): Promise<boolean> {
    const r = await this.ctx.store.commitUntilDecided(t, () => this.ctx.stopping);
    if (r.kind === "applied") {
      applyCommitted(this.ctx.replica, t.ops, r.rev);
      return true;
    }
    if (r.kind === "refused") this.#lease = undefined;
    await rereadKeys(
      this.ctx,
      t.conditions.map((c) => c.key),
    );
    return false;
  }

  /** Keeps the lease alive; a lapsed one is replaced, with the member record on it. */
  async maintainLease(): Promise<void> {
    if (this.#keeping) return;
    this.#keeping = true;
    try {
      if (await this.#mayReturn()) await this.#keepLease();
    } finally {
      this.#keeping = false;
    }
  }

  async #keepLease(): Promise<void> {
    const { store, operators, settings } = this.ctx;
    const askedAt = monotonicNow();
    if (this.#lease !== undefined) {
      const r = await store.renew(this.#lease);
      if (r === "renewed") {
        this.#renewedAt = monotonicNow();
        // It never lapsed, so nobody has taken anything.
        this.#confirmed(askedAt);
      }
      if (r !== "lapsed") return;
      this.ctx.log.info("lease lapsed", {
        lateMs: Math.round(monotonicNow() - this.#renewedAt),
      });
      this.#lease = undefined;
    }
    const lease = await store.grant(operators.memberLeaseMs);
    if (lease === undefined) return;
    this.#lease = lease;
    this.#renewedAt = monotonicNow();
    // What was taken meanwhile the watch may tell much later: it is read before anything is done.
    const names: string[] = [keys.leader];
    for (let n = 0; n < settings.shardCount; n++) names.push(keys.shard(shardId(n)));
    if (!this.ctx.synced || (await rereadKeys(this.ctx, names))) this.#confirmed(askedAt);
  }

  #confirmed(askedAt: MonotonicMs): void {
    this.#confirmedAt = askedAt;
    if (this.#health.availability === "resuming") this.#step(false);
  }

  /** Reconciles members, shards and leadership; writes at most what this controller owes. */
  async reconcile(): Promise<void> {
    if (this.#busy || this.#lease === undefined || !this.ctx.synced) return;
    this.#busy = true;
    try {
      await this.#reconcile(this.#lease);
    } finally {
      this.#busy = false;
    }
  }

  async #reconcile(lease: LeaseId): Promise<void> {
    const { ctx } = this;
    const { replica, self } = ctx;
    if (!this.isRegistered()) {
      this.#joinedAt = undefined;
      const key = keys.member(self.label);
      await this.#txn({
        conditions: [{ key, rev: replica.revisionOf(key) }],
        ops: [{ kind: "put", key, value: encodeControllerId(self), lease }],
      });
      return;
    }
    if (!this.isLeader()) {
      const l = replica.leader;
      // An absent leader, one of this label's earlier start, or one whose member record is gone.
      const free =
        l === undefined || l.value.label === self.label || !replica.members.has(l.value.label);
      if (free) {
        const won = await this.#txn({
          conditions: [{ key: keys.leader, rev: l?.rev ?? KEY_ABSENT }],
          ops: [{ kind: "put", key: keys.leader, value: encodeControllerId(self), lease }],
        });
        if (won) ctx.log.info("leads", {});
        return;
      }
    }
    if (await this.#tendTeams()) return;
    const now = monotonicNow();
    const members = new Map<ControllerLabel, ControllerId>();
    for (const [label, m] of replica.members) members.set(label, m.value);
    for (const key of [...this.#memberSince.keys()])
      if (![...members.values()].some((m) => m.incarnation === key)) this.#memberSince.delete(key);
    const stableMembers = new Set<ControllerLabel>();
    for (const m of members.values()) {
      const since = this.#memberSince.get(m.incarnation) ?? now;
      this.#memberSince.set(m.incarnation, since);
      if (now - since >= ctx.operators.handBackS * 1000) stableMembers.add(m.label);
    }
    this.#shareBudget(Math.max(1, members.size));
    const plan = planShardActions({
      self: self,
      shardCount: ctx.settings.shardCount,
      shards: new Map([...replica.shardOwners].map(([n, s]) => [n, s.value])),
      members,
      stableMembers,
    });
    if (this.#joinedAt === undefined) this.#joinedAt = now;
    for (const a of plan) {
      // When several start together, the first must not take what the others are about to: each
      // shard that has to be handed over again stands still for a while.
      const own = replica.shardOwners.get(a.shard)?.value.label === self.label;
      if (a.kind === "claim" && !own && now - this.#joinedAt < JOIN_MS) continue;
      const key = keys.shard(a.shard);
      const to = a.kind === "claim" ? self : a.to;
      const done = await this.#txn({
        conditions: [{ key, rev: replica.revisionOf(key) }],
        ops: [{ kind: "put", key, value: encodeControllerId(to) }],
      });
      if (done) ctx.log.info(a.kind, { shard: a.shard, to: to.label });
    }
  }

  async #tendTeams(): Promise<boolean> {
    const { replica, settings } = this.ctx;
    const known = replica.teams?.value ?? new Map();
    const names = settings.teams.map((t) => t.name);
    if (replica.teams !== undefined && names.every((n) => known.has(n))) return false;
    const next = assignTeams(known, names, settings.shardCount);
    return this.#txn({
      conditions: [{ key: keys.teams, rev: replica.revisionOf(keys.teams) }],
      ops: [{ kind: "put", key: keys.teams, value: encodeTeams(next) }],
    });
  }
}
