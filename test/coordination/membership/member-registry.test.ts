/** Which members have been present long enough for a shard to be handed over to them. */
import assert from "node:assert/strict";
import test from "node:test";
import { controllerLabel, incarnation, monotonicMs } from "@umberfold/ids";
import { defaultOperators } from "../../../src/config/operators.js";
import type { ControllerContext } from "../../../src/coordination/context.js";
import {
  MemberRegistry,
  type Members,
} from "../../../src/coordination/membership/member-registry.js";

const HAND_BACK_MS = defaultOperators().shardReturnDelayS * 1000;

/** Members by incarnation; the first letter of each is the label. */
const membersOf = (...incarnations: readonly string[]): Members =>
  new Map(
    incarnations.map((name) => {
      const label = controllerLabel(name.slice(0, 1));
      return [label, { label, incarnation: incarnation(name) }];
    }),
  );

/** The members present at each time, and which of them are stable at the last time. */
const cases: readonly (readonly [
  name: string,
  observations: readonly (readonly [at: number, members: Members])[],
  stable: readonly string[],
])[] = [
  ["a member seen for the first time is not stable", [[0, membersOf("a1")]], []],
  [
    "a member is stable after the hand-back time",
    [
      [0, membersOf("a1")],
      [HAND_BACK_MS, membersOf("a1", "b1")],
    ],
    ["a"],
  ],
  [
    "the presence of a restarted member counts from its restart",
    [
      [0, membersOf("a1", "b1")],
      [HAND_BACK_MS, membersOf("a1", "b2")],
    ],
    ["a"],
  ],
  [
    "the presence of a member that was absent counts from its return",
    [
      [0, membersOf("a1", "b1")],
      [1000, membersOf("a1")],
      [HAND_BACK_MS, membersOf("a1", "b1")],
    ],
    ["a"],
  ],
];

for (const [name, observations, expected] of cases)
  test(`stable members: ${name}`, () => {
    const ctx = { operators: defaultOperators() } as unknown as ControllerContext;
    const registry = new MemberRegistry(ctx);
    let stable: ReadonlySet<string> = new Set();
    for (const [at, members] of observations)
      stable = registry.stableMembers(members, monotonicMs(at));
    assert.deepEqual([...stable], expected);
  });
