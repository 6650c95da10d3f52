/**
 * The leader's writes of spans.
 *
 * Owns counts alone; spans are records. What must hold: none of these writes lowers a share, since
 * that is for the shard's owner alone; the repair of an unreadable record may, and fences the owners
 * off first.
 */
import type { Revision, ShardId, TeamName } from "@umberfold/ids";
import type { TeamLoad } from "@umberfold/load-spread";
import {
  encodeSpan,
  FULL_SHARE,
  type Span,
  type SpanEvent,
  share,
  shareOf,
  stepSpan,
  sumOfShares,
} from "@umberfold/spans";
import type { Transaction } from "../../protocol/store.js";
import { type ControllerId, encodeControllerId, keys } from "../../storage/records.js";
import type { Versioned } from "../../storage/versioned.js";
import type { ControllerContext } from "../context.js";
import type { LeaderRecords } from "../fleet/leader-records.js";
import { teamLoads } from "./team-loads.js";

/** A shard with the record that says who owns it. */
type OwnedShard = readonly [ShardId, Versioned<ControllerId>];

/** How far the repair of an unreadable span has come, as the shards' records show. */
type RepairStage =
  /** Owners of these shards may act without having seen the unreadable record. */
  | { readonly kind: "unfenced"; readonly shards: readonly OwnedShard[] }
  /** All are fenced, but the replica isn't synced up to the fence. */
  | { readonly kind: "awaiting_sync" }
  /** What is open now is all that can be: the record may be replaced. */
  | { readonly kind: "fenced" };

type SpanWrite = { readonly kind: "put"; readonly value: unknown } | { readonly kind: "delete" };

/** Writes spans under the leader's term. */
export class SpanRecords {
  /** Writes of each kind, and changes that the span itself refused, since the start. */
  readonly counters = { changes: 0, refused: 0, dissolved: 0, repaired: 0 };

  /** @param records writes under the leader's term */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: LeaderRecords,
  ) {}

  /** Whether this controller leads, and knows the records. */
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
    if (!(await this.#write(team, { kind: "put", value: encodeSpan(stepped.span) }))) return false;
    this.counters.changes++;
    const shard = event.kind === "plan" || event.kind === "transfer" ? undefined : event.shard;
    const entries = stepped.span.entries.map((entry) => [
      entry.shard,
      entry.state,
      entry.share,
      entry.target,
      entry.weight,
    ]);
    this.ctx.log.info("span changed", { team, change: event.kind, shard, entries });
    return true;
  }

  /** Deletes the record of a span that has come down to its home shard. */
  async dissolve(team: TeamName): Promise<void> {
    if (!(await this.#write(team, { kind: "delete" }))) return;
    this.counters.dissolved++;
    this.ctx.log.info("span dissolved", { team });
  }

  /**
   * Replaces a record that can't be read, in steps, one a call. First each shard's record is written
   * anew, with the owner that it has: whoever owns a shard acts on nothing before it has seen that
   * write, and so the unreadable record, under which nothing of the team is started. What is open
   * once all that has been seen is all that can be: each shard keeps that much, the home shard gets
   * the rest.
   *
   * @param unreadable the revision of the record that can't be read
   */
  async repair(team: TeamName, unreadable: Revision): Promise<void> {
    const stage = this.#repairStage(unreadable);
    if (stage.kind === "unfenced") {
      await this.#fence(team, stage.shards);
      return;
    }
    if (stage.kind === "awaiting_sync") return;
    // Added up now: an earlier look may lack what was started before the fence.
    const load = teamLoads(this.ctx).find((one) => one.team === team);
    if (load !== undefined) await this.#replace(load);
  }

  #repairStage(unreadable: Revision): RepairStage {
    const { shardOwners, syncedRevision } = this.ctx.replica;
    const unfenced = [...shardOwners].filter(([, { rev }]) => rev <= unreadable);
    if (unfenced.length > 0) return { kind: "unfenced", shards: unfenced };
    const fencedBy = Math.max(...[...shardOwners.values()].map(({ rev }) => rev));
    return { kind: syncedRevision < fencedBy ? "awaiting_sync" : "fenced" };
  }

  async #fence(team: TeamName, shards: readonly OwnedShard[]): Promise<void> {
    const fencedNow = shards.slice(0, this.ctx.settings.state.txnOps);
    const span = keys.span(team);
    const written = await this.records.write({
      conditions: [
        { key: span, rev: this.ctx.replica.revisionOf(span) },
        ...fencedNow.map(([shard, { rev }]) => ({ key: keys.shard(shard), rev })),
      ],
      ops: fencedNow.map(([shard, { value }]) => ({
        kind: "put" as const,
        key: keys.shard(shard),
        value: encodeControllerId(value),
      })),
    });
    if (written) this.ctx.log.info("unreadable span fenced", { team, shards: fencedNow.length });
  }

  async #replace(load: TeamLoad): Promise<void> {
    const span = spanOfOpenAttempts(load);
    if (!(await this.#write(load.team, { kind: "put", value: encodeSpan(span) }))) return;
    this.counters.repaired++;
    this.ctx.log.info("unreadable span replaced", {
      team: load.team,
      atHome: shareOf(span, load.home),
    });
  }

  #write(team: TeamName, write: SpanWrite): Promise<boolean> {
    const key = keys.span(team);
    const transaction: Transaction = {
      conditions: [{ key, rev: this.ctx.replica.revisionOf(key) }],
      ops: [{ ...write, key }],
    };
    return this.records.write(transaction);
  }
}

/** A span in which each shard keeps what its open attempts use, and the home shard has the rest. */
const spanOfOpenAttempts = (load: TeamLoad): Span => {
  const others = [...load.shards.values()].filter(({ shard }) => shard !== load.home);
  const usedElsewhere = sumOfShares(others.map(({ usedShare }) => usedShare));
  const atHome = share(Math.max(0, FULL_SHARE - usedElsewhere));
  const scale = usedElsewhere > FULL_SHARE ? FULL_SHARE / usedElsewhere : 1;
  return {
    home: load.home,
    entries: [
      { shard: load.home, state: "active", share: atHome, target: atHome, weight: FULL_SHARE },
      ...others.map(({ shard, usedShare: used }) => {
        const kept = share(Math.floor(used * scale));
        return { shard, state: "draining" as const, share: kept, target: kept, weight: share(0) };
      }),
    ],
  };
};
