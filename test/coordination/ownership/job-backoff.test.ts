/** When a job that failed may start again. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs } from "@umberfold/ids";
import { JobBackoff } from "../../../src/coordination/ownership/job-backoff.js";

const NOW = monotonicMs(100_000);

const failedOn = (...machines: readonly string[]): JobBackoff => {
  const backoff = new JobBackoff();
  for (const machine of machines) backoff.recordFailure(machineId(machine), NOW);
  return backoff;
};

const waits: readonly { name: string; machines: readonly string[]; waitMs: number }[] = [
  { name: "no wait after failures on two machines", machines: ["a", "b", "b"], waitMs: -100_000 },
  { name: "a second after failures on three machines", machines: ["a", "b", "c"], waitMs: 1000 },
  {
    name: "twice as long after one more failure",
    machines: ["a", "b", "c", "c"],
    waitMs: 2000,
  },
  {
    name: "half a minute at most",
    machines: ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"],
    waitMs: 30_000,
  },
];

for (const { name, machines, waitMs } of waits)
  test(`job backoff: ${name}`, () => {
    assert.equal(failedOn(...machines).retryAt - NOW, waitMs);
  });

test("job backoff: a completion ends the row of failures, and the job stays under suspicion", () => {
  const backoff = failedOn("a", "b", "c");
  backoff.recordCompletion();
  assert.equal(backoff.failureCount, 0);
  assert.equal(backoff.isJobAtFault, true);
  backoff.recordFailure(machineId("a"), NOW);
  assert.equal(backoff.retryAt - NOW, 250);
});

test("job backoff: half a second after an attempt that ended by no error of its own", () => {
  const backoff = new JobBackoff();
  backoff.recordInterruption(NOW);
  assert.equal(backoff.retryAt - NOW, 500);
  assert.equal(backoff.failureCount, 0);
});
