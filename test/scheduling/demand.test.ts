/** `computeDemand`: the slots that jobs need, by group. */
import assert from "node:assert/strict";
import test from "node:test";
import { shardId, teamName, wallClockMs } from "@umberfold/ids";
import { computeDemand } from "../../src/scheduling/demand.js";
import { job, LARGE, OBJECTIVES, SMALL } from "./fixtures.js";

/** 40 fast tasks that fit small machines too, and 40 slow ones of this many processors. */
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

test("work that only some types can take doesn't count on processors that others leave", () => {
  // On the same types the slow tasks follow the fast ones on their processors; those of 16 fit
  // large machines only and can't.
  const onLargeOnly = requiredForSlow(16);
  const onBoth = requiredForSlow(8);
  assert.ok(onLargeOnly >= 40, `${onLargeOnly}`);
  assert.ok(onBoth < 40, `${onBoth}`);
});
