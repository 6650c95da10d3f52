/** Whether the silence of many machines is attributed to them or to the controller's network. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  assessConnectivity,
  type Connectivity,
  type ConnectivityInputs,
} from "../../../src/coordination/workers/connectivity.js";

/** 200 machines, of which one has just sent a heartbeat. */
const BASE: ConnectivityInputs = {
  machineCount: 200,
  silentMs: 0,
  mostAreUnreachable: false,
  heartbeatPeriodMs: 5000,
  silenceTimeoutMs: 6500,
  workerLeaseMs: 29_000,
};

const cases: readonly (readonly [string, Partial<ConnectivityInputs>, Connectivity])[] = [
  ["heartbeats arrived recently", { silentMs: 300 }, "connected"],
  ["no heartbeat of 200 machines for one second", { silentMs: 1000 }, "suspect"],
  // Without this case a controller cut off from its workers returned 87 machines one by one.
  ["no heartbeat of 200 machines for four seconds", { silentMs: 4000 }, "disconnected"],
  [
    "no heartbeat of 8 machines for one second may be chance",
    { machineCount: 8, silentMs: 1000 },
    "connected",
  ],
  [
    "no heartbeat of 8 machines for half the silence timeout",
    { machineCount: 8, silentMs: 3300 },
    "suspect",
  ],
  [
    "fewer than 4 machines are no evidence of a network failure",
    { machineCount: 3, silentMs: 20_000 },
    "connected",
  ],
  [
    "heartbeats arrive, but most machines don't answer calls",
    { mostAreUnreachable: true, silentMs: 100 },
    "disconnected",
  ],
  ["silence longer than two worker leases", { silentMs: 60_000 }, "abandoned"],
];

for (const [name, inputs, expected] of cases)
  test(`connectivity: ${name}: ${expected}`, () =>
    assert.equal(assessConnectivity({ ...BASE, ...inputs }), expected));
