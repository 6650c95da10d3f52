/**
 * `overloadedShards`: detects shards whose owners can't handle the heartbeats of their machines.
 *
 * Guards against renting hundreds more machines for a shard whose owner can't answer the heartbeats
 * of those it has.
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
 * Numbers of machines that are up, that are overdue (no heartbeat long after their boot time), and
 * that are still booting.
 */
const cases: readonly [
  name: string,
  up: number,
  overdue: number,
  booting: number,
  overloaded: boolean,
][] = [
  ["all up", 100, 0, 0, false],
  ["few of many overdue", 100, 5, 0, false],
  ["more than a tenth overdue", 100, 14, 0, true],
  ["none up yet, all booting", 0, 0, 100, false],
  ["none up, all overdue", 0, 10, 0, true],
  ["few machines, all overdue", 0, 3, 0, false],
];

for (const [name, up, overdue, booting, overloaded] of cases)
  test(`a shard is ${overloaded ? "" : "not "}overloaded: ${name}`, () => {
    new SimulatedClock(1).now = 1_000_000;
    const replica = new Replica();
    const rows: [MachineId, MachineRecord][] = [];
    const addMachines = (count: number, endpoint: string, ageS: number): void => {
      for (let i = 0; i < count; i++) {
        const rentedAt = wallClockMs(wallClockNow() - ageS * 1000);
        const row = { shard: shardId(1), type: SMALL.name, zone: "a", spot: true, endpoint };
        rows.push([
          machineId(`m-${rows.length}`),
          { ...row, phase: "up", rentedAt, tokenFloor: revision(1) },
        ]);
      }
    };
    addMachines(up, "m:1", 500);
    addMachines(overdue, "", 500);
    addMachines(booting, "", 1);
    const types = encodeMachineTypes([SMALL]);
    replica.apply({ kind: "put", key: keys.types, value: types, rev: revision(1) });
    const page = encodeMachinePage(rows);
    replica.apply({ kind: "put", key: keys.fleet(shardId(1), "1"), value: page, rev: revision(2) });
    assert.equal(overloadedShards(replica, 3).has(shardId(1)), overloaded);
  });
