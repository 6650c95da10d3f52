import assert from "node:assert/strict";
import test from "node:test";
import { jobId, wallClockMs } from "@umberfold/ids";
import { decode, encode } from "../../src/protocol/cbor.js";
import { parseSubmission } from "../../src/protocol/jobs.js";
import { encodeAcceptedJob, parseAcceptedJob } from "../../src/storage/records.js";

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

test("the stored form of an accepted job preserves all its fields", () => {
  const parsed = parseSubmission(SUBMISSION);
  assert.ok(parsed.ok);
  const job = {
    spec: parsed.value,
    acceptedAt: wallClockMs(1_700_000_000_000),
    cancelledAt: wallClockMs(1_700_000_001_000),
    shard: null,
  };
  assert.deepEqual(
    parseAcceptedJob(jobId("wk-000412"), decode(encode(encodeAcceptedJob(job)))),
    job,
  );
});
