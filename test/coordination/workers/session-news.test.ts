/** Whether a new status of a worker is a reason for a round. */
import assert from "node:assert/strict";
import test from "node:test";
import { fencingToken, monotonicMs } from "@umberfold/ids";
import {
  stepWorkerSession,
  type WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import { hasNoNews } from "../../../src/coordination/workers/session-news.js";
import type { WorkerStatus } from "../../../src/protocol/workers.js";
import { KEY, received, sessionAfter, statusOf, TASK } from "../ownership/session-events.js";

const RUNNING = statusOf(1, 1, 10, [[TASK, 1, "running"]]);

const cases: readonly {
  name: string;
  before: readonly WorkerSessionEvent[];
  status: WorkerStatus;
  noNews: boolean;
}[] = [
  {
    name: "a later status with the same tasks is none",
    before: [received(RUNNING)],
    status: { ...RUNNING, sequence: 2 },
    noNews: true,
  },
  { name: "the first status is news", before: [], status: RUNNING, noNews: false },
  {
    name: "a task that has ended is news",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10, [[TASK, 1, "ended", "done"]]),
    noNews: false,
  },
  {
    name: "another attempt of the task is news",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10, [[TASK, 2, "running"]]),
    noNews: false,
  },
  {
    name: "a task that is gone is news",
    before: [received(RUNNING)],
    status: statusOf(1, 2, 10),
    noNews: false,
  },
  {
    name: "a new epoch is news",
    before: [received(RUNNING)],
    status: { ...RUNNING, epoch: 2, sequence: 2 },
    noNews: false,
  },
  {
    name: "a preemption notice is news",
    before: [received(RUNNING)],
    status: { ...RUNNING, sequence: 2, preemptionNoticeS: 30 },
    noNews: false,
  },
  {
    name: "our token, shown for the first time, is news",
    before: [
      received(RUNNING),
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
    ],
    status: { ...RUNNING, sequence: 2, token: fencingToken(20) },
    noNews: false,
  },
  {
    name: "any status is news while a start is in flight",
    before: [received(RUNNING), { kind: "command_sent", starts: [KEY] }],
    status: { ...RUNNING, sequence: 2 },
    noNews: false,
  },
];

for (const { name, before, status, noNews } of cases)
  test(`session news: ${name}`, () => {
    const session = sessionAfter(10, before);
    assert.equal(hasNoNews(session, stepWorkerSession(session, received(status))), noNews);
  });
