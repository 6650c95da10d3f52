/** Whether the start command of an attempt may still be in flight. */
import assert from "node:assert/strict";
import test from "node:test";
import { isStartExcluded } from "../../../src/coordination/ownership/start-delivery.js";
import { KEY, sessionAfter } from "./session-events.js";

test("start delivery: an attempt whose start was never sent is excluded", () => {
  assert.equal(isStartExcluded(sessionAfter(10, []), KEY), true);
});
