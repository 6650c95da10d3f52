/** `PendingTransfers`: how long a machine counts as part of its destination shard. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, shardId } from "@umberfold/ids";
import { PendingTransfers } from "../../../src/coordination/fleet/pending-transfers.js";

const MACHINE = machineId("m-1");
const FROM = shardId(0);
const TO = shardId(1);
const OTHER = shardId(2);
const REQUESTED_AT = 1000;

const transfersWithRequest = (drain: boolean): PendingTransfers => {
  const transfers = new PendingTransfers();
  transfers.recordRequests([{ machine: MACHINE, to: TO, drain }], monotonicMs(REQUESTED_AT));
  return transfers;
};

const timeouts: readonly (readonly [string, boolean, number])[] = [
  ["an idle machine", false, 3000],
  ["a machine to be drained", true, 6000],
];
for (const [name, drain, timeoutMs] of timeouts)
  test(`${name} counts as part of its destination shard for ${timeoutMs} ms`, () => {
    const transfers = transfersWithRequest(drain);
    const at = (ms: number) =>
      transfers.destinationOf(MACHINE, FROM, monotonicMs(REQUESTED_AT + ms));
    assert.equal(at(0), TO);
    assert.equal(at(timeoutMs - 1), TO);
    assert.equal(at(timeoutMs), undefined);
    assert.equal(at(0), undefined, "a request that timed out is deleted");
  });

test("an arrived transfer is deleted, so a later return of the machine is unaffected", () => {
  const transfers = transfersWithRequest(false);
  assert.equal(transfers.destinationOf(MACHINE, TO, monotonicMs(REQUESTED_AT)), undefined);
  assert.equal(transfers.destinationOf(MACHINE, FROM, monotonicMs(REQUESTED_AT)), undefined);
});

test("a newer request for a machine replaces the older one", () => {
  const transfers = transfersWithRequest(false);
  const later = monotonicMs(REQUESTED_AT + 2000);
  transfers.recordRequests([{ machine: MACHINE, to: OTHER, drain: false }], later);
  assert.equal(transfers.destinationOf(MACHINE, FROM, monotonicMs(REQUESTED_AT + 4000)), OTHER);
});

test("a machine without a request has no destination", () => {
  const other = machineId("m-2");
  assert.equal(
    transfersWithRequest(false).destinationOf(other, FROM, monotonicMs(REQUESTED_AT)),
    undefined,
  );
});
