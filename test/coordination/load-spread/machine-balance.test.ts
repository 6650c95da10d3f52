/** `MachineBalance`: which machines are transferred to a shard with less than its fair capacity. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  type MachineId,
  machineId,
  revision,
  shardId,
  teamName,
  wallClockMs,
} from "@umberfold/ids";
import type { ShardLoad, TeamLoad } from "@umberfold/load-spread";
import { share } from "@umberfold/spans";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { MachineBalance } from "../../../src/coordination/load-spread/machine-balance.js";
import {
  decodePeerMessage,
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
} from "../../../src/protocol/peer.js";
import { encodeMachineTypes } from "../../../src/storage/cluster-records.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { encodeControllerId, keys, type MachineRecord } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import { SimulatedClock } from "../../sim/clock.js";

const BUSY = shardId(0);
const QUIET = shardId(1);
const CPUS_PER_MACHINE = 8;
const MACHINE_COUNT = 10;

const replicaWith = (phase: MachineRecord["phase"]): Replica => {
  const replica = new Replica(2);
  let rev = 0;
  const put = (key: string, value: unknown): void =>
    replica.apply({ kind: "put", key, value, rev: revision(++rev) });
  const type = {
    name: "w",
    capacity: { cpus: CPUS_PER_MACHINE, gpus: 0, ramGb: 32 },
    ...{ cacheGb: 10, fetchGbPerS: 1, price: 1, spotPrice: 1, bootS: 1, zones: ["a"] },
  };
  put(keys.types, encodeMachineTypes([type]));
  for (const shard of [BUSY, QUIET])
    put(keys.shard(shard), encodeControllerId({ label: "n" as never, incarnation: "i" as never }));
  const row = {
    shard: BUSY,
    type: "w",
    zone: "a",
    spot: true,
    endpoint: "m:1",
    phase,
  } as const;
  const record = { ...row, rentedAt: wallClockMs(0), tokenFloor: revision(0) };
  const page = Array.from(
    { length: MACHINE_COUNT },
    (_, i): readonly [MachineId, MachineRecord] => [machineId(`m-${i}`), record],
  );
  put(keys.fleet(BUSY, "1"), encodeMachinePage(page));
  return replica;
};

const load = (team: string, shard: ShardLoad["shard"], demandCpus: number): TeamLoad => {
  const row = {
    shard,
    jobCount: 1,
    openAttemptCount: 0,
    waitingTaskCount: 1,
    usedShare: share(0),
    demandShare: share(0),
    largestTaskShare: share(0),
    demandCpus,
    oldestAcceptedAt: 0,
  };
  return { team: teamName(team), home: shard, span: undefined, shards: new Map([[shard, row]]) };
};

const LOADS = [load("burst", BUSY, 1000), load("quiet", QUIET, 2 * CPUS_PER_MACHINE)];

const cases: readonly (readonly [string, MachineRecord["phase"], number])[] = [
  // One call transfers at most a tenth of all machines.
  ["the machines that are up", "up", 1],
  ["the machines being decommissioned", "retiring", 0],
];
for (const [name, phase, expected] of cases)
  test(`the shard with too little capacity receives ${expected} of ${name}`, () => {
    const clock = new SimulatedClock(1);
    const balance = new MachineBalance({
      replica: replicaWith(phase),
    } as unknown as ControllerContext);
    const first = balance.dueTransfers(LOADS);
    assert.equal(first.length, expected);
    for (const request of first)
      assert.deepEqual(
        { ...request, machine: "" },
        { machine: "", to: QUIET, drain: false, whenEmpty: true },
      );
    // A requested machine counts for its destination and is not requested again before the timeout.
    const second = balance.dueTransfers(LOADS);
    assert.equal(second.length, expected);
    assert.ok(second.every((later) => first.every((earlier) => earlier.machine !== later.machine)));
    assert.equal(balance.dueTransfers(LOADS).length, 0, "pending transfers already cover the need");
    clock.now = 60_000;
    assert.equal(balance.dueTransfers(LOADS).length, expected, "requested again after the timeout");
  });

test("a transfer request keeps `whenEmpty` when it is encoded and decoded", () => {
  const request = { machine: machineId("m-1"), to: QUIET, drain: false, whenEmpty: true };
  const message = { ...EMPTY_PEER_MESSAGE, from: "n-0", moves: [request] };
  assert.deepEqual(decodePeerMessage(encodePeerMessage(message)).moves, [request]);
});
