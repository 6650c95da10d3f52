import {
  ABSENT,
  type ControllerLabel,
  type LeaseId,
  type Mono,
  mono,
  type ShardId,
  shardId,
} from "@umberfold/ids";
import type { Txn } from "../../protocol/store.js";
import { teamsValue } from "../../storage/cluster-records.js";
import {
  type ControllerId,
  controllerIdValue,
  keys,
  sameController,
} from "../../storage/records.js";
import { steadyNow } from "../../transport/clock.js";
import { absorb, type Context, refresh } from "../context.js";
import { assignTeams, planShards } from "../sharding/shard-assignment.js";
import { HEALTHY, type Health, type Standing, stepHealth } from "./store-availability.js";

/** A controller that can't reach its machines stays away for this long before it tries again. */
const RESIGNED_MS = 4000;
/** A newcomer leaves what is without a owner to other newcomers for this long. */
const JOIN_MS = 600;
/** How far back others' writes are counted. */
const WRITES_OVER_S = 2;

/** What the other controllers say of themselves. */
export interface PeerAnswers {
  readonly served: number;
  readonly unserved: number;
}

export const NO_ANSWERS: PeerAnswers = { served: 0, unserved: 0 };

/** This controller's place among the others: its lease, its shards, its claim to leadership. */
export class Membership {
  #lease: LeaseId | undefined;
  #health: Health = HEALTHY;
  /** Since it stepped aside: when to see next whether the way to the machines is open again. */
  #resignedUntil: Mono | undefined;
  #confirmedAt: Mono = mono(Number.NEGATIVE_INFINITY);
  #peerAnswers: PeerAnswers = NO_ANSWERS;
  #keeping = false;
  #othersWrites = 0;
  #countedAt: Mono = steadyNow();
  #counted = 0;
  #renewedAt: Mono = mono(0);
  #joinedAt: Mono | undefined;
  readonly #memberSince = new Map<string, Mono>();
  #busy = false;

  constructor(
    private readonly ctx: Context,
    /** Whether machines answer this controller's calls, as far as there are any to ask. */
    private readonly reachesMachines: () => Promise<boolean> = async () => true,
  ) {}

  /** Has told the others that it is here. */
  joined(): boolean {
    return sameController(this.ctx.replica.members.get(this.ctx.me.label)?.value, this.ctx.me);
  }

  get standing(): Standing {
    return this.#health.standing;
  }

  /**
   * May it act for the controllers? Not once its lease must have run out while others are served:
   * they are taking its shards, and a worker that is kept here would only lose its lease. Nor
   * after it stood still, before it knows what it still holds.
   */
  entitled(): boolean {
    const { standing } = this.#health;
    return standing !== "alone" && standing !== "waking" && this.#resignedUntil === undefined;
  }

  /** Has stepped aside, and not returned. */
  get away(): boolean {
    return this.#resignedUntil !== undefined;
  }

  /** Users are served from the state service whatever is held here. */
  servesUsers(): boolean {
    return this.#health.standing !== "alone" && this.#resignedUntil === undefined;
  }

  /** Updates the standing by the evidence, with the other controllers' newest answers. */
  updateStanding(answers: PeerAnswers): Standing {
    this.#peerAnswers = answers;
    return this.#step(false);
  }

  /** This process stood still. */
  resumed(): void {
    this.#step(true);
  }

  #step(woke: boolean): Standing {
    const { store, log, settings } = this.ctx;
    const next = stepHealth(this.#health, {
      now: steadyNow(),
      answeredAt: store.answeredAt,
      refusedAt: store.refusedAt,
      unansweredAt: store.unansweredAt,
      peers: settings.seeds.length,
      peersServed: this.#peerAnswers.served,
      peersUnserved: this.#peerAnswers.unserved,
      woke,
      confirmedAt: this.#confirmedAt,
    });
    if (next.standing !== this.#health.standing) log.info("standing", { standing: next.standing });
    this.#health = next;
    return next.standing;
  }

  /** Steps aside, so that others take what is held here: the way to its machines is gone. */
  async resign(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#resignedUntil = mono(steadyNow() + RESIGNED_MS);
    this.ctx.log.info("resigned", { shards: this.ownedShards() });
    if (lease !== undefined) await this.ctx.store.release(lease);
  }

  /** Stays aside until machines answer again: a shard given back before would fall silent anew. */
  async #mayReturn(): Promise<boolean> {
    if (this.#resignedUntil === undefined) return true;
    if (steadyNow() < this.#resignedUntil) return false;
    if (this.ctx.replica.members.size > 0 && !(await this.reachesMachines())) {
      this.#resignedUntil = mono(steadyNow() + RESIGNED_MS);
      return false;
    }
    this.#resignedUntil = undefined;
    this.ctx.log.info("returned", {});
    return true;
  }

  /** Takes in how many changes the watch has shown that were not ours. */
  othersWrote(n: number): void {
    this.#counted += n;
  }

  #shareBudget(members: number): void {
    const now = steadyNow();
    const dtS = (now - this.#countedAt) / 1000;
    if (dtS <= 0) return;
    const old = Math.exp(-dtS / WRITES_OVER_S);
    this.#othersWrites = this.#othersWrites * old + (this.#counted / dtS) * (1 - old);
    this.#counted = 0;
    this.#countedAt = now;
    this.ctx.store.shareWith(members, this.#othersWrites);
  }

  leads(): boolean {
    const l = this.ctx.replica.leader;
    return l !== undefined && sameController(l.value, this.ctx.me);
  }

  /** Leads, and knows that it still does. */
  mayLead(): boolean {
    return this.leads() && this.entitled();
  }

  /** Holds the shard, and has seen everything that was written before it took it. */
  holds(shard: ShardId): boolean {
    const s = this.ctx.replica.shards.get(shard);
    return (
      s !== undefined && sameController(s.value, this.ctx.me) && this.ctx.replica.position >= s.rev
    );
  }

  ownedShards(): readonly ShardId[] {
    return [...this.ctx.replica.shards.keys()].filter((n) => this.holds(n));
  }

  ownerOf(shard: ShardId): ControllerId | undefined {
    return this.ctx.replica.shards.get(shard)?.value;
  }

  async #txn(t: Txn): Promise<boolean> {
    const r = await this.ctx.store.settle(t, () => this.ctx.stopping);
    if (r.kind === "applied") {
      absorb(this.ctx.replica, t.ops, r.rev);
      return true;
    }
    if (r.kind === "refused") this.#lease = undefined;
    await refresh(
      this.ctx,
      t.conditions.map((c) => c.key),
    );
    return false;
  }

  /** Keeps the lease alive; a lapsed one is replaced, with the member record on it. */
  async keepLease(): Promise<void> {
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
    const askedAt = steadyNow();
    if (this.#lease !== undefined) {
      const r = await store.renew(this.#lease);
      if (r === "renewed") {
        this.#renewedAt = steadyNow();
        // It never lapsed, so nobody has taken anything.
        this.#confirmed(askedAt);
      }
      if (r !== "lapsed") return;
      this.ctx.log.info("lease lapsed", {
        lateMs: Math.round(steadyNow() - this.#renewedAt),
      });
      this.#lease = undefined;
    }
    const lease = await store.grant(operators.memberLeaseMs);
    if (lease === undefined) return;
    this.#lease = lease;
    this.#renewedAt = steadyNow();
    // What was taken meanwhile the watch may tell much later: it is read before anything is done.
    const names: string[] = [keys.leader];
    for (let n = 0; n < settings.size; n++) names.push(keys.shard(shardId(n)));
    if (!this.ctx.synced || (await refresh(this.ctx, names))) this.#confirmed(askedAt);
  }

  #confirmed(askedAt: Mono): void {
    this.#confirmedAt = askedAt;
    if (this.#health.standing === "waking") this.#step(false);
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
    const { replica, me } = ctx;
    if (!this.joined()) {
      this.#joinedAt = undefined;
      const key = keys.member(me.label);
      await this.#txn({
        conditions: [{ key, rev: replica.rev(key) }],
        ops: [{ kind: "put", key, value: controllerIdValue(me), lease }],
      });
      return;
    }
    if (!this.leads()) {
      const l = replica.leader;
      // An absent leader, one of this label's earlier start, or one whose member record is gone.
      const free =
        l === undefined || l.value.label === me.label || !replica.members.has(l.value.label);
      if (free) {
        const won = await this.#txn({
          conditions: [{ key: keys.leader, rev: l?.rev ?? ABSENT }],
          ops: [{ kind: "put", key: keys.leader, value: controllerIdValue(me), lease }],
        });
        if (won) ctx.log.info("leads", {});
        return;
      }
    }
    if (await this.#tendTeams()) return;
    const now = steadyNow();
    const members = new Map<ControllerLabel, ControllerId>();
    for (const [label, m] of replica.members) members.set(label, m.value);
    for (const key of [...this.#memberSince.keys()])
      if (![...members.values()].some((m) => m.incarnation === key)) this.#memberSince.delete(key);
    const steady = new Set<ControllerLabel>();
    for (const m of members.values()) {
      const since = this.#memberSince.get(m.incarnation) ?? now;
      this.#memberSince.set(m.incarnation, since);
      if (now - since >= ctx.operators.handBackS * 1000) steady.add(m.label);
    }
    this.#shareBudget(Math.max(1, members.size));
    const plan = planShards({
      me,
      size: ctx.settings.size,
      shards: new Map([...replica.shards].map(([n, s]) => [n, s.value])),
      members,
      steady,
    });
    if (this.#joinedAt === undefined) this.#joinedAt = now;
    for (const a of plan) {
      // When several start together, the first must not take what the others are about to: each
      // shard that has to be handed over again stands still for a while.
      const own = replica.shards.get(a.shard)?.value.label === me.label;
      if (a.kind === "claim" && !own && now - this.#joinedAt < JOIN_MS) continue;
      const key = keys.shard(a.shard);
      const to = a.kind === "claim" ? me : a.to;
      const done = await this.#txn({
        conditions: [{ key, rev: replica.rev(key) }],
        ops: [{ kind: "put", key, value: controllerIdValue(to) }],
      });
      if (done) ctx.log.info(a.kind, { shard: a.shard, to: to.label });
    }
  }

  async #tendTeams(): Promise<boolean> {
    const { replica, settings } = this.ctx;
    const known = replica.teams?.value ?? new Map();
    const names = settings.teams.map((t) => t.name);
    if (replica.teams !== undefined && names.every((n) => known.has(n))) return false;
    const next = assignTeams(known, names, settings.size);
    return this.#txn({
      conditions: [{ key: keys.teams, rev: replica.rev(keys.teams) }],
      ops: [{ kind: "put", key: keys.teams, value: teamsValue(next) }],
    });
  }
}
