/** `nextTransfer`: how much an owner transfers, and to which shard. */
import assert from "node:assert/strict";
import test from "node:test";
import { nextTransfer } from "@umberfold/load-spread";
import { FULL_SHARE, share, stepSpan } from "@umberfold/spans";
import { HOME, millionths, OTHER, plan, spanOf, THIRD } from "./fixtures.js";

test("an owner transfers its unused surplus to the shard with the largest deficit", () => {
  const stepped = stepSpan(spanOf(OTHER, THIRD), {
    kind: "plan",
    plan: new Map([plan(HOME, 300_000, 0), plan(OTHER, 600_000, 0), plan(THIRD, 100_000, 0)]),
  });
  assert.ok(stepped.ok);
  const event = nextTransfer({ span: stepped.span, from: HOME, usedShare: millionths(500_000) });
  assert.deepEqual(event, {
    kind: "transfer",
    from: HOME,
    to: OTHER,
    amount: millionths(500_000),
    used: millionths(500_000),
  });
  assert.equal(nextTransfer({ span: stepped.span, from: OTHER, usedShare: share(0) }), undefined);
  assert.equal(nextTransfer({ span: stepped.span, from: HOME, usedShare: FULL_SHARE }), undefined);
});
