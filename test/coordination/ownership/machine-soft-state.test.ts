/** The parts of a machine's soft state that are not state machines. */
import assert from "node:assert/strict";
import test from "node:test";
import { jobId, monotonicMs } from "@umberfold/ids";
import { ImageCache } from "../../../src/coordination/ownership/image-cache.js";
import { MachineFaults } from "../../../src/coordination/ownership/machine-faults.js";
import { MachineHealth } from "../../../src/coordination/ownership/machine-health.js";

test("image cache: the least recently used image is evicted when the cache is full", () => {
  const images = new ImageCache();
  images.recordUse("old", 4, 10);
  images.recordUse("kept", 4, 10);
  images.recordUse("old", 4, 10);
  images.recordUse("new", 4, 10);
  assert.deepEqual(
    ["old", "kept", "new"].map((image) => images.has(image)),
    [true, false, true],
  );
});

test("image cache: an image larger than the cache evicts all others and stays", () => {
  const images = new ImageCache();
  images.recordUse("small", 1, 10);
  images.recordUse("large", 20, 10);
  assert.equal(images.has("small"), false);
  assert.equal(images.has("large"), true);
});

test("machine faults: quarantine is due after two jobs failed, not after one failed twice", () => {
  const faults = new MachineFaults();
  faults.recordFailure(jobId("wk-1"), false);
  faults.recordFailure(jobId("wk-1"), false);
  assert.equal(faults.isQuarantineDue, false);
  faults.recordFailure(jobId("wk-2"), false);
  assert.equal(faults.isQuarantineDue, true);
  assert.equal(faults.failureCount, 3);
});

test("machine faults: failures of a job that is at fault don't count towards quarantine", () => {
  const faults = new MachineFaults();
  faults.recordFailure(jobId("wk-1"), false);
  faults.recordFailure(jobId("wk-2"), true);
  assert.equal(faults.isQuarantineDue, false);
});

test("machine faults: a completion clears earlier failures", () => {
  const faults = new MachineFaults();
  faults.recordFailure(jobId("wk-1"), false);
  faults.recordCompletion();
  faults.recordFailure(jobId("wk-2"), false);
  assert.equal(faults.isQuarantineDue, false);
  assert.equal(faults.failureCount, 1);
});

const healthAfterTwoFailedCalls = (): MachineHealth => {
  const health = new MachineHealth();
  health.recordFailedCall(monotonicMs(1000));
  health.recordFailedCall(monotonicMs(2000));
  return health;
};

test("machine health: a heartbeat resets only the failed calls since the newest status", () => {
  const health = healthAfterTwoFailedCalls();
  health.recordStatus("heartbeat", monotonicMs(3000));
  assert.equal(health.failedCallsSinceStatus, 0);
  assert.equal(health.failedCallsSinceAnswer, 2);
  assert.equal(health.firstUnansweredCallAt, 1000);
  assert.equal(health.lastHeartbeatAt, 3000);
});

test("machine health: a new status in an answer resets both counts, but is no heartbeat", () => {
  const health = healthAfterTwoFailedCalls();
  health.recordStatus("direct", monotonicMs(3000));
  assert.equal(health.failedCallsSinceStatus, 0);
  assert.equal(health.failedCallsSinceAnswer, 0);
  assert.equal(health.lastHeartbeatAt, null);
});

test("machine health: an old status in an answer resets only the calls since an answer", () => {
  const health = healthAfterTwoFailedCalls();
  health.recordAnsweredCall();
  assert.equal(health.failedCallsSinceStatus, 2);
  assert.equal(health.failedCallsSinceAnswer, 0);
});

test("machine health: firstUnansweredCallAt is the first failed call after an answer", () => {
  const health = healthAfterTwoFailedCalls();
  health.recordAnsweredCall();
  health.recordFailedCall(monotonicMs(5000));
  health.recordFailedCall(monotonicMs(6000));
  assert.equal(health.firstUnansweredCallAt, 5000);
});

test("machine health: the absence of heartbeats counts from when they were first expected", () => {
  const health = new MachineHealth();
  health.expectHeartbeats(monotonicMs(1000));
  health.expectHeartbeats(monotonicMs(2000));
  assert.equal(health.lastHeartbeatAt, 1000);
});

test("machine health: a reset clears all counts and times", () => {
  const health = healthAfterTwoFailedCalls();
  health.recordStatus("heartbeat", monotonicMs(3000));
  health.reset();
  assert.equal(health.failedCallsSinceStatus, 0);
  assert.equal(health.failedCallsSinceAnswer, 0);
  assert.equal(health.lastHeartbeatAt, null);
});
