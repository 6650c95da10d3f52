// A machine stops; a task that it ran is left waiting, while another machine has room for it.
import path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, TROUBLE } from "../lib-2/case.mjs";
import { SITE } from "../lib-2/cluster.mjs";
import { now, sleep } from "../lib-2/wire.mjs";

const LIMIT_S = 90;
const folder = path.dirname(fileURLToPath(import.meta.url));
/** The users' `visit-planning`: 4 CPUs and 14 GB a task, 35 s typical, up to 150 s. */
const visits = (cluster, uid, crew, fields) =>
  cluster.spec(uid, {
    weave: "visit-planning", rank: "normal", crew, cpus: 4, ramGb: 14, bolt: "img-visits", imageGb: 0.1, expectS: 35, ...fields,
  });

await runCase(folder, { site: SITE, options: { capacity: () => 10, bootMs: () => 1500 } }, async (cluster) => {
  const need = async (what, test, ms) => {
    if (!(await cluster.until(what, test, ms))) throw new Error(`not reached: ${what}`);
  };
  const isFree = (worker, spec) => {
    const used = [...cluster.on].filter(([, loom]) => loom === worker.id).map(([thread]) => cluster.job(thread.split("/")[0]));
    return ["cpus", "gpus", "ramGb"].every(
      (kind) => used.reduce((sum, each) => sum + each[kind], 0) + spec[kind] <= worker.type[kind],
    );
  };

  // Two teams whose home shards differ, as any two of the ten may.
  await need("teams have shards", () => cluster.shardOfTeam("service-ops-09") !== undefined, 5000);
  const teams = SITE.teams.map(({ name }) => name);
  const crewA = teams[1];
  const crewB = teams.find((name) => cluster.shardOfTeam(name) !== cluster.shardOfTeam(crewA));

  // Job B: one task, which may run anywhere.
  const b = visits(cluster, "wk-000102", crewB, {});
  cluster.jobs.set(b.uid, { spec: b, done: new Set(), starts: 0, runMs: () => 140_000 });
  await cluster.submit(b);
  const last = `${b.uid}/0`;
  await need("job B runs", () => cluster.on.has(last), 15_000);
  const loomB = cluster.on.get(last);

  // Job A: one task, bound to another zone, so that it gets a machine of its own. Most of that
  // machine stays free.
  const mill = SITE.zones.find((zone) => zone !== cluster.zoneOf(loomB));
  const a = visits(cluster, "wk-000101", crewA, { mill });
  cluster.jobs.set(a.uid, { spec: a, done: new Set(), starts: 0, runMs: () => 140_000 });
  await cluster.submit(a);
  await need("job A runs", () => cluster.on.has(`${a.uid}/0`), 15_000);
  const loomA = cluster.on.get(`${a.uid}/0`);
  await sleep(2000);

  // The disruption: the machine stops with all that is on it.
  const stoppedAt = now();
  if (TROUBLE) {
    cluster.record("machine stops", { loom: loomB, on: last });
    cluster.cloud.fail(loomB);
  }
  let roomSince = now();
  let waitedS = 0;
  const end = Math.min(now() + (LIMIT_S + 3) * 1000, 113_500);
  let polledAt = 0;
  while (now() < end) {
    if (TROUBLE && cluster.on.has(last)) break;
    // Only time in which some other machine is up, fits and has room counts as waiting.
    const room = [...cluster.cloud.workers.values()].filter((worker) => worker.alive && isFree(worker, b));
    if (room.length === 0) roomSince = now();
    waitedS = cluster.on.has(last) ? 0 : (now() - roomSince) / 1000;
    if (now() - polledAt > 5000) {
      polledAt = now();
      await cluster.poll(b.uid);
      cluster.record("room", { waitedS: Math.round(waitedS), on: [...cluster.on], looms: room.map(({ id }) => id), rented: cluster.cloud.machines.size });
    }
    await sleep(100);
  }
  if (waitedS <= LIMIT_S)
    return { broken: false, text: `${last} runs ${((now() - stoppedAt) / 1000).toFixed(1)} s after the moment of the disruption` };
  return {
    broken: true,
    text: `${last} has waited ${waitedS.toFixed(1)} s since its machine ${loomB} stopped, while ${loomA} had room for it and its team has no limit`,
  };
});
