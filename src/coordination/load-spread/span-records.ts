import type { Revision, ShardId, TeamName } from "@umberfold/ids";
import type { TeamLoad } from "@umberfold/load-spread";
import {
  type Span,
  type SpanEvent,
  share,
  shareOf,
  spanValue,
  stepSpan,
  sumOfShares,
  WHOLE,
} from "@umberfold/spans";
import type { Transaction } from "../../protocol/store.js";
import { type ControllerId, encodeControllerId, keys } from "../../storage/records.js";
import type { Versioned } from "../../storage/versioned.js";
import type { ControllerContext } from "../context.js";
import type { LeaderRecords } from "../fleet/leader-records.js";
import { teamLoads } from "./team-loads.js";

/** The leader's writes of spans. None of them lowers a share: that is for the shard's owner alone. */
export class SpanRecords {
  readonly counters = { changes: 0, refused: 0, dissolved: 0, repaired: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: LeaderRecords,
  ) {}

  get writable(): boolean {
    return this.records.writable;
  }

  /** True if the span was changed so. */
  async apply(team: TeamName, span: Span, event: SpanEvent): Promise<boolean> {
    const stepped = stepSpan(span, event);
    if (!stepped.ok) {
      this.counters.refused++;
      this.ctx.log.info("span change refused", { team, change: event.kind, why: stepped.refusal });
      return false;
    }
    if (!(await this.#write(team, { kind: "put", value: spanValue(stepped.span) }))) return false;
    this.counters.changes++;
    const shard = event.kind === "plan" || event.kind === "transfer" ? undefined : event.shard;
    const entries = stepped.span.entries.map((e) => [
      e.shard,
      e.state,
      e.share,
      e.target,
      e.weight,
    ]);
    this.ctx.log.info("span changed", { team, change: event.kind, shard, entries });
    return true;
  }

  /** Takes the record of a span away that has come down to its home shard. */
  async dissolve(team: TeamName): Promise<void> {
    if (!(await this.#write(team, { kind: "delete" }))) return;
    this.counters.dissolved++;
    this.ctx.log.info("span dissolved", { team });
  }

  /**
   * Replaces a record that can't be read, in two steps. First every shard's record is written anew,
   * with the owner that it has: whoever owns a shard acts on nothing before it has seen that write,
   * and so the unreadable record, under which nothing of the team is started. What is open once all
   * that has been seen is all that can be: each shard keeps that much, the home shard gets the rest.
   */
  async repair(team: TeamName, unreadable: Revision): Promise<void> {
    const { replica } = this.ctx;
    const unfenced = [...replica.shardOwners].filter(([, s]) => s.rev <= unreadable);
    if (unfenced.length > 0) {
      await this.#fence(team, unfenced);
      return;
    }
    const fencedBy = Math.max(...[...replica.shardOwners.values()].map((s) => s.rev));
    if (replica.syncedRevision < fencedBy) return;
    // Added up now: an earlier look may lack what was started before the fence.
    const load = teamLoads(this.ctx).find((l) => l.team === team);
    if (load !== undefined) await this.#replace(load);
  }

  async #fence(
    team: TeamName,
    shards: readonly (readonly [ShardId, Versioned<ControllerId>])[],
  ): Promise<void> {
    const some = shards.slice(0, this.ctx.settings.state.txnOps);
    const span = keys.span(team);
    const written = await this.records.write({
      conditions: [
        { key: span, rev: this.ctx.replica.revisionOf(span) },
        ...some.map(([shard, { rev }]) => ({ key: keys.shard(shard), rev })),
      ],
      ops: some.map(([shard, { value }]) => ({
        kind: "put" as const,
        key: keys.shard(shard),
        value: encodeControllerId(value),
      })),
    });
    if (written) this.ctx.log.info("unreadable span fenced", { team, shards: some.length });
  }

  async #replace(load: TeamLoad): Promise<void> {
    const used = [...load.shards.values()].filter((s) => s.shard !== load.home);
    const elsewhere = sumOfShares(used.map((s) => s.used));
    const atHome = share(Math.max(0, WHOLE - elsewhere));
    const scale = elsewhere > WHOLE ? WHOLE / elsewhere : 1;
    const span: Span = {
      home: load.home,
      entries: [
        { shard: load.home, state: "active", share: atHome, target: atHome, weight: WHOLE },
        ...used.map(({ shard, used: part }) => {
          const kept = share(Math.floor(part * scale));
          return { shard, state: "draining" as const, share: kept, target: kept, weight: share(0) };
        }),
      ],
    };
    if (!(await this.#write(load.team, { kind: "put", value: spanValue(span) }))) return;
    this.counters.repaired++;
    this.ctx.log.info("unreadable span replaced", {
      team: load.team,
      atHome: shareOf(span, load.home),
    });
  }

  #write(
    team: TeamName,
    op: { readonly kind: "put"; readonly value: unknown } | { readonly kind: "delete" },
  ): Promise<boolean> {
    const key = keys.span(team);
    const txn: Transaction = {
      conditions: [{ key, rev: this.ctx.replica.revisionOf(key) }],
      ops: [{ ...op, key }],
    };
    return this.records.write(txn);
  }
}
