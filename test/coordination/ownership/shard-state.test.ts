import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, revision, shardId, wallClockMs } from "@umberfold/ids";
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
  const membership = { ownedShards: () => [shardId(0)] } as unknown as Membership;
  const ctx = {
    replica,
    settings: { workers: { leaseS: 20 } },
    loopLag: new EventLoopLag(),
  } as unknown as ControllerContext;
  const held = new ShardState(ctx, membership, () => undefined);
  replica.apply({ kind: "put", key: page("x"), value: machines, rev: revision(10) });
  replica.advance(revision(10));
  held.syncSessions(monotonicMs(0));
  return { replica, held };
};

/**
 * A write that puts a machine from one page into another was applied, its answer was lost, and the
 * one page was read again before the other. With its session went what had been sent there: a
 * start still on its way was taken for absent, and the task started a second time.
 */
test("a session outlives its machine's absence between two pages", () => {
  const { replica, held } = setUp();
  const before = held.sessions.get(ID);
  replica.apply({ kind: "delete", key: page("x"), rev: revision(12) });
  held.syncSessions(monotonicMs(1));
  assert.equal(held.sessions.get(ID), before);
  replica.apply({ kind: "put", key: page("y"), value: machines, rev: revision(12) });
  replica.advance(revision(12));
  held.syncSessions(monotonicMs(2));
  assert.equal(held.sessions.get(ID), before);
});

test("a session ends once the watch has told that its machine is gone", () => {
  const { replica, held } = setUp();
  replica.apply({ kind: "delete", key: page("x"), rev: revision(12) });
  held.syncSessions(monotonicMs(1));
  replica.advance(revision(12));
  held.syncSessions(monotonicMs(2));
  assert.equal(held.sessions.size, 0);
});

const unheard: readonly (readonly [string, number | null, number, boolean])[] = [
  ["never reported here: not known to be mute", null, 60_000, false],
  ["reported lately", 50_000, 59_000, false],
  ["not for more than half a lease", 40_000, 51_000, true],
];
test("machines whose reports don't come", () => {
  for (const [name, at, now, mute] of unheard) {
    const { held } = setUp();
    if (at !== null) held.machineState(ID).health.recordStatus("heartbeat", monotonicMs(at));
    assert.equal(held.heartbeatOverdue(ID, monotonicMs(now)), mute, name);
  }
});

/**
 * The watch tells of our own changes too. Deletes of our own were taken for others' writes, and the
 * owner of a shard in which many jobs ended left half of the write limit unused.
 */
test("a change of our own is known when the watch tells of it, a delete too", () => {
  const { replica } = setUp();
  const key = "now/live/wk-1";
  const put = { kind: "put", key, value: {}, rev: revision(11) } as const;
  const drop = { kind: "delete", key, rev: revision(12) } as const;
  assert.equal(replica.isKnown(put), false);
  replica.apply(put);
  assert.equal(replica.isKnown(put), true);
  assert.equal(replica.isKnown(drop), false);
  replica.apply(drop);
  assert.equal(replica.isKnown(drop), true);
});
