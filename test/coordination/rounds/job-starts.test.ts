import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, jobId, machineId, shardId, wallClockMs } from "@umberfold/ids";
import { JobStarts } from "../../../src/coordination/rounds/job-starts.js";
import type { JobSpec } from "../../../src/protocol/jobs.js";
import type { CandidateMachine } from "../../../src/scheduling/placement.js";
import { UNBOUNDED_RESOURCES } from "../../../src/scheduling/resources.js";
import { newJob } from "../../../src/storage/records.js";

const TASK_RESOURCES = { cpus: 2, gpus: 0, ramGb: 4 };
const USE_BEFORE = { cpus: 1, gpus: 0, ramGb: 1 };
const LIMITS = { rps: 100, writeRps: 100, txnOps: 40, valueKb: 64 };

const newJobStarts = (valueKb = LIMITS.valueKb): JobStarts => {
  const spec = { id: jobId("wk-1"), taskCount: 9, resources: TASK_RESOURCES };
  const job = newJob(spec as unknown as JobSpec, wallClockMs(0), shardId(0));
  return new JobStarts(job, { state: { ...LIMITS, valueKb }, shardCount: 1 });
};

const newCandidate = (): CandidateMachine =>
  ({
    id: machineId("m-1"),
    usedResources: USE_BEFORE,
    smallestDemand: UNBOUNDED_RESOURCES,
  }) as unknown as CandidateMachine;

test("job starts: attempts are numbered in order and added to their machine's use", () => {
  const starts = newJobStarts();
  const candidate = newCandidate();
  assert.ok(starts.tryAdd(0, candidate) && starts.tryAdd(3, candidate));
  assert.deepEqual(candidate.usedResources, { cpus: 5, gpus: 0, ramGb: 9 });
  assert.deepEqual(candidate.smallestDemand, TASK_RESOURCES);
  const { open, nextAttempt } = starts.draft();
  assert.deepEqual(open, [
    { index: 0, attempt: attemptNumber(1), machine: candidate.id },
    { index: 3, attempt: attemptNumber(2), machine: candidate.id },
  ]);
  assert.equal(nextAttempt, 3);
});

test("job starts: undo restores the machine's use and its smallest demand", () => {
  const starts = newJobStarts();
  const candidate = newCandidate();
  assert.ok(starts.tryAdd(0, candidate) && starts.tryAdd(1, candidate));
  starts.undo();
  assert.deepEqual(candidate, newCandidate());
});

test("job starts: an attempt beyond the job's part of a page is refused without effect", () => {
  const starts = newJobStarts(0);
  const candidate = newCandidate();
  assert.equal(starts.tryAdd(0, candidate), false);
  assert.deepEqual(candidate, newCandidate());
  assert.deepEqual(starts.attempts, []);
});
