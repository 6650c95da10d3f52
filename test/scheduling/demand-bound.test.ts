/** `demandBound`: the processors that finish all work within its windows. */
import assert from "node:assert/strict";
import test from "node:test";
import { demandBound } from "../../src/scheduling/demand-bound.js";

/** Work as window in seconds and processor seconds; the bound in processors. */
const cases: readonly [
  name: string,
  due: readonly (readonly [windowS: number, cpuSeconds: number])[],
  expected: number,
][] = [
  ["no work needs none", [], 0],
  ["one job needs its work over its window", [[10, 100]], 10],
  [
    "a patient job follows a pressing one on the same processors",
    [
      [10, 100],
      [100, 900],
    ],
    10,
  ],
  [
    "two pressing jobs add up",
    [
      [10, 100],
      [10, 50],
    ],
    15,
  ],
  [
    "much patient work decides the bound",
    [
      [10, 100],
      [100, 1900],
    ],
    20,
  ],
];

for (const [name, due, expected] of cases)
  test(`demand bound: ${name}`, () => {
    assert.equal(
      demandBound(due.map(([windowS, cpuSeconds]) => ({ windowS, cpuSeconds }))),
      expected,
    );
  });
