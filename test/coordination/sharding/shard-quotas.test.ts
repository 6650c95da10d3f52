/** The limits and guarantees of one team within each shard, depending on its span. */
import assert from "node:assert/strict";
import test from "node:test";
import { revision, shardId, teamName } from "@umberfold/ids";
import { FULL_SHARE } from "@umberfold/spans";
import { ShardQuotas } from "../../../src/coordination/sharding/shard-quotas.js";
import { encodeTeams } from "../../../src/storage/cluster-records.js";
import { keys } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";

const TEAM = teamName("ops one");
const HOME = shardId(0);
const HALF = FULL_SHARE / 2;
const SHARDS = 3;
const UNLIMITED = Number.POSITIVE_INFINITY;

const halves = {
  f: 1,
  h: 0,
  e: [
    [0, 0, HALF, HALF, 0],
    [1, 0, HALF, HALF, 0],
  ],
};

/** How much of a limit of 24 and a guarantee of 8 processors each shard may use. */
const cases: readonly {
  readonly name: string;
  readonly span?: unknown;
  readonly limits: readonly number[];
  readonly guarantees: readonly number[];
}[] = [
  // No team has a span, so nothing is divided: a shard is queried only for its own teams.
  { name: "no team has a span: the whole quota", limits: [24, 24, 24], guarantees: [8, 8, 8] },
  {
    name: "a span of two halves: half the quota in each of its shards",
    span: halves,
    limits: [12, 12, 0],
    guarantees: [4, 4, 0],
  },
  {
    name: "a span that can't be read: no quota in any shard",
    span: { f: 2 },
    limits: [0, 0, 0],
    guarantees: [0, 0, 0],
  },
  {
    name: "a span with another home shard: no quota in any shard",
    span: { f: 1, h: 1, e: [[1, 0, FULL_SHARE, FULL_SHARE, 0]] },
    limits: [0, 0, 0],
    guarantees: [0, 0, 0],
  },
  {
    name: "a span with a shard that doesn't exist: no quota in any shard",
    span: {
      f: 1,
      h: 0,
      e: [
        [0, 0, HALF, HALF, 0],
        [9, 0, HALF, HALF, 0],
      ],
    },
    limits: [0, 0, 0],
    guarantees: [0, 0, 0],
  },
];

const quotasOf = (span: unknown, cpusMax: number): ShardQuotas => {
  const replica = new Replica(SHARDS);
  const home = encodeTeams(new Map([[TEAM, HOME]]));
  replica.apply({ kind: "put", key: keys.teams, value: home, rev: revision(1) });
  if (span !== undefined)
    replica.apply({ kind: "put", key: keys.span(TEAM), value: span, rev: revision(2) });
  const team = { name: TEAM, cpus: 8, gpus: 0, cpusMax, gpusMax: UNLIMITED };
  return new ShardQuotas(replica, new Map([[TEAM, team]]));
};

for (const { name, span, limits, guarantees } of cases)
  test(`quotas by shard: ${name}`, () => {
    const quotas = quotasOf(span, 24);
    for (let n = 0; n < SHARDS; n++) {
      const team = quotas.teamsForShard(shardId(n)).get(TEAM);
      assert.equal(team?.cpusMax, limits[n]);
      assert.equal(team?.cpus, guarantees[n]);
      assert.equal(team?.gpusMax, UNLIMITED);
    }
  });

test("after a change of the limit in the settings, the span divides the new limit", () => {
  assert.equal(quotasOf(halves, 10).teamsForShard(shardId(1)).get(TEAM)?.cpusMax, 5);
  assert.equal(quotasOf(halves, UNLIMITED).teamsForShard(shardId(1)).get(TEAM)?.cpusMax, UNLIMITED);
});
