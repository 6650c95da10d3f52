import assert from "node:assert/strict";
import test from "node:test";
import { decode, encode } from "../../src/protocol/cbor.js";
import { parseSubmission } from "../../src/protocol/jobs.js";

const SUBMISSION = {
  uid: "wk-000412",
  weave: "train",
  crew: "vision",
  pattern: "sweep",
  rank: "high",
  threads: 16,
  cpus: 8.0,
  gpus: 1.0,
  ramGb: 64.0,
  bolt: "img-07",
  imageGb: 6.2,
  frames: ["g8"],
  mill: null,
  oneZone: true,
  apart: false,
  remnant: true,
  expectS: 240.0,
  knotS: 30.0,
  spoolS: 4.0,
  dueS: 900.0,
};

const submissions: readonly (readonly [name: string, body: unknown, accepted: boolean])[] = [
  ["the protocol's example", SUBMISSION, true],
  ["unknown fields are ignored", { ...SUBMISSION, extra: 1 }, true],
  ["nullable fields may be omitted", { ...SUBMISSION, frames: undefined, dueS: undefined }, true],
  ...Object.keys(SUBMISSION).map((field): readonly [string, unknown, boolean] => [
    `without ${field}`,
    { ...SUBMISSION, [field]: undefined },
    ["frames", "mill", "dueS"].includes(field),
  ]),
  ["not a map", [1], false],
  ["null", null, false],
  ["an invalid id", { ...SUBMISSION, uid: "job-1" }, false],
  ["an id that contains a slash", { ...SUBMISSION, uid: "wk-1/2" }, false],
  ["no team", { ...SUBMISSION, crew: undefined }, false],
  ["an unknown pattern", { ...SUBMISSION, pattern: "dance" }, false],
  ["an unknown rank", { ...SUBMISSION, rank: "vip" }, false],
  ["no tasks", { ...SUBMISSION, threads: 0 }, false],
  ["too many tasks", { ...SUBMISSION, threads: 100_001 }, false],
  ["a fractional task count", { ...SUBMISSION, threads: 1.5 }, false],
  ["negative cpus", { ...SUBMISSION, cpus: -1 }, false],
  ["a number that is NaN", { ...SUBMISSION, ramGb: Number.NaN }, false],
  ["an infinite duration", { ...SUBMISSION, expectS: Number.POSITIVE_INFINITY }, false],
  ["a string for a boolean", { ...SUBMISSION, apart: "yes" }, false],
  ["machine types that are not strings", { ...SUBMISSION, frames: [1] }, false],
];

for (const [name, body, accepted] of submissions)
  test(`submission ${accepted ? "accepted" : "refused"}: ${name}`, () => {
    assert.equal(parseSubmission(decode(encode(body))).ok, accepted);
  });
