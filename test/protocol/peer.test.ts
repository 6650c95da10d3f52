import assert from "node:assert/strict";
import test from "node:test";
import { jobId, machineId, revision, shardId, wallClockMs } from "@umberfold/ids";
import { decodePeerMessage, encodePeerMessage } from "../../src/protocol/peer.js";

const MESSAGE = {
  from: "loom-1",
  moves: [{ machine: machineId("m-000001"), to: shardId(2), drain: true }],
  retire: [machineId("m-000002")],
  reason: "failed",
  failing: [jobId("wk-000007")],
  cancelled: [
    { job: jobId("wk-000412"), rev: revision(2 ** 40), at: wallClockMs(1_700_000_000_000) },
  ],
};

test("a peer message is unchanged by encoding and decoding", () => {
  assert.deepEqual(decodePeerMessage(encodePeerMessage(MESSAGE)), MESSAGE);
});

test("invalid cancellation notices are ignored, and the rest of the message is used", () => {
  const invalid = [
    { job: jobId("x"), rev: revision(1), at: wallClockMs(1) },
    { job: jobId("wk-1"), rev: revision(0), at: wallClockMs(1) },
    { job: jobId("wk-1"), rev: revision(5), at: wallClockMs(Number.NaN) },
  ];
  const mixed = encodePeerMessage({ ...MESSAGE, cancelled: [...invalid, ...MESSAGE.cancelled] });
  assert.deepEqual(decodePeerMessage(mixed), MESSAGE);
});

test("a message of an older controller, without notices, gives an empty list", () => {
  const { cancelled: _none, ...older } = MESSAGE;
  const without = encodePeerMessage({ ...older, cancelled: [] });
  assert.deepEqual(decodePeerMessage(without).cancelled, []);
});

test("decoding bytes that are not a peer message throws", () => {
  assert.throws(() => decodePeerMessage(new Uint8Array([0xff, 0xff, 0xff])));
});
