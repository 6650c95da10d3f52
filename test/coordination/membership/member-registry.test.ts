/** Which members have been present for long enough to be handed a shard. */
import assert from "node:assert/strict";
import test from "node:test";
import { controllerLabel, incarnation, monotonicMs } from "@umberfold/ids";
import { defaultOperators } from "../../../src/config/operators.js";
import type { ControllerContext } from "../../../src/coordination/context.js";
import {
  MemberRegistry,
  type Members,
} from "../../../src/coordination/membership/member-registry.js";

const HAND_BACK_MS = defaultOperators().handBackS * 1000;

const membersOf = (...starts: readonly string[]): Members =>
  new Map(
    starts.map((start) => {
      const label = controllerLabel(start.slice(0, 1));
      return [label, { label, incarnation: incarnation(start) }];
    }),
  );

/** When which members are seen, and who is stable at the last of these moments. */
const cases: readonly (readonly [
  name: string,
  sightings: readonly (readonly [at: number, members: Members])[],
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
    "a restarted member begins anew",
    [
      [0, membersOf("a1", "b1")],
      [HAND_BACK_MS, membersOf("a1", "b2")],
    ],
    ["a"],
  ],
  [
    "a member that was absent in between begins anew",
    [
      [0, membersOf("a1", "b1")],
      [1000, membersOf("a1")],
      [HAND_BACK_MS, membersOf("a1", "b1")],
    ],
    ["a"],
  ],
];

for (const [name, sightings, expected] of cases)
  test(`stable members: ${name}`, () => {
    const ctx = { operators: defaultOperators() } as unknown as ControllerContext;
    const registry = new MemberRegistry(ctx);
    let stable: ReadonlySet<string> = new Set();
    for (const [at, members] of sightings)
      stable = registry.stableMembers(members, monotonicMs(at));
    assert.deepEqual([...stable], expected);
  });
