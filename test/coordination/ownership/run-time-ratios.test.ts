/** The ratio of actual to expected run time of job classes. */
import assert from "node:assert/strict";
import test from "node:test";
import { RunTimeRatios } from "../../../src/coordination/ownership/run-time-ratios.js";
import type { JobSpec } from "../../../src/protocol/jobs.js";

const specOf = (expectedRunS: number, jobClass = "batch"): JobSpec =>
  ({ expectedRunS, jobClass }) as unknown as JobSpec;

const SPEC = specOf(100);

test("run times: without a completed run the user's estimate is unchanged", () => {
  assert.equal(new RunTimeRatios().expectedRunS(SPEC), 100);
});

test("run times: the first run of a class sets its ratio, later ones move it by a twentieth", () => {
  const ratios = new RunTimeRatios();
  ratios.record(SPEC, 200_000);
  assert.equal(ratios.expectedRunS(SPEC), 200);
  ratios.record(SPEC, 100_000);
  assert.equal(ratios.expectedRunS(SPEC), 195);
});

test("run times: the ratio of a run is limited to between a tenth and ten", () => {
  const ratios = new RunTimeRatios();
  ratios.record(specOf(100, "slow"), 5_000_000);
  ratios.record(specOf(100, "fast"), 1);
  assert.equal(ratios.expectedRunS(specOf(100, "slow")), 1000);
  assert.equal(ratios.expectedRunS(specOf(100, "fast")), 10);
});

test("run times: a job without an expected run time is ignored", () => {
  const ratios = new RunTimeRatios();
  ratios.record(specOf(0), 200_000);
  assert.equal(ratios.expectedRunS(SPEC), 100);
});
