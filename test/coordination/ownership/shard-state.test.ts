/** `ShardState`: syncing worker sessions with the records, soft state, and overdue heartbeats. */
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
import { EventLoopLag } from "../../../src/coordination/membership/event-loop-lag.js";
import type { Membership } from "../../../src/coordination/membership/membership.js";
import { ShardState } from "../../../src/coordination/ownership/shard-state.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";

const ID = machineId("m-000001");
const page = (name: string): string => keys.fleet(shardId(0), name);
const machines = encodeMachinePage([
  [
    ID,
    {
      shard: shardId(0),
      type: "small",
      zone: "a",
      spot: false,
      endpoint: "m:1",
      phase: "up",
      rentedAt: wallClockMs(0),
      tokenFloor: revision(1),
    },
  ],
]);

const setUp = () => {
  const replica = new Replica();
  const ownedShards = [shardId(0)];
  const membership = { ownedShards: () => ownedShards } as unknown as Membership;
  const ctx = {
    replica,
    settings: { workers: { leaseS: 20 } },
    eventLoopLag: new EventLoopLag(),
  } as unknown as ControllerContext;
  const state = new ShardState(ctx, membership, () => undefined);
  replica.apply({ kind: "put", key: page("x"), value: machines, rev: revision(10) });
  replica.advanceTo(revision(10));
  state.syncSessions(monotonicMs(0));
  return { replica, state, ownedShards };
};

/**
 * Guards against a task that starts twice. A write that moves a machine from one page to another
 * was applied, but its answer was lost, and the old page was read again before the new one. The
 * session ended, and with it the record of the starts sent in it. An attempt whose start was still
 * in flight was concluded to be absent, and its task was started a second time.
 */
test("a session survives while its machine is missing between the reads of two pages", () => {
  const { replica, state } = setUp();
  const before = state.sessions.get(ID);
  replica.apply({ kind: "delete", key: page("x"), rev: revision(12) });
  state.syncSessions(monotonicMs(1));
  assert.equal(state.sessions.get(ID), before);
  replica.apply({ kind: "put", key: page("y"), value: machines, rev: revision(12) });
  replica.advanceTo(revision(12));
  state.syncSessions(monotonicMs(2));
  assert.equal(state.sessions.get(ID), before);
});

/**
 * Guards against a task that starts twice: an outdated page of a machine named another shard, and
 * when the machine was back under the same token, the starts that were sent to it were forgotten.
 */
test("a machine that leaves the shard and returns under the same token keeps its starts", () => {
  const { replica, state } = setUp();
  const token = state.sessions.get(ID)?.token as FencingToken;
  const starts = ["wk-000001/0#1"];
  state.stepSession(ID, { kind: "command_sent", starts });
  state.stepSession(ID, { kind: "command_answered", starts, token });
  const foreign = keys.fleet(shardId(1), "z");
  replica.apply({ kind: "put", key: foreign, value: machines, rev: revision(11) });
  state.syncSessions(monotonicMs(1));
  assert.equal(state.sessions.size, 0);
  replica.apply({ kind: "put", key: page("x"), value: machines, rev: revision(13) });
  state.syncSessions(monotonicMs(2));
  assert.deepEqual([...(state.sessions.get(ID)?.startDeliveries.keys() ?? [])], starts);
});

test("a session ends once the replica is synced and still lacks its machine", () => {
  const { replica, state } = setUp();
  replica.apply({ kind: "delete", key: page("x"), rev: revision(12) });
  state.syncSessions(monotonicMs(1));
  replica.advanceTo(revision(12));
  state.syncSessions(monotonicMs(2));
  assert.equal(state.sessions.size, 0);
});

/**
 * Guards against returning healthy machines to the cloud. Failures counted before a handover still
 * counted when the shard came back, and about 140 machines were returned at that moment.
 */
test("the failures of a machine are cleared when its shard is handed over", () => {
  const { state, ownedShards } = setUp();
  state.machineState(ID).health.recordFailedCall(monotonicMs(1));
  ownedShards.pop();
  state.syncSessions(monotonicMs(2));
  assert.equal(state.sessions.size, 0);
  assert.equal(state.machineStates.size, 0);
  ownedShards.push(shardId(0));
  state.syncSessions(monotonicMs(3));
  assert.equal(state.sessions.get(ID)?.lastHeardAt, 3);
  assert.equal(state.machineState(ID).health.failedCallsSinceStatus, 0);
});

test("a second stop request of an attempt is ignored and doesn't mark its machine dirty", () => {
  const { state } = setUp();
  state.requestStop("key", ID, "preempted", 5);
  assert.deepEqual([...state.dirtyMachines], [ID]);
  state.dirtyMachines.clear();
  state.requestStop("key", ID, "notice", 0);
  assert.deepEqual([...state.dirtyMachines], []);
  assert.deepEqual(state.attemptStates.get("key")?.stopRequest, { reason: "preempted", graceS: 5 });
});

const heartbeats: readonly {
  name: string;
  heartbeatAt: number | null;
  now: number;
  overdue: boolean;
}[] = [
  {
    name: "not overdue on a machine that has sent none to this owner",
    heartbeatAt: null,
    now: 60_000,
    overdue: false,
  },
  {
    name: "not overdue when one arrived recently",
    heartbeatAt: 50_000,
    now: 59_000,
    overdue: false,
  },
  {
    name: "overdue when none arrived for more than half a lease",
    heartbeatAt: 40_000,
    now: 51_000,
    overdue: true,
  },
];
for (const { name, heartbeatAt, now, overdue } of heartbeats)
  test(`heartbeats are ${name}`, () => {
    const { state } = setUp();
    if (heartbeatAt !== null)
      state.machineState(ID).health.recordStatus("heartbeat", monotonicMs(heartbeatAt));
    assert.equal(state.isHeartbeatOverdue(ID, monotonicMs(now)), overdue);
  });

/**
 * Guards against unused write capacity. The watch also delivers this controller's own changes. Its
 * own deletes were taken for writes of others, so the owner of a shard in which many jobs ended
 * left half of the write limit unused.
 */
test("a change of this controller is known once the watch delivers it, also a delete", () => {
  const { replica } = setUp();
  const key = "now/live/wk-1";
  const put = { kind: "put", key, value: {}, rev: revision(11) } as const;
  const drop = { kind: "delete", key, rev: revision(12) } as const;
  assert.equal(replica.isApplied(put), false);
  replica.apply(put);
  assert.equal(replica.isApplied(put), true);
  assert.equal(replica.isApplied(drop), false);
  replica.apply(drop);
  assert.equal(replica.isApplied(drop), true);
});
