/** Whether silence of many machines is theirs or the network's. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  assessConnectivity,
  type Connectivity,
  type ConnectivityView,
} from "../../../src/coordination/workers/connectivity.js";

/** Two hundred machines, the newest heartbeat just now. */
const BASE: ConnectivityView = {
  known: 200,
  silentMs: 0,
  mostUnreached: false,
  heartbeatPeriodMs: 5000,
  silenceMs: 6500,
  leaseMs: 29_000,
};

const cases: readonly (readonly [string, Partial<ConnectivityView>, Connectivity])[] = [
  ["some send heartbeats", { silentMs: 300 }, "connected"],
  ["none of two hundred for a second: the network is in doubt", { silentMs: 1000 }, "suspect"],
  // Cut off from its workers, a controller returned 87 machines one by one before it noticed.
  ["none for longer", { silentMs: 4000 }, "disconnected"],
  ["none of a few for a second is chance", { known: 8, silentMs: 1000 }, "connected"],
  [
    "none of a few for half the silence of a failed machine",
    { known: 8, silentMs: 3300 },
    "suspect",
  ],
  ["too few to tell", { known: 3, silentMs: 20_000 }, "connected"],
  [
    "heartbeats come, but hardly any call is answered",
    { mostUnreached: true, silentMs: 100 },
    "disconnected",
  ],
  ["for so long that no lease can have lasted", { silentMs: 60_000 }, "abandoned"],
];

for (const [name, view, expected] of cases)
  test(`connectivity: ${name}: ${expected}`, () =>
    assert.equal(assessConnectivity({ ...BASE, ...view }), expected));
