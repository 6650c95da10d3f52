import assert from "node:assert/strict";
import test from "node:test";
import {
  type FencingToken,
  machineId,
  monotonicMs,
  revision,
  shardId,
  wallClockMs,
} from "@umberfold/ids";
import type { ControllerContext } from "../../../src/coordination/context.js";
import type { Membership } from "../../../src/coordination/membership/membership.js";
import { ShardState } from "../../../src/coordination/ownership/shard-state.js";
import {
  type MachineRecordChange,
  machineRecordChange,
} from "../../../src/coordination/rounds/machine-record-changes.js";
import { newShardRound } from "../../../src/coordination/rounds/shard-round.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys, type MachineRecord } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import type { TransactionBatch } from "../../../src/storage/transaction-batch.js";

const SHARD = shardId(0);
const OTHER_SHARD = shardId(1);
const MACHINE = machineId("m-1");
const NOW = monotonicMs(1000);
const LATEST = revision(9);
const RECORD: MachineRecord = {
  shard: SHARD,
  type: "small",
  zone: "a",
  spot: false,
  endpoint: "m:1",
  phase: "up",
  rentedAt: wallClockMs(0),
  tokenFloor: revision(5),
};

/** The state of an owner of one machine without tasks, whose worker reported this endpoint. */
const ownerState = (record: MachineRecord, endpoint = "m:1"): ShardState => {
  const replica = new Replica();
  const ctx = { replica, log: { info: () => undefined } } as unknown as ControllerContext;
  const membership = { ownedShards: () => [SHARD] } as unknown as Membership;
  const state = new ShardState(ctx, membership, () => undefined);
  const value = encodeMachinePage([[MACHINE, record]]);
  replica.apply({ kind: "put", key: keys.fleet(SHARD, "1"), value, rev: LATEST });
  replica.advanceTo(LATEST);
  state.syncSessions(monotonicMs(0));
  const worker = { machine: MACHINE, endpoint, type: "small", zone: "a", spot: false };
  const order = { epoch: 1, sequence: 1, token: LATEST as never, preemptionNoticeS: null };
  const status = { ...worker, ...order, tasks: [] };
  state.stepSession(MACHINE, { kind: "status_received", status, via: "heartbeat", now: NOW });
  return state;
};

const changeFor = (state: ShardState, record: MachineRecord): MachineRecordChange | undefined => {
  const round = newShardRound(SHARD, {} as TransactionBatch, NOW);
  return machineRecordChange(state, round, MACHINE, record);
};

const requestTransfer = (state: ShardState, to = OTHER_SHARD): void =>
  state.machineState(MACHINE).departure.step({
    kind: "transfer_requested",
    transfer: { to, drain: false, whenEmpty: true, expiresAt: monotonicMs(9000) },
  });

const RETIRE: MachineRecordChange = {
  kind: "update",
  record: { ...RECORD, phase: "retiring" },
  maxDelayMs: 0,
};

test("machine record: a record that is up to date needs no change", () => {
  assert.equal(changeFor(ownerState(RECORD), RECORD), undefined);
});

test("machine record: removed if the machine is gone and has no open attempts", () => {
  const state = ownerState(RECORD);
  state.ctx.replica.isGone = () => true;
  assert.deepEqual(changeFor(state, RECORD), { kind: "remove" });
});

test("machine record: a machine without open attempts is retired at once, forced or not", () => {
  for (const kind of ["decommission_requested", "decommission_forced"] as const) {
    const state = ownerState(RECORD);
    state.machineState(MACHINE).departure.step({ kind, reason: "surplus" });
    assert.deepEqual(changeFor(state, RECORD), RETIRE);
  }
});

test("machine record: a machine that is already retiring needs no change", () => {
  const retiring: MachineRecord = { ...RECORD, phase: "retiring" };
  const state = ownerState(retiring);
  state.machineState(MACHINE).departure.step({ kind: "decommission_forced", reason: "lost" });
  assert.equal(changeFor(state, retiring), undefined);
});

test("machine record: a transfer raises the token floor and ends the request", () => {
  const state = ownerState(RECORD);
  requestTransfer(state);
  assert.deepEqual(changeFor(state, RECORD), {
    kind: "transfer",
    record: { ...RECORD, shard: OTHER_SHARD, tokenFloor: LATEST },
  });
  assert.equal(state.machineState(MACHINE).departure.isPending, false);
});

test("machine record: a transfer to the machine's own shard changes nothing", () => {
  const state = ownerState(RECORD);
  requestTransfer(state, SHARD);
  assert.equal(changeFor(state, RECORD), undefined);
});

test("machine record: no transfer before a revision above the fencing token has been seen", () => {
  const record: MachineRecord = { ...RECORD, tokenFloor: LATEST };
  const state = ownerState(record);
  requestTransfer(state);
  assert.equal(changeFor(state, record), undefined);
});

test("machine record: a changed endpoint may wait until its page is written anyway", () => {
  const state = ownerState(RECORD, "m:2");
  const record = { ...RECORD, endpoint: "m:2" };
  assert.deepEqual(changeFor(state, RECORD), { kind: "update", record, maxDelayMs: 1500 });
});

test("machine record: a lost start command raises the token floor at once", () => {
  const state = ownerState(RECORD);
  state.stepSession(MACHINE, { kind: "command_sent", starts: ["wk-1/0/1"] });
  const token = state.sessions.get(MACHINE)?.token as FencingToken;
  state.stepSession(MACHINE, { kind: "command_lost", starts: ["wk-1/0/1"], token });
  const record = { ...RECORD, tokenFloor: LATEST };
  assert.deepEqual(changeFor(state, RECORD), { kind: "update", record, maxDelayMs: 0 });
});

test("machine record: a requested token raise is dropped if no start command is tracked", () => {
  const state = ownerState(RECORD);
  state.machineState(MACHINE).tokenRaise.request();
  assert.equal(changeFor(state, RECORD), undefined);
  assert.equal(state.machineState(MACHINE).tokenRaise.isPending, false);
});
