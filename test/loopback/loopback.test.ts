/**
 * A short run with real processes and sockets. It asserts on counts and on the order of events, but
 * not on times, which depend on the machine; `npm run loopback` measures those.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { runCluster } from "./cluster.js";

test("loopback: a burst is spread and all jobs complete although an owner is killed", async () => {
  const result = await runCluster({
    seed: 1,
    controllers: 3,
    workers: 12,
    teams: 3,
    jobsPerSecond: 0.5,
    burstFactor: 12,
    warmUpS: 8,
    quietS: 0,
    burstS: 8,
    restS: 240,
    endOwnerAfterS: 6,
    loadSpread: {
      enabled: true,
      min_tasks: 10,
      grow_after_s: 0.5,
      shrink_after_s: 2,
      imbalance: 1.05,
      period_ms: 250,
    },
    guarantee: 8,
    limit: 96,
  });
  assert.deepEqual(result.violations, []);
  assert.ok(result.jobs > 20, `${result.jobs} jobs`);
  assert.equal(result.done, result.jobs);
  const firstIndexOf = (event: string): number =>
    result.events.findIndex((logged) => logged.event === event);
  const killed = result.events.filter(
    ({ event, signal }) => event === "exit" && signal === "SIGKILL",
  );
  assert.equal(killed.length, 4, "the killed owner, and all three controllers at the end");
  const spanChangeIndex = firstIndexOf("span changed");
  assert.ok(spanChangeIndex >= 0, "a span grew");
  assert.ok(
    firstIndexOf("quota handed on") > spanChangeIndex,
    "quota was transferred after the span grew",
  );
});
