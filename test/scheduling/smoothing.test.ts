/** `smoothToward`: exponential smoothing. */
import assert from "node:assert/strict";
import test from "node:test";
import { smoothToward } from "../../src/scheduling/smoothing.js";

test("a smoothed level follows a rise and a fall each with its own time constant", () => {
  assert.equal(smoothToward(10, 20, 1, 0, 60), 20);
  assert.ok(Math.abs(smoothToward(10, 0, 60, 15, 60) - 10 / Math.E) < 1e-9);
  assert.ok(Math.abs(smoothToward(0, 10, 15, 15, 60) - 10 * (1 - 1 / Math.E)) < 1e-9);
});
