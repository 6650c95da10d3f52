/** `decideCancellationAction`: the action for an open attempt as its cancellation gets older. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  type CancellationAction,
  type CancelledAttemptView,
  decideCancellationAction,
} from "../../../src/coordination/cancellation/cancellation-action.js";

const CANCEL_MS = 46_000;
const VIEW: CancelledAttemptView = {
  isProvedGone: false,
  ageMs: 500,
  cancelMs: CANCEL_MS,
  isStoreFailing: false,
  firstStatusWaitMs: null,
};

const cases: readonly (readonly [string, Partial<CancelledAttemptView>, CancellationAction])[] = [
  [
    "proved gone, even after the deadline: no action",
    { isProvedGone: true, ageMs: 60_000 },
    "none",
  ],
  ["at first: only stop commands", {}, "stop"],
  ["after 0.4 of cancel_s: its machine is decommissioned", { ageMs: 19_000 }, "decommission"],
  [
    "after 0.4 of cancel_s, store failing: its machine is force-returned",
    { ageMs: 19_000, isStoreFailing: true },
    "force_return",
  ],
  [
    "after 0.65 of cancel_s: its machine is force-returned without the leader",
    { ageMs: 31_000 },
    "force_return",
  ],
  [
    "under a new owner: only stop commands before the first status",
    { ageMs: 31_000, firstStatusWaitMs: 500 },
    "stop",
  ],
  [
    "under a new owner, first status timed out: its machine is force-returned",
    { ageMs: 31_000, firstStatusWaitMs: 5000 },
    "force_return",
  ],
  [
    "under a new owner, near the deadline: the first status is not waited for",
    { ageMs: 42_000, firstStatusWaitMs: 500 },
    "force_return",
  ],
  [
    "under a new owner, after the deadline: the first status is waited for",
    { ageMs: 90_000, firstStatusWaitMs: 500 },
    "stop",
  ],
];
for (const [name, view, expected] of cases)
  test(`an open attempt of a cancelled job: ${name}`, () =>
    assert.equal(decideCancellationAction({ ...VIEW, ...view }), expected));

/** Each stage begins exactly at its documented fraction: one millisecond earlier is too early. */
const boundaries: readonly (readonly [number, CancellationAction, CancellationAction])[] = [
  [0.4, "stop", "decommission"],
  [0.65, "decommission", "force_return"],
];
for (const [fraction, before, from] of boundaries)
  test(`at ${fraction} of cancel_s the action changes from ${before} to ${from}`, () => {
    const startMs = CANCEL_MS * fraction;
    const actionAt = (ageMs: number) => decideCancellationAction({ ...VIEW, ageMs });
    assert.deepEqual([actionAt(startMs - 1), actionAt(startMs)], [before, from]);
  });

/** A missing first status is ignored only between 0.85 of `cancel_s` and the deadline. */
const firstStatusBoundaries: readonly (readonly [
  number,
  CancellationAction,
  CancellationAction,
])[] = [
  [0.85, "stop", "force_return"],
  [1, "force_return", "stop"],
];
for (const [fraction, before, from] of firstStatusBoundaries)
  test(`without a first status, at ${fraction} of cancel_s ${before} changes to ${from}`, () => {
    const startMs = CANCEL_MS * fraction;
    const actionAt = (ageMs: number) =>
      decideCancellationAction({ ...VIEW, ageMs, firstStatusWaitMs: 0 });
    assert.deepEqual([actionAt(startMs - 1), actionAt(startMs)], [before, from]);
  });
