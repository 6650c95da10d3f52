/**
 * What other parts ask of load spreading, as types alone: they must not load its package while it
 * is off.
 */
import type { ShardId } from "@umberfold/ids";
import type { TaskBatch, TaskBatchInput } from "@umberfold/load-spread";
import type { JobSpec } from "../../protocol/jobs.js";

/** Decisions of load spreading while it is on. */
export interface LoadSpreadHooks {
  /** The shard for a new job, or null for its team's home shard. */
  readonly placeJob: (spec: JobSpec) => ShardId | null;
  /** In which order waiting jobs of equal standing have tasks started; absent: as they come. */
  readonly fairTaskBatches?: (input: TaskBatchInput) => readonly TaskBatch[];
}
