import assert from "node:assert/strict";
import test from "node:test";
import {
  type CancellationAction,
  type CancellationView,
  decideCancellationAction,
} from "../../../src/coordination/cancellation/cancellations.js";

const steps: readonly (readonly [string, Partial<CancellationView>, CancellationAction])[] = [
  ["gone is gone, however late", { gone: true, ageMs: 60_000 }, "none"],
  ["at first it is told to stop", {}, "stop"],
  ["then its machine is to be returned", { ageMs: 19_000 }, "decommission"],
  ["at once where nothing can be written", { ageMs: 19_000, failing: true }, "force_return"],
  ["a leader that doesn't get to it is not waited for", { ageMs: 31_000 }, "force_return"],
  ["one taken over just now may show itself", { ageMs: 31_000, unshownMs: 500 }, "stop"],
  ["not for long", { ageMs: 31_000, unshownMs: 5000 }, "force_return"],
  ["and not when time runs out", { ageMs: 42_000, unshownMs: 500 }, "force_return"],
  ["what is past its time already isn't hurried", { ageMs: 90_000, unshownMs: 500 }, "stop"],
];
test("what an open attempt of a cancelled job calls for", () => {
  const view = { gone: false, ageMs: 500, cancelMs: 46_000, failing: false, unshownMs: null };
  for (const [name, v, step] of steps)
    assert.equal(decideCancellationAction({ ...view, ...v }), step, name);
});
