import assert from "node:assert/strict";
import test from "node:test";
import {
  attemptNumber,
  type JobId,
  jobId,
  KEY_ABSENT,
  machineId,
  revision,
  shardId,
} from "@umberfold/ids";
import type { JobProgress } from "../../src/storage/job-records.js";
import { keys } from "../../src/storage/keys.js";
import { encodeJobPage, progressBytes } from "../../src/storage/pages.js";
import { Replica } from "../../src/storage/replica.js";
import { maxPageBytes, TransactionBatch } from "../../src/storage/transaction-batch.js";

const SHARD = shardId(0);
const OWNER_REV = revision(3);
const PAGE_REV = revision(5);
/** A page is limited to about 1000 bytes, and a transaction to four changes. */
const LIMITS = { txnOps: 4, valueKb: 1.5, shardCount: 1 };
const PAGE_0 = keys.work(SHARD, 0);
const PAGE_1 = keys.work(SHARD, 1);

/** Returns progress with this many open attempts, each on a different machine. */
const progressOf = (openCount: number): JobProgress => ({
  done: [],
  open: Array.from({ length: openCount }, (_, index) => ({
    index,
    attempt: attemptNumber(1),
    machine: machineId(`m-${index}`),
  })),
  nextAttempt: openCount + 1,
});

/** Returns a replica whose shard has an owner and, if there are jobs, one page with them. */
const replicaWith = (jobs: ReadonlyMap<JobId, JobProgress>): Replica => {
  const replica = new Replica(1);
  const owner = { l: "controller-1", i: "1" };
  replica.apply({ kind: "put", key: keys.shard(SHARD), value: owner, rev: OWNER_REV });
  if (jobs.size > 0)
    replica.apply({ kind: "put", key: PAGE_0, value: encodeJobPage(jobs), rev: PAGE_REV });
  return replica;
};

const writtenPages = (batch: TransactionBatch): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    batch.transaction().ops.map((op) => [op.key, op.kind === "put" ? op.value : null]),
  );

test("the first job of a shard is written to a new page, conditional on its absence", () => {
  const batch = new TransactionBatch(replicaWith(new Map()), LIMITS);
  assert.equal(batch.putJob(SHARD, jobId("wk-1"), progressOf(1)), true);
  assert.deepEqual(writtenPages(batch), {
    [PAGE_0]: encodeJobPage([[jobId("wk-1"), progressOf(1)]]),
  });
  assert.deepEqual(batch.transaction().conditions, [
    { key: PAGE_0, rev: KEY_ABSENT },
    { key: keys.shard(SHARD), rev: OWNER_REV },
  ]);
});

test("changes of several jobs in one page are one change, conditional on its revision", () => {
  const jobs = new Map([
    [jobId("wk-1"), progressOf(1)],
    [jobId("wk-2"), progressOf(1)],
  ]);
  const batch = new TransactionBatch(replicaWith(jobs), LIMITS);
  assert.equal(batch.putJob(SHARD, jobId("wk-1"), progressOf(2)), true);
  assert.equal(batch.putJob(SHARD, jobId("wk-2"), null), true);
  assert.equal(batch.opCount, 1);
  assert.deepEqual(writtenPages(batch), {
    [PAGE_0]: encodeJobPage([[jobId("wk-1"), progressOf(2)]]),
  });
  assert.deepEqual(batch.transaction().conditions[0], { key: PAGE_0, rev: PAGE_REV });
});

test("a job that outgrows its page moves to another page and stays there", () => {
  const jobs = new Map([
    [jobId("wk-1"), progressOf(1)],
    [jobId("wk-2"), progressOf(30)],
  ]);
  const batch = new TransactionBatch(replicaWith(jobs), LIMITS);
  assert.equal(batch.putJob(SHARD, jobId("wk-1"), progressOf(40)), true);
  assert.equal(batch.putJob(SHARD, jobId("wk-1"), progressOf(41)), true);
  assert.deepEqual(writtenPages(batch), {
    [PAGE_0]: encodeJobPage([[jobId("wk-2"), progressOf(30)]]),
    [PAGE_1]: encodeJobPage([[jobId("wk-1"), progressOf(41)]]),
  });
});

test("a change beyond the limits is rejected and has no effect", () => {
  const batch = new TransactionBatch(replicaWith(new Map()), { ...LIMITS, txnOps: 2 });
  assert.ok(
    2 * progressBytes(progressOf(45)) > maxPageBytes(LIMITS),
    "each job needs a page of its own",
  );
  for (const [id, expected] of [
    ["wk-1", true],
    ["wk-2", true],
    ["wk-3", false],
  ] as const)
    assert.equal(batch.putJob(SHARD, jobId(id), progressOf(45)), expected, id);
  assert.deepEqual(Object.keys(writtenPages(batch)), [PAGE_0, PAGE_1]);
});

test("finishing a job deletes its progress and accepted record and writes its final record", () => {
  const id = jobId("wk-1");
  const batch = new TransactionBatch(replicaWith(new Map([[id, progressOf(1)]])), LIMITS);
  assert.equal(batch.finishJob(SHARD, id, revision(4), { phase: "done", done: 1 }), true);
  assert.equal(batch.isUrgent, true);
  assert.deepEqual(writtenPages(batch), {
    [PAGE_0]: encodeJobPage([]),
    [keys.live(id)]: null,
    [keys.final(id)]: { g: 1, n: 1 },
  });
  assert.deepEqual(batch.transaction().conditions.slice(2), [
    { key: keys.live(id), rev: revision(4) },
    { key: keys.final(id), rev: KEY_ABSENT },
  ]);
});
