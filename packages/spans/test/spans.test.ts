/** The invariants of spans under random events, and the rejection of invalid records and events. */
import assert from "node:assert/strict";
import test from "node:test";
import { type ShardId, shardId } from "@umberfold/ids";
import {
  encodeSpan,
  FULL_SHARE,
  homeSpan,
  parseSpan,
  type Span,
  type SpanEvent,
  share,
  shareOf,
  stepSpan,
  sumOfShares,
} from "@umberfold/spans";
import fc from "fast-check";

const SEED = 20261202;
const SHARDS = 5;
const HOME = shardId(0);

const shards = fc.integer({ min: 0, max: SHARDS - 1 }).map(shardId);
const shareAmounts = fc.integer({ min: -10, max: FULL_SHARE + 10 }).map(share);

const events: fc.Arbitrary<SpanEvent> = fc.oneof(
  ...(["join", "adopt", "drain", "leave"] as const).map((kind) =>
    fc.record({ kind: fc.constant(kind), shard: shards }),
  ),
  fc.record({
    kind: fc.constant("plan" as const),
    plan: fc
      .array(fc.tuple(shards, fc.record({ target: shareAmounts, weight: shareAmounts })), {
        maxLength: SHARDS,
      })
      .map((rows) => new Map(rows)),
  }),
  fc.record({
    kind: fc.constant("transfer" as const),
    from: shards,
    to: shards,
    amount: shareAmounts,
    used: shareAmounts.map((amount) => share(Math.max(0, amount))),
  }),
);

const checkInvariants = (span: Span): void => {
  assert.equal(sumOfShares(span.entries.map((e) => e.share)), FULL_SHARE);
  assert.ok(sumOfShares(span.entries.map((e) => e.target)) <= FULL_SHARE);
  assert.equal(new Set(span.entries.map((e) => e.shard)).size, span.entries.length);
  assert.equal(span.entries.find((e) => e.shard === span.home)?.state, "active");
  for (const entry of span.entries) assert.ok(Number.isInteger(entry.share) && entry.share >= 0);
};

test("no sequence of events violates an invariant, and stored spans are read back equal", () => {
  fc.assert(
    fc.property(fc.array(events, { maxLength: 60 }), (list) => {
      let span = homeSpan(HOME);
      for (const event of list) {
        const stepped = stepSpan(span, event);
        if (stepped.ok) span = stepped.span;
        checkInvariants(span);
        assert.deepEqual(parseSpan(JSON.parse(JSON.stringify(encodeSpan(span))), SHARDS), span);
      }
    }),
    { seed: SEED, numRuns: 400 },
  );
});

test("only a transfer lowers a share, and never below the used share", () => {
  fc.assert(
    fc.property(fc.array(events, { maxLength: 60 }), (list) => {
      let span = homeSpan(HOME);
      for (const event of list) {
        const stepped = stepSpan(span, event);
        if (!stepped.ok) continue;
        for (const entry of span.entries) {
          const after = shareOf(stepped.span, entry.shard);
          if (after >= entry.share) continue;
          assert.ok(event.kind === "transfer" && event.from === entry.shard);
          assert.ok(after >= event.used);
        }
        span = stepped.span;
      }
    }),
    { seed: SEED, numRuns: 400 },
  );
});

/** A record as in the state store: a write fails unless it names the record's current revision. */
class StoredSpan {
  span = homeSpan(HOME);
  rev = 1;

  write(rev: number, span: Span): boolean {
    if (rev !== this.rev) return false;
    this.span = span;
    this.rev++;
    return true;
  }
}

const OWNER_STEPS = ["start", "end", "transfer", "sync"] as const;
type Step =
  | { readonly kind: (typeof OWNER_STEPS)[number]; readonly shard: ShardId }
  | { readonly kind: "leader_write"; readonly event: SpanEvent }
  | { readonly kind: "delayed_write"; readonly index: number };

const steps: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom(...OWNER_STEPS), shard: shards }),
  fc.record({
    kind: fc.constant("leader_write" as const),
    event: events.filter((e) => e.kind !== "transfer"),
  }),
  fc.record({ kind: fc.constant("delayed_write" as const), index: fc.nat(50) }),
);

const MAX_OPEN_ATTEMPTS = 20;

/**
 * Owners that see other writes of the record with a delay, and writes that are applied late or
 * twice.
 */
class SpanModel {
  readonly #stored = new StoredSpan();
  readonly #open = new Map<ShardId, number>();
  readonly #seen = new Map<ShardId, { readonly span: Span; readonly rev: number }>();
  readonly #writes: { readonly rev: number; readonly span: Span }[] = [];

  get totalOpen(): number {
    return [...this.#open.values()].reduce((sum, n) => sum + n, 0);
  }

  apply(step: Step): void {
    if (step.kind === "leader_write") this.#leaderWrite(step.event);
    else if (step.kind === "delayed_write") this.#applyDelayedWrite(step.index);
    else if (step.kind === "sync") this.#sync(step.shard);
    else if (step.kind === "start") this.#start(step.shard);
    else if (step.kind === "end")
      this.#open.set(step.shard, Math.max(0, this.#openIn(step.shard) - 1));
    else this.#transfer(step.shard);
  }

  #openIn(shard: ShardId): number {
    return this.#open.get(shard) ?? 0;
  }

  #viewOf(shard: ShardId): { readonly span: Span; readonly rev: number } {
    return this.#seen.get(shard) ?? { span: homeSpan(HOME), rev: 1 };
  }

  #sync(shard: ShardId): void {
    this.#seen.set(shard, { span: this.#stored.span, rev: this.#stored.rev });
  }

  #start(shard: ShardId): void {
    const maxOpen = (MAX_OPEN_ATTEMPTS * shareOf(this.#viewOf(shard).span, shard)) / FULL_SHARE;
    const next = this.#openIn(shard) + 1;
    if (next <= maxOpen + 1e-6) this.#open.set(shard, next);
  }

  #transfer(shard: ShardId): void {
    const view = this.#viewOf(shard);
    const used = share(Math.ceil((this.#openIn(shard) / MAX_OPEN_ATTEMPTS) * FULL_SHARE));
    const to = view.span.entries.find((entry) => entry.shard !== shard)?.shard;
    const amount = share(shareOf(view.span, shard) - used);
    if (to === undefined) return;
    const stepped = stepSpan(view.span, { kind: "transfer", from: shard, to, amount, used });
    if (!stepped.ok) return;
    this.#writes.push({ rev: view.rev, span: stepped.span });
    // An owner makes no further decision until it knows the result of its write.
    if (this.#stored.write(view.rev, stepped.span)) this.#sync(shard);
  }

  #leaderWrite(event: SpanEvent): void {
    const stepped = stepSpan(this.#stored.span, event);
    if (!stepped.ok) return;
    this.#writes.push({ rev: this.#stored.rev, span: stepped.span });
    this.#stored.write(this.#stored.rev, stepped.span);
  }

  #applyDelayedWrite(index: number): void {
    const delayed = this.#writes[index];
    if (delayed !== undefined) this.#stored.write(delayed.rev, delayed.span);
  }
}

test("the open attempts of all shards together never exceed the limit", () => {
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 200 }), (list) => {
      const model = new SpanModel();
      for (const step of list) {
        model.apply(step);
        assert.ok(model.totalOpen <= MAX_OPEN_ATTEMPTS, `${model.totalOpen} open`);
      }
    }),
    { seed: SEED, numRuns: 1500 },
  );
});

const valid = encodeSpan(homeSpan(HOME)) as { f: number; h: number; e: unknown[] };
const invalid: readonly (readonly [string, unknown])[] = [
  ["undefined", undefined],
  ["a string", "span"],
  ["another version", { ...valid, f: 2 }],
  ["a home shard beyond the shard count", { ...valid, h: SHARDS }],
  ["no entry of the home shard", { ...valid, e: [[1, 0, FULL_SHARE, FULL_SHARE, 0]] }],
  ["a draining home shard", { ...valid, e: [[0, 1, FULL_SHARE, FULL_SHARE, 0]] }],
  ["a shard with two entries", { ...valid, e: [...valid.e, ...valid.e] }],
  ["a shard beyond the shard count", { ...valid, e: [...valid.e, [SHARDS, 0, 0, 0, 0]] }],
  ["shares beyond a full share", { ...valid, e: [...valid.e, [1, 0, 1, 0, 0]] }],
  ["targets beyond a full share", { ...valid, e: [...valid.e, [1, 0, 0, 1, 0]] }],
  ["a negative share", { ...valid, e: [...valid.e, [1, 0, -1, 0, 0]] }],
  ["a fractional share", { ...valid, e: [...valid.e, [1, 0, 0.5, 0, 0]] }],
  ["a share that is a string", { ...valid, e: [...valid.e, [1, 0, "1", 0, 0]] }],
  ["a weight beyond a full share", { ...valid, e: [...valid.e, [1, 0, 0, 0, FULL_SHARE + 1]] }],
  ["an unknown state", { ...valid, e: [...valid.e, [1, 2, 0, 0, 0]] }],
  ["a short entry", { ...valid, e: [...valid.e, [1]] }],
];
for (const [name, value] of invalid)
  test(`a record is rejected: ${name}`, () => {
    assert.equal(parseSpan(value, SHARDS), undefined);
  });

const refusals: readonly (readonly [string, SpanEvent, string])[] = [
  ["joining an active shard", { kind: "join", shard: HOME }, "in the span already"],
  ["adopting a shard in the span", { kind: "adopt", shard: HOME }, "in the span already"],
  ["draining the home shard", { kind: "drain", shard: HOME }, "home shard"],
  ["removing the home shard", { kind: "leave", shard: HOME }, "home shard"],
  ["draining a shard outside the span", { kind: "drain", shard: shardId(3) }, "not in the span"],
  [
    "a plan for a shard outside the span",
    { kind: "plan", plan: new Map([[shardId(3), { target: share(1), weight: share(0) }]]) },
    "not in the span",
  ],
  [
    "a transfer to a shard outside the span",
    { kind: "transfer", from: HOME, to: shardId(3), amount: share(1), used: share(0) },
    "not in the span",
  ],
  [
    "a transfer of a share in use",
    {
      kind: "transfer",
      from: HOME,
      to: shardId(1),
      amount: share(0.6 * FULL_SHARE),
      used: share(0.5 * FULL_SHARE),
    },
    "in use",
  ],
];
for (const [name, event, refusal] of refusals)
  test(`an event is refused: ${name}`, () => {
    const joined = stepSpan(homeSpan(HOME), { kind: "join", shard: shardId(1) });
    assert.ok(joined.ok);
    assert.deepEqual(stepSpan(joined.span, event), { ok: false, refusal });
  });

test("a shard leaves only if it is draining and has no share", () => {
  const one = shardId(1);
  const joined = stepSpan(homeSpan(HOME), { kind: "join", shard: one });
  assert.ok(joined.ok);
  const amount = share(100);
  const given = stepSpan(joined.span, {
    kind: "transfer",
    from: HOME,
    to: one,
    amount,
    used: share(0),
  });
  assert.ok(given.ok);
  const drained = stepSpan(given.span, { kind: "drain", shard: one });
  assert.ok(drained.ok);
  const early = stepSpan(drained.span, { kind: "leave", shard: one });
  assert.deepEqual(early, { ok: false, refusal: "holds a share" });
  const back = stepSpan(drained.span, {
    kind: "transfer",
    from: one,
    to: HOME,
    amount,
    used: share(0),
  });
  assert.ok(back.ok);
  const left = stepSpan(back.span, { kind: "leave", shard: one });
  assert.ok(left.ok);
  assert.deepEqual(
    left.span.entries.map((e) => e.shard),
    [HOME],
  );
});
