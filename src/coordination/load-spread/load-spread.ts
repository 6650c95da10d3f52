/**
 * Load spreading, connected to the records: the leader changes and plans spans, and each owner
 * transfers what its shards' shares exceed their targets by. While load spreading is disabled,
 * existing spans are drained until only the home shard is left. This class is the facade of the
 * modules in this folder; it is loaded on demand.
 *
 * Owns no state except its parts. Invariant: the shares of a span never add up to more than the
 * full quota.
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
   * @param transferMachines asks the owners of the machines to transfer them once they are empty
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

  /** Returns the decisions that other parts use while load spreading is enabled. */
  hooks(): LoadSpreadHooks {
    const placeJob = (spec: JobSpec): ShardId | null => this.#placeJob(spec.team, spec.id);
    return this.settings.fairShares ? { placeJob, fairTaskBatches } : { placeJob };
  }

  /** Does the leader's work if this controller leads, and then that of a shard owner. */
  async tick(): Promise<void> {
    if (!this.ctx.isReplicaSynced) return;
    if (this.#spans.canWrite && this.ctx.replica.teams !== undefined) await this.#leader.lead();
    else this.#leader.stopLeading();
    await this.#transfers.transferSurplus();
  }

  /** Returns the current spans, and counts since the start, for the log event `stats`. */
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
