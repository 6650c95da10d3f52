/** `computeDemand`: the task slots that jobs need, by group. */
import assert from "node:assert/strict";
import test from "node:test";
import { shardId, teamName, wallClockMs } from "@umberfold/ids";
import { computeDemand } from "../../src/scheduling/demand.js";
import { job, LARGE, OBJECTIVES, SMALL } from "./fixtures.js";

/**
 * The required slots of 40 slow tasks that demand this many processors each, beside 40 fast tasks
 * that fit on machines of either type.
 */
const requiredForSlow = (slowCpus: number): number => {
  const fast = job("wk-1", 0, { jobClass: "fast", priority: "high", tasks: 40, cpus: 2 });
  const slow = job("wk-2", 0, { tasks: 40, cpus: slowCpus });
  const demand = computeDemand({
    jobs: [fast, slow],
    shardOf: () => shardId(0),
    teams: new Map([
      [teamName("t"), { name: teamName("t"), cpus: 0, gpus: 0, cpusMax: 1e6, gpusMax: 0 }],
    ]),
    withinGuarantee: new Set(),
    objectives: OBJECTIVES,
    expectedRunS: ({ spec }) => (spec.jobClass === "fast" ? 10 : 100),
    types: [SMALL, LARGE],
    fastestBootS: 40,
    headroomFraction: 0,
    desiredSlackFraction: 0.2,
    requiredSlackFraction: 0.35,
    riseTimeConstantS: 0,
    fallTimeConstantS: 0,
    capacityFactor: 1,
    elapsedS: 1,
    now: wallClockMs(0),
    levels: new Map(),
  });
  return demand.groups.find((g) => g.resources.cpus === slowCpus)?.requiredSlots ?? 0;
};

test("tasks that fit fewer types don't share the processors of tasks that fit more", () => {
  // Slow tasks of 8 processors fit the same types as the fast ones, so they can run after them on
  // the same processors. Slow tasks of 16 processors fit large machines only, so they need their
  // own.
  const onLargeOnly = requiredForSlow(16);
  const onBothTypes = requiredForSlow(8);
  assert.ok(onLargeOnly >= 40, `${onLargeOnly}`);
  assert.ok(onBothTypes < 40, `${onBothTypes}`);
});
