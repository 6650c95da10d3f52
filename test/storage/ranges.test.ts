import assert from "node:assert/strict";
import test from "node:test";
import { rangesAdd, rangesCount, rangesHas, rangesMissing } from "../../src/storage/ranges.js";

test("ranges add, count, find and list missing task indexes", () => {
  const finished = [5, 0, 1, 3, 2, 9, 2].reduce(rangesAdd, [] as readonly number[]);
  assert.deepEqual(finished, [0, 3, 5, 5, 9, 9]);
  assert.equal(rangesCount(finished), 6);
  assert.deepEqual(
    [0, 3, 4, 5, 8, 9, 10].map((task) => rangesHas(finished, task)),
    [true, true, false, true, false, true, false],
  );
  assert.deepEqual([...rangesMissing(finished, 12, new Set([6]))], [4, 7, 8, 10, 11]);
  assert.deepEqual([...rangesMissing([0, 11], 12, new Set())], []);
});
