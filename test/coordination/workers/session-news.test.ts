/** Which changes in a worker's status are relevant to a scheduling round. */
import assert from "node:assert/strict";
import test from "node:test";
import { fencingToken, monotonicMs } from "@umberfold/ids";
import {
  stepWorkerSession,
  type WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import { hasNoRelevantChange } from "../../../src/coordination/workers/session-news.js";
import type { WorkerStatus } from "../../../src/protocol/workers.js";
import { KEY, received, sessionAfter, statusOf, TASK } from "../ownership/session-events.js";

const RUNNING = statusOf(1, 1, 10, [[TASK, 1, "running"]]);

const cases: readonly {
  name: string;
  before: readonly WorkerSessionEvent[];
  status: WorkerStatus;
  isIrrelevant: boolean;
}[] = [
  {
    name: "a newer status with the same tasks is not relevant",
    before: [received(RUNNING)],
    status: { ...RUNNING, sequence: 2 },
    isIrrelevant: true,
  },
  { name: "the first status is relevant", before: [], status: RUNNING, isIrrelevant: false },
  {
    name: "a task that has ended is relevant",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10, [[TASK, 1, "ended", "done"]]),
    isIrrelevant: false,
  },
  {
    name: "another attempt of the task is relevant",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10, [[TASK, 2, "running"]]),
    isIrrelevant: false,
  },
  {
    name: "a task that is no longer listed is relevant",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10),
    isIrrelevant: false,
  },
  {
    name: "a new epoch is relevant",
    before: [received(RUNNING)],
    status: { ...RUNNING, epoch: 2, sequence: 2 },
    isIrrelevant: false,
  },
  {
    name: "a preemption notice is relevant",
    before: [received(RUNNING)],
    status: { ...RUNNING, sequence: 2, preemptionNoticeS: 30 },
    isIrrelevant: false,
  },
  {
    name: "the first status that shows our token is relevant",
    before: [
      received(RUNNING),
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
    ],
    status: { ...RUNNING, sequence: 2, token: fencingToken(20) },
    isIrrelevant: false,
  },
  {
    name: "any status is relevant while a start is in flight",
    before: [received(RUNNING), { kind: "command_sent", starts: [KEY] }],
    status: { ...RUNNING, sequence: 2 },
    isIrrelevant: false,
  },
];

for (const { name, before, status, isIrrelevant } of cases)
  test(`session change: ${name}`, () => {
    const session = sessionAfter(10, before);
    assert.equal(
      hasNoRelevantChange(session, stepWorkerSession(session, received(status))),
      isIrrelevant,
    );
  });
