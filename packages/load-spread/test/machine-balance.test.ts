/** `planCapacityTransfers`: how much capacity is transferred between which shards. */
import assert from "node:assert/strict";
import test from "node:test";
import { shardId, teamName } from "@umberfold/ids";
import { planCapacityTransfers, type TeamLoad } from "@umberfold/load-spread";
import { shardLoad, teamLoad } from "./fixtures.js";

const loadWithDemand = (team: string, ...cpus: readonly number[]): TeamLoad => ({
  ...teamLoad(
    undefined,
    cpus.map((demandCpus, i) => shardLoad(shardId(i), { waitingTaskCount: 1, demandCpus })),
  ),
  team: teamName(team),
});

const cases: readonly (readonly [string, readonly TeamLoad[], readonly number[], string[]])[] = [
  [
    "a shard whose team has less than its fair share receives capacity from the shard of the burst",
    [loadWithDemand("burst", 1000, 0), loadWithDemand("quiet", 0, 100)],
    [260, 40],
    ["0>1:30"],
  ],
  [
    "no shard gives capacity that its own teams need",
    [loadWithDemand("a", 100, 0), loadWithDemand("b", 0, 100)],
    [50, 50],
    [],
  ],
  [
    "a shard with a small deficit receives nothing",
    [loadWithDemand("a", 100, 0), loadWithDemand("b", 0, 100)],
    [105, 95],
    [],
  ],
];
for (const [name, loads, capacity, expected] of cases)
  test(`capacity transfers: ${name}`, () => {
    const capacityOf = new Map(capacity.map((cpus, i) => [shardId(i), cpus]));
    const actual = planCapacityTransfers(loads, capacityOf);
    assert.deepEqual(
      actual.map(({ from, to, cpus }) => `${from}>${to}:${Math.round(cpus)}`),
      expected,
    );
  });
