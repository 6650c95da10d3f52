/**
 * The interface of load spreading to other parts. It contains types only, because other parts must
 * not load the load-spread package while load spreading is disabled.
 */
import type { ShardId } from "@umberfold/ids";
import type { TaskBatch, TaskBatchInput } from "@umberfold/load-spread";
import type { JobSpec } from "../../protocol/jobs.js";

/** The decisions of load spreading while it is enabled. */
export interface LoadSpreadHooks {
  /** Returns the shard for a new job, or null for its team's home shard. */
  readonly placeJob: (spec: JobSpec) => ShardId | null;
  /**
   * Returns the order in which tasks of waiting jobs with equal guarantee and priority are started.
   * Undefined if fair shares are disabled; the order of the queue applies then.
   */
  readonly fairTaskBatches?: (input: TaskBatchInput) => readonly TaskBatch[];
}
