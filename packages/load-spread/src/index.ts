/**
 * Decides how a busy team's work is spread over several shards. All functions are pure: they take
 * loads, spans and the time, and return changes of spans, transfers and task batches. The service
 * reads and writes the records and supplies the clock.
 */
export { chooseShard } from "./choose-shard.js";
export {
  fairTaskBatches,
  type TaskBatch,
  type TaskBatchInput,
  type WaitingJob,
} from "./fair-share.js";
export { greedyPlan } from "./greedy-planner.js";
export type { OwnerLoad, ShardLoad, TeamLoad } from "./load.js";
export {
  type CapacityTransfer,
  fairCpusByShard,
  planCapacityTransfers,
} from "./machine-balance.js";
export { consolidateTargets, minimumShares } from "./minimum-shares.js";
export {
  isWorthWriting,
  type PlanInput,
  planCost,
  planInput,
  type SpanPlan,
  type TeamPlanInput,
} from "./plan.js";
export { LoadSpreadPlanner, type PlannerCounters } from "./planner.js";
export {
  INITIAL_PRESSURE,
  type Pressure,
  type PressureInput,
  type PressureState,
  stepPressure,
} from "./pressure.js";
export type { LoadSpreadSettings } from "./settings.js";
export { solvePlan } from "./solver-planner.js";
export { decideSpan, isDissolvable, type SpanDecision, teamPressure } from "./span-policy.js";
export { nextTransfer, type TransferInput } from "./transfers.js";
