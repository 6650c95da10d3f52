import assert from "node:assert/strict";
import test from "node:test";
import { decode, encode } from "../../src/protocol/cbor.js";
import { parseWorkerStatus } from "../../src/protocol/workers.js";

const STATUS = {
  loom: "m-000231",
  endpoint: "10.1.0.232:9000",
  frame: "g8",
  mill: "a",
  remnant: true,
  shift: 1,
  tally: 88,
  baton: 41,
  warningS: null,
  threads: [{ thread: "wk-000398/0", try: 1, stage: "ended", cause: "done" }],
};
const statuses: readonly (readonly [name: string, body: unknown, accepted: boolean])[] = [
  ["the protocol's example", STATUS, true],
  ["no tasks", { ...STATUS, threads: [] }, true],
  ["not a map", "heartbeat", false],
  ["no epoch", { ...STATUS, shift: undefined }, false],
  ["one malformed task", { ...STATUS, threads: [{ thread: "x" }] }, false],
  [
    "a task with a phase of a later version",
    { ...STATUS, threads: [{ thread: "wk-1/0", try: 1, stage: "waiting" }] },
    true,
  ],
];

for (const [name, body, accepted] of statuses)
  test(`worker status ${accepted ? "accepted" : "refused"}: ${name}`, () => {
    assert.equal(parseWorkerStatus(decode(encode(body))) !== undefined, accepted);
  });
