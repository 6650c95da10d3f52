/** `decideCancellationAction`: what an open attempt of a cancelled job calls for, over the time. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  type CancellationAction,
  type CancellationView,
  decideCancellationAction,
} from "../../../src/coordination/cancellation/cancellation-action.js";

const CANCEL_MS = 46_000;
const VIEW: CancellationView = {
  provedGone: false,
  ageMs: 500,
  cancelMs: CANCEL_MS,
  storeFailing: false,
  awaitingStatusMs: null,
};

const cases: readonly (readonly [string, Partial<CancellationView>, CancellationAction])[] = [
  ["proved gone, however late: nothing", { provedGone: true, ageMs: 60_000 }, "none"],
  ["at first: stop commands", {}, "stop"],
  ["then: its machine is decommissioned", { ageMs: 19_000 }, "decommission"],
  ["store failing: force-returned at once", { ageMs: 19_000, storeFailing: true }, "force_return"],
  ["a leader that doesn't get to it is not waited for", { ageMs: 31_000 }, "force_return"],
  [
    "ownership is new: its first status is awaited",
    { ageMs: 31_000, awaitingStatusMs: 500 },
    "stop",
  ],
  ["but not for long", { ageMs: 31_000, awaitingStatusMs: 5000 }, "force_return"],
  ["nor when time runs out", { ageMs: 42_000, awaitingStatusMs: 500 }, "force_return"],
  [
    "past its time already: its first status is awaited",
    { ageMs: 90_000, awaitingStatusMs: 500 },
    "stop",
  ],
];
for (const [name, view, expected] of cases)
  test(`an open attempt of a cancelled job: ${name}`, () =>
    assert.equal(decideCancellationAction({ ...VIEW, ...view }), expected));

/** The stages begin where they are documented: one millisecond before, the one before holds. */
const boundaries: readonly (readonly [number, CancellationAction, CancellationAction])[] = [
  [0.4, "stop", "decommission"],
  [0.65, "decommission", "force_return"],
];
for (const [fraction, before, from] of boundaries)
  test(`at ${fraction} of the time ${before} turns into ${from}`, () => {
    const startMs = CANCEL_MS * fraction;
    const actionAt = (ageMs: number) => decideCancellationAction({ ...VIEW, ageMs });
    assert.deepEqual([actionAt(startMs - 1), actionAt(startMs)], [before, from]);
  });

/** Haste passes over a first status only in the last part of the time. */
const waits: readonly (readonly [number, CancellationAction, CancellationAction])[] = [
  [0.85, "stop", "force_return"],
  [1, "force_return", "stop"],
];
for (const [fraction, before, from] of waits)
  test(`without a first status ${before} turns into ${from} at ${fraction} of the time`, () => {
    const startMs = CANCEL_MS * fraction;
    const actionAt = (ageMs: number) =>
      decideCancellationAction({ ...VIEW, ageMs, awaitingStatusMs: 0 });
    assert.deepEqual([actionAt(startMs - 1), actionAt(startMs)], [before, from]);
  });
