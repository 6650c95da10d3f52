/** Which gaps between calls the pause detector reports as process pauses. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { PauseDetector } from "../../../src/coordination/membership/pause-detector.js";

const MAX_GAP_MS = 2000;

test("a gap between consecutive calls longer than the maximum is a pause, reported once", () => {
  const detector = new PauseDetector(monotonicMs(0), MAX_GAP_MS);
  assert.equal(detector.detect(monotonicMs(1900)), 0);
  assert.equal(detector.detect(monotonicMs(3800)), 0);
  assert.equal(detector.detect(monotonicMs(31_000)), 27_200);
  assert.equal(detector.detect(monotonicMs(31_001)), 0);
});
