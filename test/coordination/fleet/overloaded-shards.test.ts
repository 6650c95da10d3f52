/**
 * `overloadedShards`: shards whose owners don't keep up with their machines' heartbeats.
 *
 * The owner of a flooded shard was rented hundreds of machines whose heartbeats it could not answer.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { type MachineId, machineId, revision, shardId, wallClockMs } from "@umberfold/ids";
import { overloadedShards } from "../../../src/coordination/fleet/overloaded-shards.js";
import { encodeMachineTypes } from "../../../src/storage/cluster-records.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys, type MachineRecord } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import { wallClockNow } from "../../../src/transport/clock.js";
import { SMALL } from "../../scheduling/fixtures.js";
import { SimulatedClock } from "../../sim/clock.js";

/**
 * Numbers of machines that are up, that should have been up long ago but sent no heartbeat, and that
 * are still booting.
 */
const cases: readonly [
  name: string,
  up: number,
  due: number,
  booting: number,
  overloaded: boolean,
][] = [
  ["all up", 100, 0, 0, false],
  ["some never came up", 100, 5, 0, false],
  ["a tenth and more not heard from", 100, 14, 0, true],
  ["none up yet, all booting", 0, 0, 100, false],
  ["none up, all due", 0, 10, 0, true],
  ["few machines, none of them up", 0, 3, 0, false],
];

for (const [name, up, due, booting, overloaded] of cases)
  test(`a shard is ${overloaded ? "" : "not "}overloaded: ${name}`, () => {
    new SimulatedClock(1).now = 1_000_000;
    const replica = new Replica();
    const rows: [MachineId, MachineRecord][] = [];
    const add = (count: number, endpoint: string, ageS: number): void => {
      for (let i = 0; i < count; i++) {
        const rentedAt = wallClockMs(wallClockNow() - ageS * 1000);
        const row = { shard: shardId(1), type: SMALL.name, zone: "a", spot: true, endpoint };
        rows.push([
          machineId(`m-${rows.length}`),
          { ...row, phase: "up", rentedAt, tokenFloor: revision(1) },
        ]);
      }
    };
    add(up, "m:1", 500);
    add(due, "", 500);
    add(booting, "", 1);
    const types = encodeMachineTypes([SMALL]);
    replica.apply({ kind: "put", key: keys.types, value: types, rev: revision(1) });
    const page = encodeMachinePage(rows);
    replica.apply({ kind: "put", key: keys.fleet(shardId(1), "1"), value: page, rev: revision(2) });
    assert.equal(overloadedShards(replica, 3).has(shardId(1)), overloaded);
  });
