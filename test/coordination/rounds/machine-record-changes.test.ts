import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, revision, shardId, wallClockMs } from "@umberfold/ids";
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

/** An owner of one machine without tasks, whose worker gave this endpoint. */
const ownerOf = (record: MachineRecord, endpoint = "m:1"): ShardState => {
  const replica = new Replica();
  const ctx = { replica, log: { info: () => undefined } } as unknown as ControllerContext;
  const membership = { ownedShards: () => [SHARD] } as unknown as Membership;
  const state = new ShardState(ctx, membership, () => undefined);
  const value = encodeMachinePage([[MACHINE, record]]);
  replica.apply({ kind: "put", key: keys.fleet(SHARD, "1"), value, rev: LATEST });
  replica.advance(LATEST);
  state.syncSessions(monotonicMs(0));
  const worker = { machine: MACHINE, endpoint, type: "small", zone: "a", spot: false };
  const order = { epoch: 1, sequence: 1, token: LATEST as never, preemptionNoticeS: null };
  const status = { ...worker, ...order, tasks: [] };
  state.stepSession(MACHINE, { kind: "status_received", status, via: "heartbeat", now: NOW });
  return state;
};

const changeIn = (state: ShardState, record: MachineRecord): MachineRecordChange | undefined => {
  const round = newShardRound(SHARD, {} as TransactionBatch, NOW);
  return machineRecordChange(state, round, MACHINE, record);
};

const requestTransfer = (state: ShardState, to = OTHER_SHARD): void =>
  state.machineState(MACHINE).departure.step({
    kind: "transfer_requested",
    transfer: { to, drain: false, whenEmpty: true, expiresAt: monotonicMs(9000) },
  });

const RETIRING: MachineRecordChange = {
  kind: "update",
  record: { ...RECORD, phase: "retiring" },
  maxDelayMs: 0,
};

test("machine record: one that is as it should be needs no change", () => {
  assert.equal(changeIn(ownerOf(RECORD), RECORD), undefined);
});

test("machine record: a machine that is gone with its attempts is removed", () => {
  const state = ownerOf(RECORD);
  state.ctx.replica.isGone = () => true;
  assert.deepEqual(changeIn(state, RECORD), { kind: "remove" });
});

test("machine record: an empty machine is decommissioned at once, forced or not", () => {
  for (const kind of ["decommission_requested", "decommission_forced"] as const) {
    const state = ownerOf(RECORD);
    state.machineState(MACHINE).departure.step({ kind, reason: "surplus" });
    assert.deepEqual(changeIn(state, RECORD), RETIRING);
  }
});

test("machine record: one that is retiring already needs no change", () => {
  const retiring: MachineRecord = { ...RECORD, phase: "retiring" };
  const state = ownerOf(retiring);
  state.machineState(MACHINE).departure.step({ kind: "decommission_forced", reason: "lost" });
  assert.equal(changeIn(state, retiring), undefined);
});

test("machine record: a transfer raises the token floor and ends the request", () => {
  const state = ownerOf(RECORD);
  requestTransfer(state);
  assert.deepEqual(changeIn(state, RECORD), {
    kind: "transfer",
    record: { ...RECORD, shard: OTHER_SHARD, tokenFloor: LATEST },
  });
  assert.equal(state.machineState(MACHINE).departure.isPending, false);
});

test("machine record: a transfer to its own shard changes nothing", () => {
  const state = ownerOf(RECORD);
  requestTransfer(state, SHARD);
  assert.equal(changeIn(state, RECORD), undefined);
});

test("machine record: a transfer waits until a revision above its token was seen", () => {
  const record: MachineRecord = { ...RECORD, tokenFloor: LATEST };
  const state = ownerOf(record);
  requestTransfer(state);
  assert.equal(changeIn(state, record), undefined);
});

test("machine record: a new endpoint may wait for other changes of its page", () => {
  const state = ownerOf(RECORD, "m:2");
  const record = { ...RECORD, endpoint: "m:2" };
  assert.deepEqual(changeIn(state, RECORD), { kind: "update", record, maxDelayMs: 1500 });
});

test("machine record: a lost start command raises the token floor at once", () => {
  const state = ownerOf(RECORD);
  state.stepSession(MACHINE, { kind: "command_sent", starts: ["wk-1/0/1"] });
  state.stepSession(MACHINE, { kind: "command_lost", starts: ["wk-1/0/1"] });
  const record = { ...RECORD, tokenFloor: LATEST };
  assert.deepEqual(changeIn(state, RECORD), { kind: "update", record, maxDelayMs: 0 });
});

test("machine record: a requested token raise is dropped if no start command is remembered", () => {
  const state = ownerOf(RECORD);
  state.machineState(MACHINE).tokenRaise.request();
  assert.equal(changeIn(state, RECORD), undefined);
  assert.equal(state.machineState(MACHINE).tokenRaise.isPending, false);
});
