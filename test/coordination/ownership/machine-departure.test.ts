/** The state machine of transfer and decommission: every event in every state. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs, shardId } from "@umberfold/ids";
import {
  type DepartureEvent,
  type DepartureState,
  MachineDeparture,
  type PendingTransfer,
  stepDeparture,
} from "../../../src/coordination/ownership/machine-departure.js";

const transferTo = (shard: number): PendingTransfer => ({
  to: shardId(shard),
  drain: false,
  whenEmpty: true,
  expiresAt: monotonicMs(1000),
});
const FIRST = transferTo(1);
const SECOND = transferTo(2);

const STAYING: DepartureState = { kind: "staying" };
const TRANSFER: DepartureState = { kind: "transfer_pending", transfer: FIRST };
const decommission = (
  reason: string,
  isForced: boolean,
  transfer: PendingTransfer | null = null,
): DepartureState => ({
  kind: "decommission_pending",
  decommission: { reason, isForced },
  transfer,
});

const REQUEST_SECOND: DepartureEvent = { kind: "transfer_requested", transfer: SECOND };
const END: DepartureEvent = { kind: "transfer_ended" };
const SURPLUS: DepartureEvent = { kind: "decommission_requested", reason: "surplus" };
const SILENT: DepartureEvent = { kind: "decommission_forced", reason: "silent" };

const transitions: readonly {
  name: string;
  from: DepartureState;
  event: DepartureEvent;
  to: DepartureState;
}[] = [
  {
    name: "a machine that stays is to be transferred once the leader asks for it",
    from: STAYING,
    event: REQUEST_SECOND,
    to: { kind: "transfer_pending", transfer: SECOND },
  },
  {
    name: "a later transfer request replaces the earlier one",
    from: TRANSFER,
    event: REQUEST_SECOND,
    to: { kind: "transfer_pending", transfer: SECOND },
  },
  {
    name: "a transfer request leaves a pending decommission as it is",
    from: decommission("surplus", false),
    event: REQUEST_SECOND,
    to: decommission("surplus", false, SECOND),
  },
  { name: "the end of no transfer changes nothing", from: STAYING, event: END, to: STAYING },
  { name: "a machine stays once its transfer has ended", from: TRANSFER, event: END, to: STAYING },
  {
    name: "a decommission is still pending once a transfer has ended",
    from: decommission("surplus", false, FIRST),
    event: END,
    to: decommission("surplus", false),
  },
  {
    name: "a machine that stays is to be decommissioned on request, once it is empty",
    from: STAYING,
    event: SURPLUS,
    to: decommission("surplus", false),
  },
  {
    name: "a decommission remembers the transfer that was pending: its drain goes on",
    from: TRANSFER,
    event: SURPLUS,
    to: decommission("surplus", false, FIRST),
  },
  {
    name: "the first reason of a decommission stands",
    from: decommission("notice", false),
    event: SURPLUS,
    to: decommission("notice", false),
  },
  {
    name: "a forced decommission is not eased by a later request",
    from: decommission("unreachable", true),
    event: SURPLUS,
    to: decommission("unreachable", true),
  },
  {
    name: "a machine that stays can be decommissioned at once",
    from: STAYING,
    event: SILENT,
    to: decommission("silent", true),
  },
  {
    name: "a forced decommission remembers the pending transfer",
    from: TRANSFER,
    event: SILENT,
    to: decommission("silent", true, FIRST),
  },
  {
    name: "a forced decommission replaces one that waits for the machine to be empty",
    from: decommission("surplus", false, FIRST),
    event: SILENT,
    to: decommission("silent", true, FIRST),
  },
];

for (const { name, from, event, to } of transitions)
  test(`machine departure: ${name}`, () => {
    assert.deepEqual(stepDeparture(from, event), to);
  });

test("machine departure: nothing is pending for a new machine, and something after a request", () => {
  const departure = new MachineDeparture();
  assert.equal(departure.isPending, false);
  assert.equal(departure.transfer, null);
  assert.equal(departure.decommission, null);
  departure.step(REQUEST_SECOND);
  assert.equal(departure.isPending, true);
  assert.equal(departure.transfer, SECOND);
  assert.equal(departure.decommission, null);
});
