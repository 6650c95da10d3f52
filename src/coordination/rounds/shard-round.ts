/**
 * The data that the phases of one round pass to each other for one shard: the decisions taken so
 * far, not yet written. Created for each round and discarded after the commit.
 */
import type { JobId, MachineId, MonotonicMs, ShardId, TaskId } from "@umberfold/ids";
import type { LiveJob } from "../../storage/records.js";
import type { TransactionBatch } from "../../storage/transaction-batch.js";

/** The decisions of a round for one shard so far. */
export interface ShardRound {
  /** The shard that the decisions concern. */
  readonly shard: ShardId;
  /** The transaction under construction, shared by all shards of the round. */
  readonly batch: TransactionBatch;
  /** When the round began. */
  readonly now: MonotonicMs;
  /** The jobs that this round changes, as it will write them. */
  readonly drafts: Map<JobId, LiveJob>;
  /** Machines to call with commands after the commit. */
  readonly machinesToCall: Set<MachineId>;
  /** Tasks whose attempts the batch terminates, by machine. */
  readonly terminatedByMachine: Map<MachineId, Set<TaskId>>;
  /** Keys of the terminated attempts; their soft state is deleted after the commit. */
  readonly terminatedAttemptKeys: string[];
}

/** A round of one shard without decisions. */
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
  terminatedAttemptKeys: [],
});
