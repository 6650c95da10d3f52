/**
 * The state machine of a span: spans change only in `stepSpan`.
 *
 * A shard's entry changes from absent to active (`join`) or draining (`adopt`), between active and
 * draining (`drain`, `join`), and from draining to absent (`leave`). An event that would violate an
 * invariant of `Span` is refused and changes nothing. Only a `transfer` lowers a share, and never
 * below what open attempts use. Holds no state.
 */
import type { ShardId } from "@umberfold/ids";
import {
  entryOf,
  FULL_SHARE,
  type Share,
  type Span,
  type SpanEntry,
  share,
  sumOfShares,
} from "./span.js";

/** An event that changes a span. */
export type SpanEvent =
  /** Allows new jobs in the shard, which was absent from the span or draining. */
  | { readonly kind: "join"; readonly shard: ShardId }
  /** Adds a shard that has jobs of the team although it is not in the span; it starts draining. */
  | { readonly kind: "adopt"; readonly shard: ShardId }
  /** Stops placing new jobs in the shard. */
  | { readonly kind: "drain"; readonly shard: ShardId }
  /** Removes a draining shard that has no jobs of the team and no share left. */
  | { readonly kind: "leave"; readonly shard: ShardId }
  /** Sets the leader's planned targets and weights; shards that are not in the plan keep theirs. */
  | { readonly kind: "plan"; readonly plan: ReadonlyMap<ShardId, PlannedShare> }
  /** An owner transfers part of its shard's share; `used` is what its open attempts use. */
  | {
      readonly kind: "transfer";
      readonly from: ShardId;
      readonly to: ShardId;
      readonly amount: Share;
      readonly used: Share;
    };

/** The fields of one shard's entry that a plan sets. */
export interface PlannedShare {
  readonly target: Share;
  readonly weight: Share;
}

/** Why an event was refused. */
export type Refusal =
  | "in the span already"
  | "not in the span"
  | "home shard"
  /** The shard can't leave, because its share is not 0. */
  | "holds a share"
  /** The planned targets would add up to more than `FULL_SHARE`. */
  | "more than the whole"
  /**
   * The transferred amount is not a positive integer, or a planned target or weight is not an
   * integer from 0 to `FULL_SHARE`.
   */
  | "not a positive amount"
  /** Open attempts use a part of the amount to be transferred. */
  | "in use";

/** The changed span, or the reason why the event was refused. */
export type StepResult =
  | { readonly ok: true; readonly span: Span }
  | { readonly ok: false; readonly refusal: Refusal };

const refused = (refusal: Refusal): StepResult => ({ ok: false, refusal });

const accepted = (span: Span, entries: readonly SpanEntry[]): StepResult => ({
  ok: true,
  span: { home: span.home, entries },
});

const acceptedWithEntryChange = (
  span: Span,
  shard: ShardId,
  change: Partial<SpanEntry>,
): StepResult =>
  accepted(
    span,
    span.entries.map((entry) => (entry.shard === shard ? { ...entry, ...change } : entry)),
  );

/** A new entry has no share; it receives one by transfers. */
const acceptedWithNewEntry = (span: Span, shard: ShardId, state: SpanEntry["state"]): StepResult =>
  accepted(span, [
    ...span.entries,
    { shard, state, share: share(0), target: share(0), weight: share(0) },
  ]);

const isValidShare = (value: number): boolean =>
  Number.isInteger(value) && value >= 0 && value <= FULL_SHARE;

const applyPlan = (span: Span, plan: ReadonlyMap<ShardId, PlannedShare>): StepResult => {
  for (const [shard, { target, weight }] of plan) {
    if (entryOf(span, shard) === undefined) return refused("not in the span");
    if (!isValidShare(target) || !isValidShare(weight)) return refused("not a positive amount");
  }
  const entries = span.entries.map((entry) => ({ ...entry, ...plan.get(entry.shard) }));
  if (sumOfShares(entries.map((entry) => entry.target)) > FULL_SHARE)
    return refused("more than the whole");
  return accepted(span, entries);
};

const applyTransfer = (span: Span, event: Extract<SpanEvent, { kind: "transfer" }>): StepResult => {
  const donor = entryOf(span, event.from);
  const receiver = entryOf(span, event.to);
  if (donor === undefined || receiver === undefined || donor === receiver)
    return refused("not in the span");
  if (!Number.isInteger(event.amount) || event.amount <= 0) return refused("not a positive amount");
  if (donor.share - event.amount < event.used) return refused("in use");
  const entries = span.entries.map((entry) => {
    if (entry === donor) return { ...entry, share: share(entry.share - event.amount) };
    if (entry === receiver) return { ...entry, share: share(entry.share + event.amount) };
    return entry;
  });
  return accepted(span, entries);
};

const applyJoin = (span: Span, shard: ShardId): StepResult => {
  const entry = entryOf(span, shard);
  if (entry === undefined) return acceptedWithNewEntry(span, shard, "active");
  if (entry.state === "active") return refused("in the span already");
  return acceptedWithEntryChange(span, shard, { state: "active" });
};

const applyAdopt = (span: Span, shard: ShardId): StepResult =>
  entryOf(span, shard) === undefined
    ? acceptedWithNewEntry(span, shard, "draining")
    : refused("in the span already");

const applyDrain = (span: Span, shard: ShardId): StepResult => {
  if (shard === span.home) return refused("home shard");
  if (entryOf(span, shard)?.state !== "active") return refused("not in the span");
  return acceptedWithEntryChange(span, shard, { state: "draining", weight: share(0) });
};

const applyLeave = (span: Span, shard: ShardId): StepResult => {
  if (shard === span.home) return refused("home shard");
  const entry = entryOf(span, shard);
  if (entry?.state !== "draining") return refused("not in the span");
  if (entry.share > 0) return refused("holds a share");
  return accepted(
    span,
    span.entries.filter((other) => other !== entry),
  );
};

/** Applies an event to a span, or returns why the event was refused. */
export const stepSpan = (span: Span, event: SpanEvent): StepResult => {
  switch (event.kind) {
    case "join":
      return applyJoin(span, event.shard);
    case "adopt":
      return applyAdopt(span, event.shard);
    case "drain":
      return applyDrain(span, event.shard);
    case "leave":
      return applyLeave(span, event.shard);
    case "plan":
      return applyPlan(span, event.plan);
    case "transfer":
      return applyTransfer(span, event);
  }
};
