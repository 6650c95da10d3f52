/** The commands that bring a worker in line with the records. */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, fencingToken, monotonicMs, type TaskId } from "@umberfold/ids";
import {
  type DesiredAttempt,
  reconcileCommands,
} from "../../../src/coordination/ownership/reconciliation.js";
import type { WorkerSessionEvent } from "../../../src/coordination/ownership/worker-session.js";
import { callOutcome, KEY, received, sessionAfter, statusOf, TASK } from "./session-events.js";

const desiredTask = (
  attempt: number,
  stopGraceS: number | null,
  isStartForbidden = false,
): ReadonlyMap<TaskId, DesiredAttempt> =>
  new Map([[TASK, { task: TASK, attempt: attemptNumber(attempt), stopGraceS, isStartForbidden }]]);

const reconciliations: readonly {
  name: string;
  events: readonly WorkerSessionEvent[];
  desired: ReadonlyMap<TaskId, DesiredAttempt>;
  expected: readonly string[];
}[] = [
  {
    name: "no command is sent while the worker reports a token below ours",
    events: [received(statusOf(1, 1, 9))],
    desired: desiredTask(1, null),
    expected: [],
  },
  {
    name: "a desired attempt that is absent is started",
    events: [received(statusOf(1, 1, 10))],
    desired: desiredTask(1, null),
    expected: ["start 1"],
  },
  {
    name: "an absent attempt is not started while its termination is written on that evidence",
    events: [received(statusOf(1, 1, 10))],
    desired: desiredTask(1, null, true),
    expected: [],
  },
  {
    name: "a start that is in flight in a direct call is not sent again",
    events: [received(statusOf(1, 1, 10)), { kind: "command_sent", starts: [KEY] }],
    desired: desiredTask(1, null),
    expected: [],
  },
  {
    name: "a running attempt that no record shows open is stopped",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "running"]]))],
    desired: new Map(),
    expected: ["stop 1"],
  },
  {
    name: "an ended attempt whose termination is written is forgotten",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "ended", "done"]]))],
    desired: new Map(),
    expected: ["forget 1"],
  },
  {
    name: "an ended attempt is not forgotten before its termination is written",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "ended", "done"]]))],
    desired: desiredTask(1, null),
    expected: [],
  },
  {
    name: "an ended attempt is not forgotten while its lost start may arrive: it would run again",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_lost"),
      received(statusOf(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    desired: new Map(),
    expected: [],
  },
  {
    name: "an ended attempt is not forgotten while a duplicate of its start could be executed",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_answered"),
      received(statusOf(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    desired: new Map(),
    expected: [],
  },
  {
    name: "a later attempt is not started while an earlier one can't be forgotten",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_answered"),
      received(statusOf(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    desired: desiredTask(2, null),
    expected: [],
  },
  {
    name: "an ended attempt is forgotten and a later one started once a higher token is reported",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_answered"),
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 20, [[TASK, 1, "ended", "halted"]])),
    ],
    desired: desiredTask(2, null),
    expected: ["forget 1", "start 2"],
  },
  {
    name: "the earlier attempt is forgotten before the later one starts",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "ended", "halted"]]))],
    desired: desiredTask(2, null),
    expected: ["forget 1", "start 2"],
  },
  {
    name: "an attempt that is saving its checkpoint is not stopped again",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "saving"]]))],
    desired: desiredTask(1, 5),
    expected: [],
  },
  {
    name: "an attempt that is saving its checkpoint is stopped at once if it is cancelled",
    events: [received(statusOf(1, 1, 10, [[TASK, 1, "saving"]]))],
    desired: desiredTask(1, 0),
    expected: ["stop 1"],
  },
];

for (const { name, events, desired, expected } of reconciliations)
  test(`reconciliation: ${name}`, () => {
    const commands = reconcileCommands(sessionAfter(10, events), desired);
    assert.deepEqual(
      commands.map(({ op, attempt }) => `${op} ${attempt}`),
      expected,
    );
  });
