/**
 * Reconciles the membership records with the live controllers: this controller's registration, the
 * leadership, the shards of teams and the owners of shards, in this order. A pass that registers,
 * claims leadership or assigns teams ends there. Owns the time when this controller joined the
 * distribution of shards.
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

/**
 * For this long after joining, a controller claims no unowned shards, except those of its earlier
 * incarnation, so that controllers that start at the same time can claim theirs.
 */
const JOIN_GRACE_PERIOD_MS = 600;

const logEventName = (action: ShardAction): string =>
  action.kind === "claim" ? "shard claimed" : "shard handed over";

/** The parts of membership that a reconciliation pass uses. */
export interface ReconcilerDependencies {
  readonly lease: LeaseKeeper;
  readonly registry: MemberRegistry;
  readonly election: LeaderElection;
  readonly writer: MembershipWriter;
  readonly writeShare: WriteShare;
}

/** Brings the membership records in line with the live controllers, with a few writes per pass. */
export class ShardReconciler {
  /** When this controller first planned shards after its latest registration; undefined before. */
  #joinedAt: MonotonicMs | undefined;
  /** Prevents concurrent passes, which would decide on records that another pass is writing. */
  #isReconciling = false;

  /** `dependencies` are shared with the facade, which answers queries from them. */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly dependencies: ReconcilerDependencies,
  ) {}

  /**
   * Runs one pass. Does nothing while another pass is in progress, without a lease, or before the
   * replica holds the first scan.
   */
  async reconcile(): Promise<void> {
    const lease = this.dependencies.lease.leaseId;
    if (this.#isReconciling || lease === undefined || !this.ctx.isReplicaSynced) return;
    this.#isReconciling = true;
    try {
      await this.#runPass(lease);
    } finally {
      this.#isReconciling = false;
    }
  }

  async #runPass(lease: LeaseId): Promise<void> {
    const { registry, election, writer } = this.dependencies;
    if (!registry.isRegistered()) {
      this.#joinedAt = undefined;
      await writer.commit(registry.registrationTransaction(lease));
      return;
    }
    const claim = election.claimTransaction(lease);
    if (claim !== undefined) {
      if (await writer.commit(claim)) election.onLeadershipAcquired();
      return;
    }
    if (await this.#assignNewTeams()) return;
    const now = monotonicNow();
    const plan = this.#planShardActions(now);
    const joinedAt = this.#joinedAt ?? now;
    this.#joinedAt = joinedAt;
    for (const action of plan) {
      if (now - joinedAt < JOIN_GRACE_PERIOD_MS && this.#isDeferredWhileJoining(action)) continue;
      const owner = action.kind === "claim" ? this.ctx.self : action.to;
      if (await writer.commit(this.#ownershipTransfer(action.shard, owner)))
        this.ctx.log.info(logEventName(action), { shard: action.shard, to: owner.label });
    }
  }

  #planShardActions(now: MonotonicMs): readonly ShardAction[] {
    const { ctx, dependencies } = this;
    const members = dependencies.registry.liveMembers();
    const stableMembers = dependencies.registry.stableMembers(members, now);
    dependencies.writeShare.update(Math.max(1, members.size), now);
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
   * Whether the action must wait for the end of the join grace period. When several controllers
   * start together, the first must not claim the shards of the others, because a shard that is
   * handed over again runs nothing for a while. Shards of an earlier incarnation of this controller
   * need not wait, because only this controller can claim them.
   */
  #isDeferredWhileJoining(action: ShardAction): boolean {
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

  /** Assigns a shard to each team of the settings that has none. True if any were assigned. */
  async #assignNewTeams(): Promise<boolean> {
    const { replica, settings } = this.ctx;
    const assignedShards: ReadonlyMap<TeamName, ShardId> = replica.teams?.value ?? new Map();
    const teamNames = settings.teams.map((team) => team.name);
    if (replica.teams !== undefined && teamNames.every((name) => assignedShards.has(name)))
      return false;
    const assigned = assignTeams(assignedShards, teamNames, settings.shardCount);
    return this.dependencies.writer.commit({
      conditions: [{ key: keys.teams, rev: replica.revisionOf(keys.teams) }],
      ops: [{ kind: "put", key: keys.teams, value: encodeTeams(assigned) }],
    });
  }
}
