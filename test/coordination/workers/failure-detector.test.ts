/** Which machines a controller gives up, and when it rather doubts its own network. */
import assert from "node:assert/strict";
import test from "node:test";
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import { FailureDetector } from "../../../src/coordination/workers/failure-detector.js";
import { StatusRecorder } from "../../../src/coordination/workers/status-recorder.js";
import { parseWorkerStatus, type WorkerStatus } from "../../../src/protocol/workers.js";
import { machineNumber, setUpOwner, statusBody } from "./channel-setup.js";

/** A detector at a time of the test's own; statuses and failed calls are given to it by hand. */
const setUp = (machineCount: number) => {
  const owner = setUpOwner({ machineCount });
  const { state } = owner;
  const recorder = new StatusRecorder(state);
  const called: MachineId[] = [];
  const callMachine = (id: MachineId): void => {
    called.push(id);
  };
  const detector = new FailureDetector(state, { recorder, callMachine });
  const ids = Array.from({ length: machineCount }, (_, index) => machineNumber(index));
  let sequence = 0;
  const hear = (heard: readonly MachineId[], now: MonotonicMs): void => {
    sequence++;
    for (const loom of heard)
      recorder.record(
        parseWorkerStatus(statusBody(sequence, 10, { loom })) as WorkerStatus,
        "heartbeat",
        now,
      );
  };
  const failCalls = (id: MachineId, count: number, sentAt: MonotonicMs): void => {
    for (let call = 0; call < count; call++) state.machineState(id).health.recordFailedCall(sentAt);
  };
  const givenUp = (): readonly MachineId[] =>
    ids.filter((id) => state.machineStates.get(id)?.departure.decommission?.isForced === true);
  return { ...owner, detector, called, ids, hear, failCalls, givenUp };
};

const START = monotonicMs(1_000_000);
const after = (ms: number): MonotonicMs => monotonicMs(START + ms);

/** All machines heard at the start, and the detector run once. */
const setUpHeard = (machineCount: number) => {
  const parts = setUp(machineCount);
  parts.state.syncSessions(START);
  parts.detector.resetTimers(START);
  parts.hear(parts.ids, START);
  parts.detector.run(START);
  return parts;
};

test("failure detector: a machine whose heartbeat is late is called", () => {
  const { detector, called, hear, ids } = setUpHeard(8);
  hear(ids.slice(1), after(5000));
  detector.run(after(6600));
  assert.deepEqual(called, [ids[0]]);
});

test("failure detector: no machine is called while heartbeats are within their delay", () => {
  const { detector, called } = setUpHeard(8);
  detector.run(after(6500));
  assert.deepEqual(called, []);
});

test("failure detector: a silent machine whose calls fail is given up, and the others stay", () => {
  const { detector, hear, failCalls, ids, givenUp, events, state } = setUpHeard(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  hear(ids.slice(1), after(6000));
  detector.run(after(6600));
  assert.deepEqual(givenUp(), [silent]);
  assert.equal(state.sessions.get(silent)?.state, "unresponsive");
  assert.deepEqual(events, ["machine failed"]);
});

test("failure detector: none is given up while the controller hears no machine at all", () => {
  const { detector, failCalls, ids, givenUp } = setUpHeard(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  detector.run(after(6600));
  assert.equal(detector.connectivity, "disconnected");
  assert.deepEqual(givenUp(), []);
  assert.equal(detector.receivesHeartbeats(), false);
});

test("failure detector: none is given up while most machines don't answer calls", () => {
  const { detector, failCalls, hear, ids, givenUp } = setUpHeard(8);
  for (const id of ids) failCalls(id, 4, START);
  hear(ids, after(7000));
  detector.run(after(7000));
  assert.equal(detector.connectivity, "disconnected");
  assert.deepEqual(givenUp(), []);
});

test("failure detector: after a reset what was counted before counts no more", () => {
  const { detector, failCalls, hear, ids, givenUp } = setUpHeard(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  detector.resetTimers(after(6500));
  hear(ids.slice(1), after(6550));
  detector.run(after(6600));
  assert.deepEqual(givenUp(), []);
});

test("failure detector: in a wave of failures half the silence is enough", () => {
  const { detector, failCalls, hear, ids, givenUp } = setUpHeard(40);
  for (const id of ids.slice(0, 3)) failCalls(id, 2, after(5000));
  hear(ids.slice(3), after(6000));
  detector.run(after(6600));
  assert.equal(givenUp().length, 3);
  const [, , , fourth] = ids;
  assert.ok(fourth !== undefined);
  failCalls(fourth, 2, after(8000));
  hear(ids.slice(4), after(9300));
  detector.run(after(9400));
  assert.equal(givenUp().length, 4);
});

test("failure detector: without machines it can't tell whether heartbeats arrive", () => {
  const { detector } = setUp(0);
  detector.run(START);
  assert.equal(detector.receivesHeartbeats(), undefined);
});
