/** How a batch distributes job progress over pages within the limits of values and transactions. */
import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, jobId, machineId, revision, shardId } from "@umberfold/ids";
import type { Transaction } from "../../src/protocol/store.js";
import type { JobProgress } from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { TransactionBatch } from "../../src/storage/transaction-batch.js";

const LIMITS = { txnOps: 16, valueKb: 8, shardCount: 3 };
const SHARD = shardId(0);

/** Returns the progress of a job with this many open attempts, each on a different machine. */
const openAttempts = (count: number): JobProgress => ({
  done: [],
  open: Array.from({ length: count }, (_, index) => ({
    index,
    attempt: attemptNumber(index + 1),
    machine: machineId(`m-${String(index).padStart(6, "0")}`),
  })),
  nextAttempt: count + 1,
});

const applyPuts = (replica: Replica, ops: Transaction["ops"], rev: number): void => {
  for (const op of ops)
    if (op.kind === "put")
      replica.apply({ kind: "put", key: op.key, value: op.value, rev: revision(rev) });
};

test("a batch splits pages at the value limit and rejects jobs over the transaction limit", () => {
  const replica = new Replica();
  replica.apply({
    kind: "put",
    key: "now/share/0",
    value: { l: "a", i: "1" },
    rev: revision(1),
  });
  const batch = new TransactionBatch(replica, LIMITS);
  let written = 0;
  // 40 jobs of 100 open attempts exceed the limits of one transaction.
  for (let i = 0; i < 40; i++)
    if (batch.putJob(SHARD, jobId(`wk-${i}`), openAttempts(100))) written++;
  const transaction = batch.transaction();
  assert.ok(written > 5 && written < 40, `${written} written`);
  assert.ok(transaction.ops.length <= LIMITS.txnOps);
  assert.ok(JSON.stringify(transaction).length <= 64 * 1024);
  for (const op of transaction.ops)
    assert.ok(op.kind === "put" && JSON.stringify(op.value).length <= LIMITS.valueKb * 1024);
  // The replica reads the jobs back from the written pages. A job that outgrows its page is moved.
  applyPuts(replica, transaction.ops, 2);
  const openOn = (machine: string): number =>
    replica.shardJobs(SHARD).openAttemptsOn(machineId(machine)).size;
  assert.equal(openOn("m-000003"), written);
  const first = jobId("wk-0");
  const pageBefore = replica.shardJobs(SHARD).pageKeyOf(first);
  const grown = new TransactionBatch(replica, LIMITS);
  assert.ok(grown.putJob(SHARD, first, openAttempts(270)));
  applyPuts(replica, grown.transaction().ops, 3);
  assert.notEqual(replica.shardJobs(SHARD).pageKeyOf(first), pageBefore);
  assert.equal(openOn("m-000003"), written);
  assert.equal(openOn("m-000269"), 1);
});
