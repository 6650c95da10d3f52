/**
 * A short run with real processes and sockets: counts and the order of events, never times. How long
 * things take is for `npm run loopback`.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { runCluster } from "./cluster.js";

test("on the loopback cluster a burst is spread and every job is done though an owner is killed", async () => {
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
  assert.equal(killed.length, 4, "the owner that was killed, and all three at the end");
  const grewAt = firstIndexOf("span changed");
  assert.ok(grewAt >= 0, "a span grew");
  assert.ok(firstIndexOf("quota handed on") > grewAt, "and quota went after it");
});
