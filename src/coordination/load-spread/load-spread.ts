/**
 * Load spreading, wired to the records: the leader changes and plans spans, each owner hands on what
 * its shards have beyond their targets. While it is off, spans of an earlier time are drained home.
 * The facade over the parts in this folder; it is loaded on demand.
 *
 * Owns no state beside its parts. What must hold: the shares of a span never add up to more than the
 * whole quota.
 */
import type { JobId, ShardId, TeamName } from "@umberfold/ids";
import { chooseShard, fairTaskBatches, type LoadSpreadSettings } from "@umberfold/load-spread";
import type { JobSpec } from "../../protocol/jobs.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { ControllerContext } from "../context.js";
import { LeaderRecords } from "../fleet/leader-records.js";
import type { Membership } from "../membership/membership.js";
import type { LoadSpreadHooks } from "./hooks.js";
import type { LocalShardWriter } from "./local-shard-writer.js";
import { QuotaTransfers } from "./quota-transfers.js";
import { SpanLeader } from "./span-leader.js";
import { SpanRecords } from "./span-records.js";

/** Spreads the work of busy teams over several shards. */
export class LoadSpread {
  readonly #spans: SpanRecords;
  readonly #leader: SpanLeader;
  readonly #transfers: QuotaTransfers;

  /**
   * @param owner writes records of the shards owned here
   * @param transferMachines asks the machines' owners to hand them over once they are empty
   */
  constructor(
    private readonly ctx: ControllerContext,
    membership: Membership,
    owner: LocalShardWriter,
    private readonly settings: LoadSpreadSettings,
    transferMachines: (transfers: readonly MachineTransferRequest[]) => void,
  ) {
    this.#spans = new SpanRecords(ctx, new LeaderRecords(ctx, membership));
    this.#leader = new SpanLeader(ctx, settings, this.#spans, transferMachines);
    this.#transfers = new QuotaTransfers(ctx, membership, owner);
  }

  /** What other parts may ask while it is on. */
  hooks(): LoadSpreadHooks {
    const placeJob = (spec: JobSpec): ShardId | null => this.#placeJob(spec.team, spec.id);
    return this.settings.fairShares ? { placeJob, fairTaskBatches } : { placeJob };
  }

  /** The leader's part, if this controller leads, and then an owner's part. */
  async tick(): Promise<void> {
    if (!this.ctx.isReplicaSynced) return;
    if (this.#spans.writable && this.ctx.replica.teams !== undefined) await this.#leader.lead();
    else this.#leader.stopLeading();
    await this.#transfers.transferSurplus();
  }

  /** Spans as they are, and counts since the start, for the log event `stats`. */
  stats(): Readonly<Record<string, unknown>> {
    const { replica } = this.ctx;
    const spans = Object.fromEntries(
      [...replica.spans.records].map(([team, { value }]) => [
        team,
        value?.entries.map((e) => [e.shard, e.state, e.share, e.target, e.weight]) ?? "unreadable",
      ]),
    );
    return {
      spans,
      placedJobs: replica.spans.placedJobs,
      transfers: this.#transfers.writtenCount,
      machinesMoved: this.#leader.machinesMoved,
      ...this.#spans.counters,
      ...this.#leader.plannerCounters,
    };
  }

  #placeJob(team: TeamName, id: JobId): ShardId | null {
    const { replica } = this.ctx;
    const span = replica.spans.records.get(team)?.value;
    if (span === undefined || span.home !== replica.teams?.value.get(team)) return null;
    const shard = chooseShard(span, id);
    return shard === span.home ? null : shard;
  }
}
