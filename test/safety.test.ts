import assert from "node:assert/strict";
import test from "node:test";
import { type Trouble, World } from "./sim/world.js";

const days: readonly (readonly [string, number, Trouble])[] = [
  ["quiet", 1, { lost: 0, crashes: false, outages: false, deaths: false }],
  ["lost and late messages", 2, { lost: 0.03, crashes: false, outages: false, deaths: false }],
  ["controllers crash", 3, { lost: 0, crashes: true, outages: false, deaths: false }],
  ["outages", 4, { lost: 0, crashes: false, outages: true, deaths: false }],
  ["machines die and hang", 5, { lost: 0.01, crashes: false, outages: false, deaths: true }],
  ["all together", 6, { lost: 0.02, crashes: true, outages: true, deaths: true }],
  ["all together, other luck", 7, { lost: 0.03, crashes: true, outages: true, deaths: true }],
];

for (const [name, seed, trouble] of days)
  test(`the rules hold over a simulated day: ${name}`, async () => {
    const w = new World(seed, trouble);
    await w.day(25);
    assert.deepEqual(w.broken, []);
    assert.ok(w.starts.length > 0, "something ran");
    for (const [id, j] of w.jobs) {
      assert.ok(j.accepted, `${id} is accepted`);
      assert.ok(j.told !== null, `${id} comes to its end`);
    }
  });
