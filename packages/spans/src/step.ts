import type { ShardId } from "@umberfold/ids";
import { type Share, type Span, type SpanEntry, share, sumOfShares, WHOLE } from "./span.js";

export type SpanEvent =
  /** New jobs may be placed in the shard: one more, or one that was draining. */
  | { readonly kind: "join"; readonly shard: ShardId }
  /** The shard has jobs of the team though it is not in the span. */
  | { readonly kind: "adopt"; readonly shard: ShardId }
  /** No new jobs are to be placed in the shard. */
  | { readonly kind: "drain"; readonly shard: ShardId }
  /** The shard has no job of the team left. */
  | { readonly kind: "leave"; readonly shard: ShardId }
  /** What the leader would have the shares be, and where new jobs are to go. */
  | { readonly kind: "plan"; readonly plan: ReadonlyMap<ShardId, PlannedShare> }
  /** A giver's owner hands part of its share on; `used` is what its open attempts take. */
  | {
      readonly kind: "transfer";
      readonly from: ShardId;
      readonly to: ShardId;
      readonly amount: Share;
      readonly used: Share;
    };

export interface PlannedShare {
  readonly target: Share;
  readonly weight: Share;
}

/** Why an event changes nothing. */
export type Refusal =
  | "in the span already"
  | "not in the span"
  | "home shard"
  | "holds a share"
  | "more than the whole"
  | "not a positive amount"
  | "in use";

export type Stepped =
  | { readonly ok: true; readonly span: Span }
  | { readonly ok: false; readonly refusal: Refusal };

const refused = (refusal: Refusal): Stepped => ({ ok: false, refusal });

const withEntry = (span: Span, shard: ShardId, change: Partial<SpanEntry>): Stepped => ({
  ok: true,
  span: {
    home: span.home,
    entries: span.entries.map((e) => (e.shard === shard ? { ...e, ...change } : e)),
  },
});

const withNewEntry = (span: Span, shard: ShardId, state: SpanEntry["state"]): Stepped => ({
  ok: true,
  span: {
    home: span.home,
    entries: [
      ...span.entries,
      { shard, state, share: share(0), target: share(0), weight: share(0) },
    ],
  },
});

const isPart = (n: number): boolean => Number.isInteger(n) && n >= 0 && n <= WHOLE;

const plan = (span: Span, planned: ReadonlyMap<ShardId, PlannedShare>): Stepped => {
  for (const [shard, { target, weight }] of planned) {
    if (!span.entries.some((e) => e.shard === shard)) return refused("not in the span");
    if (!isPart(target) || !isPart(weight)) return refused("not a positive amount");
  }
  const entries = span.entries.map((e) => ({ ...e, ...planned.get(e.shard) }));
  if (sumOfShares(entries.map((e) => e.target)) > WHOLE) return refused("more than the whole");
  return { ok: true, span: { home: span.home, entries } };
};

const transfer = (span: Span, event: Extract<SpanEvent, { kind: "transfer" }>): Stepped => {
  const giver = span.entries.find((e) => e.shard === event.from);
  const receiver = span.entries.find((e) => e.shard === event.to);
  if (giver === undefined || receiver === undefined || giver === receiver)
    return refused("not in the span");
  if (!Number.isInteger(event.amount) || event.amount <= 0) return refused("not a positive amount");
  if (giver.share - event.amount < event.used) return refused("in use");
  const entries = span.entries.map((e) => {
    if (e === giver) return { ...e, share: share(e.share - event.amount) };
    if (e === receiver) return { ...e, share: share(e.share + event.amount) };
    return e;
  });
  return { ok: true, span: { home: span.home, entries } };
};

/** The one place where a span changes. A refused event leaves it as it is. */
export const stepSpan = (span: Span, event: SpanEvent): Stepped => {
  if (event.kind === "plan") return plan(span, event.plan);
  if (event.kind === "transfer") return transfer(span, event);
  const entry = span.entries.find((e) => e.shard === event.shard);
  switch (event.kind) {
    case "join":
      if (entry === undefined) return withNewEntry(span, event.shard, "active");
      if (entry.state === "active") return refused("in the span already");
      return withEntry(span, event.shard, { state: "active" });
    case "adopt":
      if (entry !== undefined) return refused("in the span already");
      return withNewEntry(span, event.shard, "draining");
    case "drain":
      if (event.shard === span.home) return refused("home shard");
      if (entry?.state !== "active") return refused("not in the span");
      return withEntry(span, event.shard, { state: "draining", weight: share(0) });
    case "leave":
      if (event.shard === span.home) return refused("home shard");
      if (entry?.state !== "draining") return refused("not in the span");
      if (entry.share > 0) return refused("holds a share");
      return {
        ok: true,
        span: { home: span.home, entries: span.entries.filter((e) => e !== entry) },
      };
  }
};
