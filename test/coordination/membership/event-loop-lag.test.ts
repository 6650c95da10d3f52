/** Up to which time received messages can be assumed to have been read, given event-loop lag. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { EventLoopLag } from "../../../src/coordination/membership/event-loop-lag.js";

/** How late a timer ran, and when it ran. */
type LateTimer = readonly [lateMs: number, at: number];

/**
 * Late timers, and up to which time messages can be assumed to have been read at `now`. Guards
 * against a controller short of processor time that left heartbeats unread for seconds and declared
 * the machines that had sent them failed.
 */
const cases: readonly (readonly [
  name: string,
  lateTimers: readonly LateTimer[],
  now: number,
  readUpTo: number,
])[] = [
  ["without lag, everything sent until now has been read", [], 10_000, 10_000],
  ["a lag observed just now counts in full", [[300, 10_000]], 10_000, 8800],
  ["a lag observed one half-life ago counts half", [[300, 8000]], 10_000, 9400],
  [
    "the largest of several lags counts",
    [
      [300, 10_000],
      [50, 10_000],
    ],
    10_000,
    8800,
  ],
  ["a timer that ran early counts as no lag", [[-5, 10_000]], 10_000, 10_000],
  // Process pauses are handled by the pause detector; a few seconds after one, silence of machines
  // must count again.
  ["a process pause counts as the maximum lag", [[30_000, 10_000]], 10_000, 2000],
];

for (const [name, lateTimers, now, readUpTo] of cases)
  test(`event-loop lag: ${name}`, () => {
    const lag = new EventLoopLag();
    for (const [lateMs, at] of lateTimers) lag.observe(lateMs, monotonicMs(at));
    assert.equal(Math.round(lag.readUpTo(monotonicMs(now))), readUpTo);
  });
