/** `PendingTransfers`: how long a machine counts as its new shard's. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, shardId } from "@umberfold/ids";
import { PendingTransfers } from "../../../src/coordination/fleet/pending-transfers.js";

const MACHINE = machineId("m-1");
const FROM = shardId(0);
const TO = shardId(1);
const OTHER = shardId(2);
const ASKED_AT = 1000;

const askedFor = (drain: boolean): PendingTransfers => {
  const transfers = new PendingTransfers();
  transfers.recordRequests([{ machine: MACHINE, to: TO, drain }], monotonicMs(ASKED_AT));
  return transfers;
};

const timeouts: readonly (readonly [string, boolean, number])[] = [
  ["an idle machine", false, 3000],
  ["a machine to be drained", true, 6000],
];
for (const [name, drain, timeoutMs] of timeouts)
  test(`${name} counts as its new shard's for ${timeoutMs} ms`, () => {
    const transfers = askedFor(drain);
    const at = (ms: number) => transfers.destinationOf(MACHINE, FROM, monotonicMs(ASKED_AT + ms));
    assert.equal(at(0), TO);
    assert.equal(at(timeoutMs - 1), TO);
    assert.equal(at(timeoutMs), undefined);
    assert.equal(at(0), undefined, "a request that timed out is forgotten");
  });

test("a machine that has arrived stays in its shard, wherever it goes later", () => {
  const transfers = askedFor(false);
  assert.equal(transfers.destinationOf(MACHINE, TO, monotonicMs(ASKED_AT)), undefined);
  assert.equal(transfers.destinationOf(MACHINE, FROM, monotonicMs(ASKED_AT)), undefined);
});

test("a newer request replaces the older one of the same machine", () => {
  const transfers = askedFor(false);
  const later = monotonicMs(ASKED_AT + 2000);
  transfers.recordRequests([{ machine: MACHINE, to: OTHER, drain: false }], later);
  assert.equal(transfers.destinationOf(MACHINE, FROM, monotonicMs(ASKED_AT + 4000)), OTHER);
});

test("a machine that nobody asked for stays in its shard", () => {
  const other = machineId("m-2");
  assert.equal(askedFor(false).destinationOf(other, FROM, monotonicMs(ASKED_AT)), undefined);
});
