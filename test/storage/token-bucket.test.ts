import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { TokenBucket } from "../../src/storage/token-bucket.js";

const at = monotonicMs;

/** A bucket of 10 tokens a second that holds 5, full at time 0. */
const newBucket = (): TokenBucket => new TokenBucket(10, 5, at(0));

test("take gives what is in the bucket and no more until it refills", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(5, at(0)), true);
  assert.equal(bucket.take(1, at(0)), false);
  assert.equal(bucket.waitMs(1, at(0)), 100);
  assert.equal(bucket.take(1, at(99)), false);
  assert.equal(bucket.take(1, at(100)), true);
});

test("a bucket never fills beyond its capacity", () => {
  const bucket = newBucket();
  assert.equal(bucket.fillFraction(at(60_000)), 1);
  assert.equal(bucket.take(5, at(60_000)), true);
  assert.equal(bucket.take(1, at(60_000)), false);
});

test("more than the capacity is let through when full, and paid off before the next", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(15, at(0)), true);
  assert.equal(bucket.fillFraction(at(0)), 0);
  assert.equal(bucket.waitMs(1, at(0)), 1100);
  assert.equal(bucket.take(1, at(1099)), false);
  assert.equal(bucket.take(1, at(1100)), true);
});

test("takeWithDebt needs only its minimum, and the debt delays the next", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(4, at(0)), true);
  assert.equal(bucket.takeWithDebt(5, 2, at(0)), false);
  assert.equal(bucket.takeWithDebt(5, 1, at(0)), true);
  assert.equal(bucket.waitMs(1, at(0)), 500);
});

test("forceTake takes what isn't there", () => {
  const bucket = newBucket();
  bucket.forceTake(7, at(0));
  assert.equal(bucket.waitMs(1, at(0)), 300);
});

test("drain empties a bucket and leaves a debt as it is", () => {
  const full = newBucket();
  full.drain(at(0));
  assert.equal(full.waitMs(1, at(0)), 100);
  const indebted = newBucket();
  indebted.forceTake(7, at(0));
  indebted.drain(at(0));
  assert.equal(indebted.waitMs(1, at(0)), 300);
});

test("reconfigure counts what came in at the old rate, then uses the new rate and capacity", () => {
  const bucket = newBucket();
  assert.equal(bucket.take(5, at(0)), true);
  bucket.reconfigure(1, 2, at(100));
  assert.equal(bucket.waitMs(2, at(100)), 1000);
  assert.equal(bucket.waitMs(9, at(100)), 1000);
});

test("a bucket of less than one token still lets one through when full", () => {
  const bucket = new TokenBucket(0.5, 0.5, at(0));
  assert.equal(bucket.take(1, at(0)), false);
  assert.equal(bucket.take(1, at(1000)), true);
});
