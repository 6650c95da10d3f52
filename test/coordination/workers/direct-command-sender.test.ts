/** Which direct calls are sent, and how their outcome changes the session and machine health. */
import assert from "node:assert/strict";
import test from "node:test";
import { revision, wallClockMs } from "@umberfold/ids";
import { DirectCommandSender } from "../../../src/coordination/workers/direct-command-sender.js";
import { StatusRecorder } from "../../../src/coordination/workers/status-recorder.js";
import { encodeGoneRecord, keys } from "../../../src/storage/records.js";
import type { CallResult } from "../../../src/transport/client.js";
import { MACHINE, type PendingCall, setUpOwner, statusBody } from "./channel-setup.js";

const setUp = () => {
  const owner = setUpOwner();
  const { state, client, calls } = owner;
  const sender = new DirectCommandSender(state, client, new StatusRecorder(state));
  const { health, call } = state.machineState(MACHINE);
  const session = () => state.sessions.get(MACHINE);
  const lastCall = (): PendingCall => {
    const last = calls.at(-1);
    assert.ok(last !== undefined, "a call was sent");
    return last;
  };
  return { ...owner, sender, health, call, session, lastCall };
};

const answered = (status: number, body: unknown): CallResult => ({ kind: "answer", status, body });

test("direct call: a worker without a known status is shown our token first", async () => {
  const { sender, calls, lastCall, session } = setUp();
  sender.requestCall(MACHINE, false);
  assert.equal(lastCall().path, "/orders");
  await lastCall().answer(answered(200, statusBody(1, 10)));
  assert.equal(session()?.state, "ready");
  assert.equal(calls.length, 1);
});

test("direct call: a worker that refuses the assumed epoch is called with its own", async () => {
  const { sender, calls, lastCall, session } = setUp();
  sender.requestCall(MACHINE, false);
  await lastCall().answer(answered(409, statusBody(1, 0, { shift: 3 })));
  assert.equal(session()?.state, "fencing");
  assert.equal(calls.length, 2);
  assert.equal((lastCall().body as { shift: number }).shift, 3);
});

test("direct call: a ready worker with nothing to do is asked for its status", async () => {
  const { sender, lastCall } = setUp();
  sender.requestCall(MACHINE, false);
  await lastCall().answer(answered(200, statusBody(1, 10)));
  sender.requestCall(MACHINE, false);
  assert.deepEqual([lastCall().method, lastCall().path], ["GET", "/status"]);
});

test("direct call: requests during a call in flight lead to one more call after it", async () => {
  const { sender, calls, lastCall, call } = setUp();
  sender.requestCall(MACHINE, false);
  sender.requestCall(MACHINE, false);
  sender.requestCall(MACHINE, true);
  assert.equal(calls.length, 1);
  await lastCall().answer(answered(200, statusBody(1, 10)));
  assert.equal(calls.length, 2);
  await lastCall().answer(answered(200, statusBody(2, 10)));
  assert.equal(calls.length, 2);
  assert.equal(call.phase, "idle");
});

const failures: readonly { name: string; result: CallResult; failedCalls: number }[] = [
  { name: "a lost call counts against the machine", result: { kind: "lost" }, failedCalls: 1 },
  {
    name: "a connection that was refused counts against the machine",
    result: { kind: "unsent" },
    failedCalls: 1,
  },
  {
    name: "a call that got no local socket doesn't count against the machine",
    result: { kind: "unsent", isLocal: true },
    failedCalls: 0,
  },
  {
    name: "an answer that is not a status counts against the machine",
    result: answered(200, {}),
    failedCalls: 1,
  },
  {
    name: "the status of another machine counts against this one",
    result: answered(200, statusBody(1, 10, { loom: "m-000002" })),
    failedCalls: 1,
  },
  {
    name: "a status doesn't count against the machine",
    result: answered(200, statusBody(2, 10)),
    failedCalls: 0,
  },
];

for (const { name, result, failedCalls } of failures) {
  test(`direct call: to an unknown worker, ${name}`, async () => {
    const { sender, health, lastCall } = setUp();
    sender.requestCall(MACHINE, false);
    await lastCall().answer(result);
    assert.equal(health.failedCallsSinceStatus, failedCalls);
    assert.equal(health.failedCallsSinceAnswer, failedCalls);
  });
  test(`direct call: with commands, ${name}`, async () => {
    const { sender, health, lastCall } = setUp();
    sender.requestCall(MACHINE, false);
    // The worker runs a task without a record: the next call commands its stop.
    const threads = [{ thread: "wk-000001/0", try: 1, stage: "running" }];
    await lastCall().answer(answered(200, statusBody(1, 10, { threads })));
    sender.requestCall(MACHINE, false);
    assert.equal((lastCall().body as { orders: readonly unknown[] }).orders.length, 1);
    await lastCall().answer(result);
    assert.equal(health.failedCallsSinceStatus, failedCalls);
    assert.equal(health.failedCallsSinceAnswer, failedCalls);
  });
}

test("direct call: a status with a higher token than ours is not recorded", async () => {
  const { sender, health, lastCall, session } = setUp();
  sender.requestCall(MACHINE, false);
  await lastCall().answer(answered(409, statusBody(1, 11)));
  assert.equal(session()?.status, undefined);
  assert.equal(health.failedCallsSinceStatus, 0);
});

test("direct call: a machine that is proved gone is not called", () => {
  const { sender, calls, replica } = setUp();
  const value = encodeGoneRecord({ ids: [MACHINE], reportedAt: wallClockMs(0) });
  replica.apply({ kind: "put", key: keys.gone("1"), value, rev: revision(6) });
  sender.requestCall(MACHINE, false);
  assert.equal(calls.length, 0);
});
