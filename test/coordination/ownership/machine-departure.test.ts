/** The state machine of transfers and decommissions: every event in every state. */
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
    name: "a transfer request makes a transfer pending on a machine that stays",
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
    name: "a transfer request is kept beside a pending decommission, which doesn't change",
    from: decommission("surplus", false),
    event: REQUEST_SECOND,
    to: decommission("surplus", false, SECOND),
  },
  {
    name: "the end of a transfer changes nothing if none is pending",
    from: STAYING,
    event: END,
    to: STAYING,
  },
  { name: "a machine stays once its transfer has ended", from: TRANSFER, event: END, to: STAYING },
  {
    name: "a decommission stays pending when the transfer ends",
    from: decommission("surplus", false, FIRST),
    event: END,
    to: decommission("surplus", false),
  },
  {
    name: "a requested decommission of a machine that stays is not forced",
    from: STAYING,
    event: SURPLUS,
    to: decommission("surplus", false),
  },
  {
    name: "a requested decommission keeps the pending transfer, whose drain continues",
    from: TRANSFER,
    event: SURPLUS,
    to: decommission("surplus", false, FIRST),
  },
  {
    name: "a second decommission request doesn't change the reason",
    from: decommission("notice", false),
    event: SURPLUS,
    to: decommission("notice", false),
  },
  {
    name: "a later request doesn't turn a forced decommission into one that isn't",
    from: decommission("unreachable", true),
    event: SURPLUS,
    to: decommission("unreachable", true),
  },
  {
    name: "a decommission of a machine that stays can be forced",
    from: STAYING,
    event: SILENT,
    to: decommission("silent", true),
  },
  {
    name: "a forced decommission keeps the pending transfer",
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

test("machine departure: a new machine stays until a request makes a transfer pending", () => {
  const departure = new MachineDeparture();
  assert.equal(departure.isPending, false);
  assert.equal(departure.transfer, null);
  assert.equal(departure.decommission, null);
  departure.step(REQUEST_SECOND);
  assert.equal(departure.isPending, true);
  assert.equal(departure.transfer, SECOND);
  assert.equal(departure.decommission, null);
});
