/** The state machine of direct calls: one in flight, and another after it if it was requested. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import {
  type DirectCallEvent,
  type DirectCallPhase,
  DirectCallState,
  stepDirectCall,
} from "../../../src/coordination/ownership/direct-call-state.js";

const transitions: readonly (readonly [DirectCallPhase, DirectCallEvent, DirectCallPhase])[] = [
  ["idle", "requested", "in_flight"],
  ["in_flight", "requested", "in_flight_repeat_due"],
  ["in_flight_repeat_due", "requested", "in_flight_repeat_due"],
  ["repeat_due", "requested", "in_flight_repeat_due"],
  ["idle", "repeat_requested", "repeat_due"],
  ["in_flight", "repeat_requested", "in_flight_repeat_due"],
  ["in_flight_repeat_due", "repeat_requested", "in_flight_repeat_due"],
  ["repeat_due", "repeat_requested", "repeat_due"],
  ["idle", "ended", "idle"],
  ["in_flight", "ended", "idle"],
  ["in_flight_repeat_due", "ended", "idle"],
  ["repeat_due", "ended", "idle"],
];

for (const [from, event, to] of transitions)
  test(`direct call: ${from} goes to ${to} on ${event}`, () => {
    assert.equal(stepDirectCall(from, event), to);
  });

test("direct call: a call requested while one is in flight is not queued, but follows it", () => {
  const call = new DirectCallState();
  assert.equal(call.requestCall(monotonicMs(10)), true);
  assert.equal(call.requestCall(monotonicMs(20)), false);
  assert.equal(call.lastCallAt, 10, "only a queued call sets the time");
  assert.equal(call.end(), true);
  assert.equal(call.phase, "idle");
});

test("direct call: no call follows one during which none was requested", () => {
  const call = new DirectCallState();
  call.requestCall(monotonicMs(10));
  call.markSent(monotonicMs(15));
  assert.equal(call.lastCallAt, 15);
  assert.equal(call.end(), false);
});

test("direct call: a call that ends after its soft state was replaced can request a repeat", () => {
  const call = new DirectCallState();
  call.requestRepeat();
  assert.equal(call.requestCall(monotonicMs(5)), true, "the next request is queued at once");
  assert.equal(call.end(), true);
});
