import assert from "node:assert/strict";
import test from "node:test";
import { divideSockets, minSockets } from "../../src/transport/sockets.js";

/**
 * Guards against one kind of connection using the sockets of another, also when a single controller
 * serves all workers of a fleet of 886 or 1,458 machines after a failover.
 */
test("the sockets of all kinds of connections add up to less than the limit", () => {
  for (const [maxSockets, controllerCount] of [
    [1062, 3],
    [2150, 5],
    [1200, 3],
    [minSockets(3), 3],
    [minSockets(9), 9],
  ] as const) {
    const budget = divideSockets(maxSockets, controllerCount);
    const all = Object.values(budget).reduce((sum, sockets) => sum + sockets, 0);
    assert.ok(all + budget.internal < maxSockets, `${maxSockets}: ${JSON.stringify(budget)}`);
    assert.ok(
      Object.values(budget).every((sockets) => sockets >= 4),
      JSON.stringify(budget),
    );
  }
});
