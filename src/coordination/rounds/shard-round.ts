/**
 * The data that the phases of one round pass on to each other for one shard: decisions taken so far
 * and not yet written. A round is created anew each time and thrown away after its commit.
 */
import type { JobId, MachineId, MonotonicMs, ShardId, TaskId } from "@umberfold/ids";
import type { LiveJob } from "../../storage/records.js";
import type { TransactionBatch } from "../../storage/transaction-batch.js";

/** What a round has decided of one shard so far. */
export interface ShardRound {
  /** The shard that is decided on. */
  readonly shard: ShardId;
  /** The transaction under construction, shared by all shards of the round. */
  readonly batch: TransactionBatch;
  /** When the round began. */
  readonly now: MonotonicMs;
  /** Jobs as this round will write them. */
  readonly drafts: Map<JobId, LiveJob>;
  /** Machines that get a command call once this round is written. */
  readonly machinesToCall: Set<MachineId>;
  /** Tasks whose attempts the batch terminates, by machine. */
  readonly terminatedByMachine: Map<MachineId, Set<TaskId>>;
  /** Keys of these attempts: their soft state goes once the batch is written. */
  readonly terminatedKeys: string[];
}

/** A round of one shard in which nothing is decided yet. */
export const newShardRound = (
  shard: ShardId,
  batch: TransactionBatch,
  now: MonotonicMs,
): ShardRound => ({
  shard,
  batch,
  now,
  drafts: new Map(),
  machinesToCall: new Set(),
  terminatedByMachine: new Map(),
  terminatedKeys: [],
});
