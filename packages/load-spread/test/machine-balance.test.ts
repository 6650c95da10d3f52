/** `planCapacityTransfers`: which shards give machines to others. */
import assert from "node:assert/strict";
import test from "node:test";
import { shardId, teamName } from "@umberfold/ids";
import { planCapacityTransfers, type TeamLoad } from "@umberfold/load-spread";
import { shardLoad, teamLoad } from "./fixtures.js";

const wants = (team: string, ...cpus: readonly number[]): TeamLoad => ({
  ...teamLoad(
    undefined,
    cpus.map((demandCpus, i) => shardLoad(shardId(i), { waitingTaskCount: 1, demandCpus })),
  ),
  team: teamName(team),
});

const shifts: readonly (readonly [string, readonly TeamLoad[], readonly number[], string[]])[] = [
  [
    "a shard whose quiet teams lack their fair part is given machines by the burst's",
    [wants("burst", 1000, 0), wants("quiet", 0, 100)],
    [260, 40],
    ["0>1:30"],
  ],
  [
    "no shard gives what its own teams need",
    [wants("a", 100, 0), wants("b", 0, 100)],
    [50, 50],
    [],
  ],
  [
    "nobody gives to a shard that lacks little",
    [wants("a", 100, 0), wants("b", 0, 100)],
    [105, 95],
    [],
  ],
];
for (const [name, loads, capacity, expected] of shifts)
  test(`machines between shards: ${name}`, () => {
    const capacityOf = new Map(capacity.map((cpus, i) => [shardId(i), cpus]));
    const actual = planCapacityTransfers(loads, capacityOf);
    assert.deepEqual(
      actual.map((shift) => `${shift.from}>${shift.to}:${Math.round(shift.cpus)}`),
      expected,
    );
  });
