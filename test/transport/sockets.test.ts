import assert from "node:assert/strict";
import test from "node:test";
import { minSockets, socketParts } from "../../src/transport/sockets.js";

/** All workers of a fleet of 886 and of 1,458 at one survivor must leave each kind its part. */
test("the parts of the sockets stay below the limit", () => {
  for (const [maxSockets, members] of [
    [1062, 3],
    [2150, 5],
    [1200, 3],
    [minSockets(3), 3],
    [minSockets(9), 9],
  ] as const) {
    const parts = socketParts(maxSockets, members);
    const all = Object.values(parts).reduce((sum, sockets) => sum + sockets, 0);
    assert.ok(all + parts.inner < maxSockets, `${maxSockets}: ${JSON.stringify(parts)}`);
    assert.ok(
      Object.values(parts).every((sockets) => sockets >= 4),
      JSON.stringify(parts),
    );
  }
});
