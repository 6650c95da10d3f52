/** What counts as a process pause. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { PauseDetector } from "../../../src/coordination/membership/pause-detector.js";

const MAX_GAP_MS = 2000;

test("a pause is a gap between two calls, however often others call", () => {
  const pauses = new PauseDetector(monotonicMs(0), MAX_GAP_MS);
  assert.equal(pauses.detect(monotonicMs(1900)), 0);
  assert.equal(pauses.detect(monotonicMs(3800)), 0);
  assert.equal(pauses.detect(monotonicMs(31_000)), 27_200);
  assert.equal(pauses.detect(monotonicMs(31_001)), 0);
});
