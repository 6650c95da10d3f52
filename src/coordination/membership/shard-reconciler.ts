/**
 * Reconciles the records of membership with who is alive: this controller's registration, the
 * leadership, the teams' shards and the shards' owners, in this order, and one concern a pass.
 * Owns only since when this controller has taken part in the distribution of shards.
 */
import type { LeaseId, MonotonicMs, ShardId, TeamName } from "@umberfold/ids";
import type { Transaction } from "../../protocol/store.js";
import { encodeTeams } from "../../storage/cluster-records.js";
import { type ControllerId, encodeControllerId, keys } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { assignTeams, planShardActions, type ShardAction } from "../sharding/shard-assignment.js";
import type { LeaderElection } from "./leader-election.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import type { MemberRegistry } from "./member-registry.js";
import type { MembershipWriter } from "./membership-writer.js";
import type { WriteShare } from "./write-share.js";

/** A newcomer leaves unowned shards to other newcomers for this long. */
const JOIN_GRACE_MS = 600;

const logEventOf = (action: ShardAction): string =>
  action.kind === "claim" ? "shard claimed" : "shard handed over";

/** The other parts of membership that a pass uses. */
export interface ReconcilerParts {
  readonly lease: LeaseKeeper;
  readonly registry: MemberRegistry;
  readonly election: LeaderElection;
  readonly writer: MembershipWriter;
  readonly writeShare: WriteShare;
}

/** Makes the records of membership say what they should, a few writes a pass. */
export class ShardReconciler {
  /** When shards were first planned after the last registration; undefined before. */
  #joinedAt: MonotonicMs | undefined;
  /** Mutual exclusion: a pass decides on records that another one may be writing. */
  #isReconciling = false;

  /** The parts are shared with the facade, which answers from them. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly parts: ReconcilerParts,
  ) {}

  /** One pass. Does nothing during another, without a lease, or before the first scan. */
  async reconcile(): Promise<void> {
    const lease = this.parts.lease.leaseId;
    if (this.#isReconciling || lease === undefined || !this.ctx.isReplicaSynced) return;
    this.#isReconciling = true;
    try {
      await this.#reconcile(lease);
    } finally {
      this.#isReconciling = false;
    }
  }

  async #reconcile(lease: LeaseId): Promise<void> {
    const { registry, election, writer } = this.parts;
    if (!registry.isRegistered()) {
      this.#joinedAt = undefined;
      await writer.commit(registry.registration(lease));
      return;
    }
    const claim = election.claim(lease);
    if (claim !== undefined) {
      if (await writer.commit(claim)) election.becomeLeader();
      return;
    }
    if (await this.#assignNewTeams()) return;
    const now = monotonicNow();
    const plan = this.#planShardActions(now);
    const joinedAt = this.#joinedAt ?? now;
    this.#joinedAt = joinedAt;
    for (const action of plan) {
      if (now - joinedAt < JOIN_GRACE_MS && this.#isLeftToNewcomers(action)) continue;
      const owner = action.kind === "claim" ? this.ctx.self : action.to;
      if (await writer.commit(this.#ownershipTransfer(action.shard, owner)))
        this.ctx.log.info(logEventOf(action), { shard: action.shard, to: owner.label });
    }
  }

  #planShardActions(now: MonotonicMs): readonly ShardAction[] {
    const { ctx, parts } = this;
    const members = parts.registry.members();
    const stableMembers = parts.registry.stableMembers(members, now);
    parts.writeShare.update(Math.max(1, members.size), now);
    return planShardActions({
      self: ctx.self,
      shardCount: ctx.settings.shardCount,
      shardOwners: new Map(
        [...ctx.replica.shardOwners].map(([shard, owner]) => [shard, owner.value]),
      ),
      members,
      stableMembers,
    });
  }

  /**
   * When several controllers start together, the first must not claim what the others are about
   * to: nothing runs for a while in a shard that has to be handed over again. What an earlier start
   * of this controller owned is nobody else's to claim.
   */
  #isLeftToNewcomers(action: ShardAction): boolean {
    const { replica, self } = this.ctx;
    const owner = replica.shardOwners.get(action.shard)?.value;
    return action.kind === "claim" && owner?.label !== self.label;
  }

  #ownershipTransfer(shard: ShardId, to: ControllerId): Transaction {
    const key = keys.shard(shard);
    return {
      conditions: [{ key, rev: this.ctx.replica.revisionOf(key) }],
      ops: [{ kind: "put", key, value: encodeControllerId(to) }],
    };
  }

  /** True if teams of the settings had no shard and were given theirs. */
  async #assignNewTeams(): Promise<boolean> {
    const { replica, settings } = this.ctx;
    const known: ReadonlyMap<TeamName, ShardId> = replica.teams?.value ?? new Map();
    const names = settings.teams.map((team) => team.name);
    if (replica.teams !== undefined && names.every((name) => known.has(name))) return false;
    const assigned = assignTeams(known, names, settings.shardCount);
    return this.parts.writer.commit({
      conditions: [{ key: keys.teams, rev: replica.revisionOf(keys.teams) }],
      ops: [{ kind: "put", key: keys.teams, value: encodeTeams(assigned) }],
    });
  }
}
