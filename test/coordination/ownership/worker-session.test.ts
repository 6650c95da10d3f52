import assert from "node:assert/strict";
import test from "node:test";
import {
  attemptKey,
  attemptNumber,
  fencingToken,
  machineId,
  monotonicMs,
  type TaskId,
} from "@umberfold/ids";
import {
  type DesiredAttempt,
  isSettled,
  mustRaiseToken,
  newWorkerSession,
  observeAttempt,
  reconcileCommands,
  stepWorkerSession,
  type WorkerSession,
  type WorkerSessionEvent,
} from "../../../src/coordination/ownership/worker-session.js";
import type { EndCause, TaskPhase, WorkerStatus } from "../../../src/protocol/workers.js";

const TASK = "wk-000001/0" as TaskId;
const KEY = attemptKey(TASK, attemptNumber(1));

const report = (
  epoch: number,
  sequence: number,
  seen: number,
  tasks: readonly (readonly [TaskId, number, TaskPhase, EndCause?])[] = [],
): WorkerStatus => ({
  machine: machineId("m-000001"),
  endpoint: "10.0.0.9:1",
  type: "t",
  zone: "z",
  spot: false,
  epoch,
  sequence,
  token: fencingToken(seen),
  preemptionNoticeS: null,
  tasks: tasks.map(([task, attempt, phase, cause]) => ({
    task,
    attempt: attemptNumber(attempt),
    phase,
    ...(cause === undefined ? {} : { cause }),
    saved: false,
  })),
});

const hear = (r: WorkerStatus, via: "heartbeat" | "direct" = "heartbeat"): WorkerSessionEvent => ({
  kind: "status_received",
  report: r,
  via,
  now: monotonicMs(0),
});
const play = (held: number, events: readonly WorkerSessionEvent[]): WorkerSession =>
  events.reduce(stepWorkerSession, newWorkerSession(fencingToken(held), monotonicMs(0)));

const proofs: readonly {
  name: string;
  events: readonly WorkerSessionEvent[];
  state: WorkerSession["state"];
  found: string;
}[] = [
  { name: "nothing is believed before a report", events: [], state: "unknown", found: "unknown" },
  {
    name: "absence below our token proves nothing: an older command may still come",
    events: [hear(report(1, 1, 9))],
    state: "fencing",
    found: "unknown",
  },
  {
    name: "absence at our token is proof",
    events: [hear(report(1, 1, 10))],
    state: "ready",
    found: "absent",
  },
  {
    name: "a start in a beat's answer is on its way until the next beat",
    events: [hear(report(1, 1, 10)), { kind: "heartbeat_answered", starts: [KEY] }],
    state: "ready",
    found: "unsettled",
  },
  {
    name: "a direct report in between settles no beat's answer",
    events: [
      hear(report(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      hear(report(1, 2, 10), "direct"),
    ],
    state: "ready",
    found: "unsettled",
  },
  {
    name: "the next beat without it settles it",
    events: [
      hear(report(1, 1, 10)),
      { kind: "heartbeat_answered", starts: [KEY] },
      hear(report(1, 2, 10)),
    ],
    state: "ready",
    found: "absent",
  },
  {
    name: "a lost direct start stays open whatever later heartbeats say",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      hear(report(1, 2, 10)),
      hear(report(1, 3, 10)),
    ],
    state: "ready",
    found: "unsettled",
  },
  {
    name: "a higher token, seen, settles a lost start",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      hear(report(1, 2, 20)),
    ],
    state: "ready",
    found: "absent",
  },
  {
    name: "a higher token that was not seen yet settles nothing",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      hear(report(1, 2, 10)),
    ],
    state: "fencing",
    found: "unknown",
  },
  {
    name: "a later session settles a lost start: its command named the earlier one",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      hear(report(2, 2, 10)),
    ],
    state: "ready",
    found: "absent",
  },
  {
    name: "a late, older report is passed over",
    events: [hear(report(1, 5, 10, [[TASK, 1, "running"]])), hear(report(1, 4, 10))],
    state: "ready",
    found: "present",
  },
  {
    name: "an unsent call leaves nothing on its way",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_not_sent", starts: [KEY] },
    ],
    state: "ready",
    found: "absent",
  },
  {
    name: "another attempt of the task is not this one",
    events: [hear(report(1, 1, 10, [[TASK, 2, "running"]]))],
    state: "ready",
    found: "absent",
  },
];

test("what a report proves of an attempt", () => {
  for (const c of proofs) {
    const s = play(10, c.events);
    assert.equal(s.state, c.state, c.name);
    assert.equal(observeAttempt(s, TASK, attemptNumber(1)).kind, c.found, c.name);
  }
});

test("a lost start asks for a bump until the token has risen", () => {
  const lost: readonly WorkerSessionEvent[] = [
    hear(report(1, 1, 10)),
    { kind: "command_sent", starts: [KEY] },
    { kind: "command_lost", starts: [KEY] },
  ];
  assert.equal(mustRaiseToken(play(10, lost)), true);
  assert.equal(
    mustRaiseToken(
      play(10, [...lost, { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) }]),
    ),
    false,
  );
});

const want = (
  attempt: number,
  stopGraceS: number | null,
  startForbidden = false,
): ReadonlyMap<TaskId, DesiredAttempt> =>
  new Map([[TASK, { task: TASK, attempt: attemptNumber(attempt), stopGraceS, startForbidden }]]);

const commands: readonly {
  name: string;
  events: readonly WorkerSessionEvent[];
  wanted: ReadonlyMap<TaskId, DesiredAttempt>;
  orders: readonly string[];
}[] = [
  {
    name: "nothing is commanded below our token",
    events: [hear(report(1, 1, 9))],
    wanted: want(1, null),
    orders: [],
  },
  {
    name: "a wanted attempt that is absent is started",
    events: [hear(report(1, 1, 10))],
    wanted: want(1, null),
    orders: ["start 1"],
  },
  {
    name: "one whose closing is being written is not started: the closing stands on its absence",
    events: [hear(report(1, 1, 10))],
    wanted: want(1, null, true),
    orders: [],
  },
  {
    name: "a start that is being sent is not sent twice",
    events: [hear(report(1, 1, 10)), { kind: "command_sent", starts: [KEY] }],
    wanted: want(1, null),
    orders: [],
  },
  {
    name: "a running attempt that no record knows is stopped",
    events: [hear(report(1, 1, 10, [[TASK, 1, "running"]]))],
    wanted: new Map(),
    orders: ["stop 1"],
  },
  {
    name: "an exited one that is closed is forgotten",
    events: [hear(report(1, 1, 10, [[TASK, 1, "ended", "done"]]))],
    wanted: new Map(),
    orders: ["forget 1"],
  },
  {
    name: "an exited one is not forgotten before it is closed",
    events: [hear(report(1, 1, 10, [[TASK, 1, "ended", "done"]]))],
    wanted: want(1, null),
    orders: [],
  },
  {
    name: "nor while a copy of its start may arrive: it would run afresh",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_lost", starts: [KEY] },
      hear(report(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    wanted: new Map(),
    orders: [],
  },
  {
    name: "nor while a repeat of its start would be executed: under the token it was sent with",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_answered", starts: [KEY] },
      hear(report(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    wanted: new Map(),
    orders: [],
  },
  {
    name: "nor is another attempt of it started beside it",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_answered", starts: [KEY] },
      hear(report(1, 2, 10, [[TASK, 1, "ended", "halted"]])),
    ],
    wanted: want(2, null),
    orders: [],
  },
  {
    name: "once a higher token is shown it goes",
    events: [
      hear(report(1, 1, 10)),
      { kind: "command_sent", starts: [KEY] },
      { kind: "command_answered", starts: [KEY] },
      { kind: "token_assigned", token: fencingToken(20), now: monotonicMs(1) },
      hear(report(1, 2, 20, [[TASK, 1, "ended", "halted"]])),
    ],
    wanted: want(2, null),
    orders: ["forget 1", "start 2"],
  },
  {
    name: "an old attempt goes before the new one starts",
    events: [hear(report(1, 1, 10, [[TASK, 1, "ended", "halted"]]))],
    wanted: want(2, null),
    orders: ["forget 1", "start 2"],
  },
  {
    name: "one that saves is left to save, unless it is of no use any more",
    events: [hear(report(1, 1, 10, [[TASK, 1, "saving"]]))],
    wanted: want(1, 5),
    orders: [],
  },
  {
    name: "a cancelled one that saves is ended",
    events: [hear(report(1, 1, 10, [[TASK, 1, "saving"]]))],
    wanted: want(1, 0),
    orders: ["stop 1"],
  },
];

test("what a machine is told", () => {
  for (const c of commands) {
    const s = play(10, c.events);
    assert.deepEqual(
      reconcileCommands(s, c.wanted).map((o) => `${o.op} ${o.attempt}`),
      c.orders,
      c.name,
    );
  }
});

test("an attempt without any command sent is settled", () => {
  assert.equal(isSettled(play(10, []), KEY), true);
});
