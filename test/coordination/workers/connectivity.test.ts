/** What a controller concludes from hearing nothing: are the machines gone, or the way to them? */
import assert from "node:assert/strict";
import test from "node:test";
import {
  assessConnectivity,
  type Connectivity,
  type ConnectivityView,
} from "../../../src/coordination/workers/connectivity.js";

const BASE: ConnectivityView = {
  known: 200,
  quietMs: 0,
  mostUnreached: false,
  reportMs: 5000,
  silenceMs: 6500,
  leaseMs: 29_000,
};

const cases: readonly {
  name: string;
  view: Partial<ConnectivityView>;
  expected: Connectivity;
}[] = [
  {
    name: "connected while some machines are heard",
    view: { quietMs: 300 },
    expected: "connected",
  },
  {
    name: "suspect when none of two hundred was heard for a second",
    view: { quietMs: 1000 },
    expected: "suspect",
  },
  {
    // Cut from its workers, a controller returned 87 machines one by one before it noticed.
    name: "disconnected when none was heard for longer",
    view: { quietMs: 4000 },
    expected: "disconnected",
  },
  {
    name: "connected when none of a few was heard for a second, which is chance",
    view: { known: 8, quietMs: 1000 },
    expected: "connected",
  },
  {
    name: "suspect when none of a few was heard for half of what makes one silent",
    view: { known: 8, quietMs: 3300 },
    expected: "suspect",
  },
  {
    name: "connected when there are too few machines to tell",
    view: { known: 3, quietMs: 20_000 },
    expected: "connected",
  },
  {
    name: "disconnected when machines are heard, but hardly any call is answered",
    view: { mostUnreached: true, quietMs: 100 },
    expected: "disconnected",
  },
  {
    name: "abandoned when none was heard for so long that no lease can have lasted",
    view: { quietMs: 60_000 },
    expected: "abandoned",
  },
];

for (const { name, view, expected } of cases)
  test(`connectivity: ${name}`, () => {
    assert.equal(assessConnectivity({ ...BASE, ...view }), expected);
  });
