/**
 * The shard owner's part of load spreading: transfers what the shares of the shards owned here
 * exceed their targets by to shards whose shares are below their targets.
 *
 * Owns only a count; spans are records. Invariant: only a shard's owner lowers the shard's share,
 * on condition that it still owns the shard, and never below what the open attempts use.
 */
import type { ShardId, TeamName } from "@umberfold/ids";
import { nextTransfer } from "@umberfold/load-spread";
import { encodeSpan, type Share, type Span, stepSpan } from "@umberfold/spans";
import type { Transaction } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { LocalShardWriter } from "./local-shard-writer.js";
import { quotaFraction, quotaShare } from "./quota-share.js";

/** Transfers quota between the shards of a span. */
export class QuotaTransfers {
  #written = 0;

  /** @param owner writes between its rounds, when the records show all open attempts */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: LocalShardWriter,
  ) {}

  /** The number of transfers written since the start. */
  get writtenCount(): number {
    return this.#written;
  }

  /** Writes at most one transfer for each owned shard and team. */
  async transferSurplus(): Promise<void> {
    const { replica } = this.ctx;
    for (const shard of this.membership.ownedShards())
      for (const team of [...replica.spans.records.keys()]) {
        const written = await this.owner.writeBetweenRounds(() => this.#transfer(team, shard));
        if (written) this.#written++;
      }
  }

  /** Decides the next transfer from a shard, immediately before it is written. */
  #transfer(team: TeamName, shard: ShardId): Transaction | undefined {
    const span = this.ctx.replica.spans.records.get(team)?.value;
    if (span === undefined || !this.membership.ownsShard(shard)) return undefined;
    const event = nextTransfer({ span, from: shard, usedShare: this.#usedShare(team, shard) });
    const stepped = event === undefined ? undefined : stepSpan(span, event);
    if (event === undefined || stepped?.ok !== true) return undefined;
    this.ctx.log.info("quota handed on", { team, from: shard, to: event.to, amount: event.amount });
    return this.#transferTransaction(team, shard, stepped.span);
  }

  #transferTransaction(team: TeamName, shard: ShardId, span: Span): Transaction {
    const { replica } = this.ctx;
    const key = keys.span(team);
    return {
      conditions: [
        { key, rev: replica.revisionOf(key) },
        { key: keys.shard(shard), rev: replica.revisionOf(keys.shard(shard)) },
      ],
      ops: [{ kind: "put", key, value: encodeSpan(span) }],
    };
  }

  /** Returns the share of the quota that the team's open attempts in a shard use. */
  #usedShare(team: TeamName, shard: ShardId): Share {
    const settings = this.ctx.teams.get(team);
    const used = this.ctx.replica.shardJobs(shard).index.usedResourcesByTeam().get(team);
    return quotaShare(
      settings === undefined || used === undefined ? 0 : quotaFraction(settings, used),
    );
  }
}
