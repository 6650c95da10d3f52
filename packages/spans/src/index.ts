/**
 * The span of a team: the shards that it uses. Its quota (limit and guarantee) is divided into
 * escrow shares: each shard of the span has a share, and the shard's owner opens attempts within
 * that share without coordinating with other controllers.
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
