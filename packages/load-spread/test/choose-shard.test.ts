/** `chooseShard`: the shard in which a new job is placed. */
import assert from "node:assert/strict";
import test from "node:test";
import { jobId } from "@umberfold/ids";
import { chooseShard } from "@umberfold/load-spread";
import { stepSpan } from "@umberfold/spans";
import { HOME, OTHER, plan, spanOf, THIRD } from "./fixtures.js";

test("jobs are divided by weight, and a joining shard moves none between the others", () => {
  const two = stepSpan(spanOf(OTHER), {
    kind: "plan",
    plan: new Map([plan(HOME, 0, 500_000), plan(OTHER, 0, 500_000)]),
  });
  assert.ok(two.ok);
  const ids = Array.from({ length: 4000 }, (_, i) => jobId(`wk-${i}`));
  const inOther = ids.filter((id) => chooseShard(two.span, id) === OTHER).length;
  assert.ok(inOther > 1800 && inOther < 2200, `${inOther} of 4000`);
  const joined = stepSpan(two.span, { kind: "join", shard: THIRD });
  assert.ok(joined.ok);
  const three = stepSpan(joined.span, {
    kind: "plan",
    plan: new Map([plan(HOME, 0, 400_000), plan(OTHER, 0, 400_000), plan(THIRD, 0, 200_000)]),
  });
  assert.ok(three.ok);
  const moved = ids.filter((id) => {
    const chosen = chooseShard(three.span, id);
    return chosen !== THIRD && chosen !== chooseShard(two.span, id);
  });
  assert.equal(moved.length, 0);
  const drained = stepSpan(three.span, { kind: "drain", shard: OTHER });
  assert.ok(drained.ok);
  assert.ok(ids.every((id) => chooseShard(drained.span, id) !== OTHER));
});
