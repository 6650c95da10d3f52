import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { TokenBucket } from "../../src/storage/token-bucket.js";

const at = monotonicMs;

/** Returns a bucket with a rate of 10 tokens per second and a capacity of 5, full at time 0. */
const newBucket = (): TokenBucket => new TokenBucket(10, 5, at(0));

test("take succeeds until the bucket is empty, and again after a refill", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(5, at(0)), true);
  assert.equal(bucket.take(1, at(0)), false);
  assert.equal(bucket.waitMs(1, at(0)), 100);
  assert.equal(bucket.take(1, at(99)), false);
  assert.equal(bucket.take(1, at(100)), true);
});

test("a bucket is never refilled beyond its capacity", () => {
  const bucket = newBucket();
  assert.equal(bucket.fillFraction(at(60_000)), 1);
  assert.equal(bucket.take(5, at(60_000)), true);
  assert.equal(bucket.take(1, at(60_000)), false);
});

test("a call that costs more than the capacity needs a full bucket and leaves a debt", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(15, at(0)), true);
  assert.equal(bucket.fillFraction(at(0)), 0);
  assert.equal(bucket.waitMs(1, at(0)), 1100);
  assert.equal(bucket.take(1, at(1099)), false);
  assert.equal(bucket.take(1, at(1100)), true);
});

test("takeWithDebt needs only minTokens, and its debt delays the next call", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(4, at(0)), true);
  assert.equal(bucket.takeWithDebt(5, 2, at(0)), false);
  assert.equal(bucket.takeWithDebt(5, 1, at(0)), true);
  assert.equal(bucket.waitMs(1, at(0)), 500);
});

test("forceTake takes more tokens than the bucket has", () => {
  const bucket = newBucket();
  bucket.forceTake(7, at(0));
  assert.equal(bucket.waitMs(1, at(0)), 300);
});

test("drain empties a bucket but keeps a debt", () => {
  const full = newBucket();
  full.drain(at(0));
  assert.equal(full.waitMs(1, at(0)), 100);
  const indebted = newBucket();
  indebted.forceTake(7, at(0));
  indebted.drain(at(0));
  assert.equal(indebted.waitMs(1, at(0)), 300);
});

test("reconfigure first refills at the old rate, then uses the new rate and capacity", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(5, at(0)), true);
  bucket.reconfigure(1, 2, at(100));
  assert.equal(bucket.waitMs(2, at(100)), 1000);
  assert.equal(bucket.waitMs(9, at(100)), 1000);
});

test("a bucket with a burst below one token has a capacity of one token", () => {
  const bucket = new TokenBucket(0.5, 0.5, at(0));
  assert.equal(bucket.take(1, at(0)), false);
  assert.equal(bucket.take(1, at(1000)), true);
});
