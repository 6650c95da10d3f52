/** `consolidateTargets`: unusable parts of targets are collected for a waiting task. */
import assert from "node:assert/strict";
import test from "node:test";
import { consolidateTargets, type ShardLoad } from "@umberfold/load-spread";
import { FULL_SHARE } from "@umberfold/spans";
import { HOME, MILLIONTH, millionths, OTHER, shardLoad, spanOf, teamLoad } from "./fixtures.js";

const cases: readonly (readonly [string, readonly ShardLoad[], readonly number[]])[] = [
  [
    "unusable parts of both shards let the shard with the oldest job start one more task",
    [
      shardLoad(HOME, {
        waitingTaskCount: 5,
        largestTaskShare: millionths(333_000),
        demandShare: FULL_SHARE,
        oldestAcceptedAt: 2,
      }),
      shardLoad(OTHER, {
        waitingTaskCount: 5,
        largestTaskShare: millionths(333_000),
        demandShare: FULL_SHARE,
        oldestAcceptedAt: 1,
      }),
    ],
    [334_000, 666_000],
  ],
  [
    "the unused target of an idle shard is given to a waiting task of another shard",
    [
      shardLoad(HOME, {
        waitingTaskCount: 1,
        usedShare: millionths(400_000),
        largestTaskShare: millionths(400_000),
        demandShare: millionths(800_000),
        oldestAcceptedAt: 1,
      }),
    ],
    [800_000, 200_000],
  ],
];
for (const [name, rows, expected] of cases)
  test(`consolidated targets: ${name}`, () => {
    const targets = new Map([
      [HOME, 500_000 * MILLIONTH],
      [OTHER, 500_000 * MILLIONTH],
    ]);
    const consolidated = consolidateTargets(teamLoad(spanOf(OTHER), rows), spanOf(OTHER), targets);
    assert.deepEqual(
      [...consolidated.values()].map((n) => n / MILLIONTH),
      expected,
    );
  });
