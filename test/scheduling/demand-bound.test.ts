/** `demandBound`: the minimum number of processors that finish all work within its windows. */
import assert from "node:assert/strict";
import test from "node:test";
import { demandBound } from "../../src/scheduling/demand-bound.js";

/** Due work as pairs of window and processor seconds, and the expected bound in processors. */
const cases: readonly [
  name: string,
  due: readonly (readonly [windowS: number, cpuSeconds: number])[],
  expected: number,
][] = [
  ["no work needs no processors", [], 0],
  ["one job needs its work divided by its window", [[10, 100]], 10],
  [
    "a job with a long window runs after one with a short window on the same processors",
    [
      [10, 100],
      [100, 900],
    ],
    10,
  ],
  [
    "two jobs with the same short window add up",
    [
      [10, 100],
      [10, 50],
    ],
    15,
  ],
  [
    "much work with a long window determines the bound",
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
