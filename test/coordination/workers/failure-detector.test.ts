/** Which machines are declared failed, and when the controller's own network is suspected. */
import assert from "node:assert/strict";
import test from "node:test";
import { type MachineId, type MonotonicMs, monotonicMs } from "@umberfold/ids";
import { FailureDetector } from "../../../src/coordination/workers/failure-detector.js";
import { StatusRecorder } from "../../../src/coordination/workers/status-recorder.js";
import { parseWorkerStatus, type WorkerStatus } from "../../../src/protocol/workers.js";
import { machineIdAt, setUpOwner, statusBody } from "./channel-setup.js";

/** A detector with a simulated clock; the test supplies statuses and failed calls. */
const setUp = (machineCount: number) => {
  const owner = setUpOwner({ machineCount });
  const { state } = owner;
  const recorder = new StatusRecorder(state);
  const calledMachines: MachineId[] = [];
  const callMachine = (id: MachineId): void => {
    calledMachines.push(id);
  };
  const detector = new FailureDetector(state, { recorder, callMachine });
  const ids = Array.from({ length: machineCount }, (_, index) => machineIdAt(index));
  let sequence = 0;
  const receiveHeartbeats = (senders: readonly MachineId[], now: MonotonicMs): void => {
    sequence++;
    for (const loom of senders)
      recorder.record(
        parseWorkerStatus(statusBody(sequence, 10, { loom })) as WorkerStatus,
        "heartbeat",
        now,
      );
  };
  const failCalls = (id: MachineId, count: number, sentAt: MonotonicMs): void => {
    for (let call = 0; call < count; call++) state.machineState(id).health.recordFailedCall(sentAt);
  };
  const failedMachines = (): readonly MachineId[] =>
    ids.filter((id) => state.machineStates.get(id)?.departure.decommission?.isForced === true);
  return { ...owner, detector, calledMachines, ids, receiveHeartbeats, failCalls, failedMachines };
};

const START = monotonicMs(1_000_000);
const after = (ms: number): MonotonicMs => monotonicMs(START + ms);

/** A detector that has run once after heartbeats of all machines at `START`. */
const setUpWithHeartbeats = (machineCount: number) => {
  const detectorSetup = setUp(machineCount);
  detectorSetup.state.syncSessions(START);
  detectorSetup.detector.resetTimers(START);
  detectorSetup.receiveHeartbeats(detectorSetup.ids, START);
  detectorSetup.detector.run(START);
  return detectorSetup;
};

test("failure detector: a machine whose heartbeat is overdue is called", () => {
  const { detector, calledMachines, receiveHeartbeats, ids } = setUpWithHeartbeats(8);
  receiveHeartbeats(ids.slice(1), after(5000));
  detector.run(after(6600));
  assert.deepEqual(calledMachines, [ids[0]]);
});

test("failure detector: no machine is called before its heartbeat is overdue", () => {
  const { detector, calledMachines } = setUpWithHeartbeats(8);
  detector.run(after(6500));
  assert.deepEqual(calledMachines, []);
});

test("failure detector: only a silent machine whose calls fail is declared failed", () => {
  const { detector, receiveHeartbeats, failCalls, ids, failedMachines, events, state } =
    setUpWithHeartbeats(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  receiveHeartbeats(ids.slice(1), after(6000));
  detector.run(after(6600));
  assert.deepEqual(failedMachines(), [silent]);
  assert.equal(state.sessions.get(silent)?.state, "unresponsive");
  assert.deepEqual(events, ["machine failed"]);
});

test("failure detector: no machine is declared failed while no heartbeat at all arrives", () => {
  const { detector, failCalls, ids, failedMachines } = setUpWithHeartbeats(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  detector.run(after(6600));
  assert.equal(detector.connectivity, "disconnected");
  assert.deepEqual(failedMachines(), []);
  assert.equal(detector.receivesHeartbeats(), false);
});

test("failure detector: no machine is declared failed while most don't answer calls", () => {
  const { detector, failCalls, receiveHeartbeats, ids, failedMachines } = setUpWithHeartbeats(8);
  for (const id of ids) failCalls(id, 4, START);
  receiveHeartbeats(ids, after(7000));
  detector.run(after(7000));
  assert.equal(detector.connectivity, "disconnected");
  assert.deepEqual(failedMachines(), []);
});

test("failure detector: a reset discards earlier failed calls and silence", () => {
  const { detector, failCalls, receiveHeartbeats, ids, failedMachines } = setUpWithHeartbeats(8);
  const [silent] = ids;
  assert.ok(silent !== undefined);
  failCalls(silent, 2, after(5000));
  detector.resetTimers(after(6500));
  receiveHeartbeats(ids.slice(1), after(6550));
  detector.run(after(6600));
  assert.deepEqual(failedMachines(), []);
});

test("failure detector: a failure wave halves the silence timeout", () => {
  const { detector, failCalls, receiveHeartbeats, ids, failedMachines } = setUpWithHeartbeats(40);
  for (const id of ids.slice(0, 3)) failCalls(id, 2, after(5000));
  receiveHeartbeats(ids.slice(3), after(6000));
  detector.run(after(6600));
  assert.equal(failedMachines().length, 3);
  const [, , , fourth] = ids;
  assert.ok(fourth !== undefined);
  failCalls(fourth, 2, after(8000));
  receiveHeartbeats(ids.slice(4), after(9300));
  detector.run(after(9400));
  assert.equal(failedMachines().length, 4);
});

test("failure detector: without machines it is undefined whether heartbeats arrive", () => {
  const { detector } = setUp(0);
  detector.run(START);
  assert.equal(detector.receivesHeartbeats(), undefined);
});
