/** `consolidateTargets`: no part of a quota is left that a waiting task would fit into. */
import assert from "node:assert/strict";
import test from "node:test";
import { consolidateTargets, type ShardLoad } from "@umberfold/load-spread";
import { FULL_SHARE } from "@umberfold/spans";
import { HOME, MILLIONTH, millionths, OTHER, shardLoad, spanOf, teamLoad } from "./fixtures.js";

const fragments: readonly (readonly [string, readonly ShardLoad[], readonly number[]])[] = [
  [
    "what neither shard can use alone lets the one that waits longer start one more",
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
    "an idle shard's minimum share is lent to a task that waits",
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
for (const [name, rows, expected] of fragments)
  test(`fragments of a quota: ${name}`, () => {
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
