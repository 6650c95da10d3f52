/**
 * A team that spans several shards. Its quota (limit and guarantee) is held in escrow: each shard of
 * the span has a share of it, and its owner opens attempts within that share without asking anybody.
 */
export { encodeSpan, parseSpan } from "./codec.js";
export {
  type EntryState,
  FULL_SHARE,
  homeSpan,
  type Share,
  type Span,
  type SpanEntry,
  share,
  shareOf,
  sumOfShares,
  usableShare,
} from "./span.js";
export {
  type PlannedShare,
  type Refusal,
  type SpanEvent,
  type StepResult,
  stepSpan,
} from "./step.js";
