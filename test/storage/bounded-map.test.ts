/** Which entry a full map evicts. */
import assert from "node:assert/strict";
import test from "node:test";
import { BoundedMap } from "../../src/storage/bounded-map.js";

test("a bounded map evicts the entry that was added first, also if it was set again", () => {
  const map = new BoundedMap<string, number>(2);
  for (const [key, value] of [
    ["a", 1],
    ["b", 2],
    ["a", 3],
  ] as const)
    map.set(key, value);
  assert.deepEqual([map.get("a"), map.get("b")], [3, 2]);
  map.set("c", 4);
  assert.deepEqual([map.has("a"), map.get("b"), map.get("c")], [false, 2, 4]);
});
