/**
 * The leader's writes of spans.
 *
 * Owns only counts; spans are records. Invariant: none of these writes lowers a share, because only
 * the shard's owner may do so. The exception is the repair of an unreadable record, which may lower
 * shares and fences the owners first.
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

/** A shard and its ownership record. */
type OwnedShard = readonly [ShardId, Versioned<ControllerId>];

/** The progress of the repair of an unreadable span, according to the shards' ownership records. */
type RepairStage =
  /** Owners of these shards may still act without having seen the unreadable record. */
  | { readonly kind: "unfenced"; readonly shards: readonly OwnedShard[] }
  /** All owners are fenced, but the replica is not yet synced up to the last fencing write. */
  | { readonly kind: "awaiting_sync" }
  /** The replica shows all attempts that can be open, so the record may be replaced. */
  | { readonly kind: "fenced" };

type SpanWrite = { readonly kind: "put"; readonly value: unknown } | { readonly kind: "delete" };

/** Writes spans on condition that the leader's term still holds. */
export class SpanRecords {
  /** Counts, since the start, of each kind of write and of changes that `stepSpan` refused. */
  readonly counters = { changes: 0, refused: 0, dissolved: 0, repaired: 0 };

  /** @param records writes on condition that the leader's term still holds */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: LeaderRecords,
  ) {}

  /** Whether this controller leads and its replica is synced. */
  get canWrite(): boolean {
    return this.records.canWrite;
  }

  /** Applies the event to the team's span. Returns true if the changed span was written. */
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

  /** Deletes the record of a span that consists of its home shard alone. */
  async dissolve(team: TeamName): Promise<void> {
    if (!(await this.#write(team, { kind: "delete" }))) return;
    this.counters.dissolved++;
    this.ctx.log.info("span dissolved", { team });
  }

  /**
   * Replaces an unreadable record; each call does one step. First each shard's ownership record is
   * rewritten with its current owner. An owner starts nothing until it has seen that write and,
   * with it, the earlier unreadable record, and under an unreadable record it starts no task of the
   * team. Once the replica is synced up to these writes, it shows all attempts that can be open.
   * Then each shard keeps what its open attempts use, and the home shard gets the rest.
   *
   * @param unreadableRevision the revision of the unreadable record
   */
  async repair(team: TeamName, unreadableRevision: Revision): Promise<void> {
    const stage = this.#repairStage(unreadableRevision);
    if (stage.kind === "unfenced") {
      await this.#fence(team, stage.shards);
      return;
    }
    if (stage.kind === "awaiting_sync") return;
    // Computed only now, because earlier loads may lack attempts that were opened before the fence.
    const load = teamLoads(this.ctx).find((candidate) => candidate.team === team);
    if (load !== undefined) await this.#replace(load);
  }

  #repairStage(unreadableRevision: Revision): RepairStage {
    const { shardOwners, syncedRevision } = this.ctx.replica;
    const unfenced = [...shardOwners].filter(([, { rev }]) => rev <= unreadableRevision);
    if (unfenced.length > 0) return { kind: "unfenced", shards: unfenced };
    const lastFenceRevision = Math.max(...[...shardOwners.values()].map(({ rev }) => rev));
    return { kind: syncedRevision < lastFenceRevision ? "awaiting_sync" : "fenced" };
  }

  async #fence(team: TeamName, shards: readonly OwnedShard[]): Promise<void> {
    const batch = shards.slice(0, this.ctx.settings.state.txnOps);
    const span = keys.span(team);
    const written = await this.records.write({
      conditions: [
        { key: span, rev: this.ctx.replica.revisionOf(span) },
        ...batch.map(([shard, { rev }]) => ({ key: keys.shard(shard), rev })),
      ],
      ops: batch.map(([shard, { value }]) => ({
        kind: "put" as const,
        key: keys.shard(shard),
        value: encodeControllerId(value),
      })),
    });
    if (written) this.ctx.log.info("unreadable span fenced", { team, shards: batch.length });
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

/**
 * Returns a span in which each shard has what its open attempts use; the home shard has the rest.
 */
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
