/** What a worker's newest status proves about an attempt, for different message sequences. */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, fencingToken, monotonicMs } from "@umberfold/ids";
import { observeAttempt } from "../../../src/coordination/ownership/attempt-observation.js";
import type {
  WorkerSession,
  WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import { callOutcome, KEY, received, sessionAfter, statusOf, TASK } from "./session-events.js";

const observations: readonly {
  name: string;
  events: readonly WorkerSessionEvent[];
  state: WorkerSession["state"];
  observation: string;
}[] = [
  {
    name: "nothing is concluded before the first status",
    events: [],
    state: "unknown",
    observation: "unknown",
  },
  {
    name: "absence in a status below our token proves nothing: an older command may still arrive",
    events: [received(statusOf(1, 1, 9))],
    state: "fencing",
    observation: "unknown",
  },
  {
    name: "an attempt missing from a status with our token is absent",
    events: [received(statusOf(1, 1, 10))],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a start in a heartbeat response is unsettled until the next heartbeat",
    events: [received(statusOf(1, 1, 10)), { kind: "heartbeat_answered", starts: [KEY] }],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "the answer to a direct call doesn't settle a start in a heartbeat response",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      received(statusOf(1, 2, 10), "direct"),
    ],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "the next heartbeat settles the start, and an attempt missing from it is absent",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      received(statusOf(1, 2, 10)),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a start in a lost direct call stays unsettled despite later heartbeats",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_lost"),
      received(statusOf(1, 2, 10)),
      received(statusOf(1, 3, 10)),
    ],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "a lost start is settled once the worker has reported a higher token",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_lost"),
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 20)),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a higher token doesn't settle a lost start until the worker has reported it",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_lost"),
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 10)),
    ],
    state: "fencing",
    observation: "unknown",
  },
  {
    name: "a later epoch settles a lost start, whose command was for the earlier epoch",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_lost"),
      received(statusOf(2, 2, 10)),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "an older status that arrives late is ignored",
    events: [received(statusOf(1, 5, 10, [[TASK, 1, "running"]])), received(statusOf(1, 4, 10))],
    state: "ready",
    observation: "present",
  },
  {
    name: "a direct call that was not sent leaves no start in flight",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_not_sent"),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "the outcome of a call from before a token raise isn't that of a call after it",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 20)),
      { kind: "command_sent", starts: [KEY] },
      callOutcome("command_not_sent", 10),
    ],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "another attempt of the task doesn't count as this one",
    events: [received(statusOf(1, 1, 10, [[TASK, 2, "running"]]))],
    state: "ready",
    observation: "absent",
  },
];

for (const { name, events, state, observation } of observations)
  test(`attempt observation: ${name}`, () => {
    const session = sessionAfter(10, events);
    assert.equal(session.state, state);
    assert.equal(observeAttempt(session, TASK, attemptNumber(1)).kind, observation);
  });
