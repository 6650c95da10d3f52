/** `orderQueue`: the order in which waiting jobs are served. */
import assert from "node:assert/strict";
import test from "node:test";
import { orderQueue, type WaitingJob } from "../../src/scheduling/queue-order.js";
import { job, OBJECTIVES } from "./fixtures.js";

const waiting = (
  [id, live]: ReturnType<typeof job>,
  ageS: number,
  withinGuarantee = false,
): WaitingJob => ({ id, job: live, ageS, imageFetchS: 0, expectedRunS: 30, withinGuarantee });

test("jobs are sorted by overdue, guarantee, priority, slack, fewest waiting tasks, age", () => {
  const order = orderQueue(
    [
      waiting(job("wk-1", 1, { tasks: 5 }), 0),
      waiting(job("wk-2", 2), 0),
      waiting(job("wk-3", 3), 100),
      waiting(job("wk-4", 4, { priority: "high", jobClass: "fast" }), 5),
      waiting(job("wk-5", 5, { priority: "high", jobClass: "fast" }), 7),
      waiting(job("wk-6", 6, { priority: "best_effort" }), 0, true),
      // Has waited for more than 120 s without a start: before all others, so that it does not
      // starve.
      waiting(job("wk-7", 7, { tasks: 500 }), 121),
    ],
    OBJECTIVES,
    120,
  );
  assert.deepEqual(
    order.map(({ id }) => id),
    ["wk-7", "wk-6", "wk-5", "wk-4", "wk-3", "wk-2", "wk-1"],
  );
});
