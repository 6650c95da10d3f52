/** The retry delay of a job whose attempts failed. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs } from "@umberfold/ids";
import { JobBackoff } from "../../../src/coordination/ownership/job-backoff.js";

const NOW = monotonicMs(100_000);

const backoffAfterFailuresOn = (...machines: readonly string[]): JobBackoff => {
  const backoff = new JobBackoff();
  for (const machine of machines) backoff.recordFailure(machineId(machine), NOW);
  return backoff;
};

const delays: readonly { name: string; machines: readonly string[]; delayMs: number }[] = [
  { name: "no delay after failures on two machines", machines: ["a", "b", "b"], delayMs: -100_000 },
  { name: "one second after failures on three machines", machines: ["a", "b", "c"], delayMs: 1000 },
  {
    name: "twice as long after one more failure",
    machines: ["a", "b", "c", "c"],
    delayMs: 2000,
  },
  {
    name: "at most half a minute",
    machines: ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"],
    delayMs: 30_000,
  },
];

for (const { name, machines, delayMs } of delays)
  test(`job backoff: ${name}`, () => {
    assert.equal(backoffAfterFailuresOn(...machines).retryAt - NOW, delayMs);
  });

test("job backoff: a completion resets the failure count, but the job stays at fault", () => {
  const backoff = backoffAfterFailuresOn("a", "b", "c");
  backoff.recordCompletion();
  assert.equal(backoff.failureCount, 0);
  assert.equal(backoff.isJobAtFault, true);
  backoff.recordFailure(machineId("a"), NOW);
  assert.equal(backoff.retryAt - NOW, 250);
});

test("job backoff: half a second after an attempt that ended without an error of its own", () => {
  const backoff = new JobBackoff();
  backoff.recordInterruption(NOW);
  assert.equal(backoff.retryAt - NOW, 500);
  assert.equal(backoff.failureCount, 0);
});
