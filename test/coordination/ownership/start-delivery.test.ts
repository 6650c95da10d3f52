/** Whether start commands may be in flight. */
import assert from "node:assert/strict";
import test from "node:test";
import { isStartSettled } from "../../../src/coordination/ownership/start-delivery.js";
import { KEY, sessionAfter } from "./session-events.js";

test("start delivery: an attempt of which no start was ever sent is settled", () => {
  assert.equal(isStartSettled(sessionAfter(10, []), KEY), true);
});
