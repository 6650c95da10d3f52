/** The slack and the work windows that follow from objectives. */
import assert from "node:assert/strict";
import test from "node:test";
import { slackS, startSlackS, targetsOf, workWindowS } from "../../src/scheduling/objectives.js";
import { OBJECTIVES } from "./fixtures.js";

test("slack is the time until the next target that can still be met", () => {
  const fast = targetsOf({ jobClass: "fast", deadlineS: 60 }, OBJECTIVES, false);
  assert.equal(slackS(fast, 2, 20), 6);
  assert.equal(slackS(fast, 9, 20), 31);
  assert.equal(slackS(fast, 50, 20), Number.POSITIVE_INFINITY);
  assert.equal(slackS(targetsOf({ jobClass: "x", deadlineS: null }, OBJECTIVES, true), 1, 5), 9);
});

test("start slack is the time until the next start target and ignores the deadline", () => {
  const fast = targetsOf({ jobClass: "fast", deadlineS: 20 }, OBJECTIVES, false);
  assert.equal(startSlackS(fast, 5), 3);
});

test("the window for a job's work shrinks as the job ages, until all targets are missed", () => {
  const slow = targetsOf({ jobClass: "slow", deadlineS: null }, OBJECTIVES, false);
  assert.equal(workWindowS(slow, 0, 50, 0.5), 100);
  assert.equal(workWindowS(slow, 100, 50, 0.5), 50);
  assert.equal(workWindowS(slow, 200, 50, 0.5), 1);
  // All targets are missed, so the window is that of a new job of the class.
  assert.equal(workWindowS(slow, 240, 50, 0.5), 100);
});
