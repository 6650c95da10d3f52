import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, jobId, machineId, revision, shardId, wallClockMs } from "@umberfold/ids";
import { decode, encode } from "../../src/protocol/cbor.js";
import {
  encodeJobPage,
  encodeMachinePage,
  parseJobPage,
  parseMachinePage,
} from "../../src/storage/pages.js";

const encodeAndDecode = (value: unknown): unknown => decode(encode(value));

test("a job page preserves the progress of its jobs, and an invalid row is skipped", () => {
  const open = (index: number, attempt: number, machine: string) => ({
    index,
    attempt: attemptNumber(attempt),
    machine: machineId(machine),
  });
  const entries = new Map([
    [
      jobId("wk-1"),
      { done: [0, 3, 7, 7], open: [open(4, 9, "m-1"), open(5, 10, "m-2")], nextAttempt: 11 },
    ],
    [jobId("wk-2"), { done: [], open: [open(0, 1, "m-1")], nextAttempt: 2 }],
  ]);
  const value = encodeAndDecode(encodeJobPage(entries)) as { j: unknown[] };
  assert.deepEqual(parseJobPage(value), entries);
  const parsedWithInvalidRows = parseJobPage({ ...value, j: [["wk-9"], null, ...value.j] });
  assert.deepEqual([...(parsedWithInvalidRows?.keys() ?? [])], ["wk-1", "wk-2"]);
  assert.equal(parseJobPage("no page"), undefined);
});

test("a machine page preserves its machines", () => {
  const machine = (zone: string, spot: boolean, phase: "up" | "retiring") => ({
    shard: shardId(2),
    type: "g8",
    zone,
    spot,
    endpoint: "10.1.0.1:9000",
    phase,
    rentedAt: wallClockMs(1_700_000_000_000),
    tokenFloor: revision(77),
  });
  const machines = new Map([
    [machineId("m-1"), machine("a", true, "up")],
    [machineId("m-2"), machine("b", false, "retiring")],
  ]);
  assert.deepEqual(
    parseMachinePage(shardId(2), encodeAndDecode(encodeMachinePage(machines))),
    machines,
  );
});
