import assert from "node:assert/strict";
import test from "node:test";
import { runCluster } from "./cluster.js";

/**
 * A short run with real processes and sockets: counts and the order of events, never times. How long
 * things take is for `npm run loopback`.
 */
test("on the loopback cluster a burst is spread, an owner ends, and every job is done", async () => {
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
  assert.deepEqual(result.broken, []);
  assert.ok(result.jobs > 20, `${result.jobs} jobs`);
  assert.equal(result.done, result.jobs);
  const logged = (event: string): number => result.events.findIndex((e) => e.event === event);
  const ended = result.events.filter((e) => e.event === "exit" && e.signal === "SIGKILL");
  assert.equal(ended.length, 4, "the owner that was ended, and all three at the end");
  const joined = logged("span changed");
  assert.ok(joined >= 0, "a span grew");
  assert.ok(logged("quota handed on") > joined, "and quota went after it");
});
