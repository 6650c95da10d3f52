/** What a worker's newest status proves of an attempt, after each order of messages. */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, fencingToken, monotonicMs } from "@umberfold/ids";
import { observeAttempt } from "../../../src/coordination/ownership/attempt-observation.js";
import type {
  WorkerSession,
  WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import { KEY, received, sessionAfter, statusOf, TASK } from "./session-events.js";

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
    name: "absence below our token proves nothing, since an older command may still arrive",
    events: [received(statusOf(1, 1, 9))],
    state: "fencing",
    observation: "unknown",
  },
  {
    name: "absence at our token proves that it is absent",
    events: [received(statusOf(1, 1, 10))],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a start in a heartbeat's answer leaves it unsettled until the next heartbeat",
    events: [received(statusOf(1, 1, 10)), { kind: "heartbeat_answered", starts: [KEY] }],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "the answer to a direct call in between leaves it unsettled",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      received(statusOf(1, 2, 10), "direct"),
    ],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "the next heartbeat without it proves that it is absent",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      received(statusOf(1, 2, 10)),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a lost direct start leaves it unsettled, whatever later heartbeats show",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      received(statusOf(1, 2, 10)),
      received(statusOf(1, 3, 10)),
    ],
    state: "ready",
    observation: "unsettled",
  },
  {
    name: "a lost start is settled once the worker has seen a higher token",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 20)),
    ],
    state: "ready",
    observation: "absent",
  },
  {
    name: "a higher token that the worker hasn't seen yet settles nothing",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      received(statusOf(1, 2, 10)),
    ],
    state: "fencing",
    observation: "unknown",
  },
  {
    name: "a later epoch settles a lost start, whose command named the earlier epoch",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
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
    name: "a call that was not sent leaves nothing in flight",
    events: [
      received(statusOf(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_not_sent", starts: [KEY] },
    ],
    state: "ready",
    observation: "absent",
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
