/** What event-loop lag says of what must have been read by now. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { EventLoopLag } from "../../../src/coordination/membership/event-loop-lag.js";

/** How late a timer ran, and when it did. */
type LateTimer = readonly [lateMs: number, at: number];

/**
 * A controller short of processor time found heartbeats unread for seconds, and gave up the
 * machines that had sent them. Late timers, and what must have been read a while later.
 */
const cases: readonly (readonly [
  name: string,
  lateTimers: readonly LateTimer[],
  now: number,
  readUpTo: number,
])[] = [
  ["without lag, all is read", [], 10_000, 10_000],
  ["a timer just now counts in full", [[300, 10_000]], 10_000, 8800],
  ["an older lag has decayed by half", [[300, 8000]], 10_000, 9400],
  [
    "the largest lag counts",
    [
      [300, 10_000],
      [50, 10_000],
    ],
    10_000,
    8800,
  ],
  ["early timers prove nothing", [[-5, 10_000]], 10_000, 10_000],
  // That is for the pause detector; seconds later silence must count again.
  ["a process pause counts no longer than the longest lag", [[30_000, 10_000]], 10_000, 2000],
];

for (const [name, lateTimers, now, readUpTo] of cases)
  test(`event-loop lag: ${name}`, () => {
    const lag = new EventLoopLag();
    for (const [lateMs, at] of lateTimers) lag.observe(lateMs, monotonicMs(at));
    assert.equal(Math.round(lag.readUpTo(monotonicMs(now))), readUpTo);
  });
