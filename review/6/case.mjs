// After a burst of jobs that only one small zone may run, another job of the same team is left waiting,
// although its team is far below its limit and a machine elsewhere has room.
import path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, TROUBLE } from "../lib-2/case.mjs";
import { CAPACITY_2, SITE_2 } from "../lib-2/cluster.mjs";
import { now, sleep } from "../lib-2/wire.mjs";

const LIMIT_S = 90;
const folder = path.dirname(fileURLToPath(import.meta.url));
const capacity = (frame, mill, remnant) => CAPACITY_2[frame][mill][remnant ? 1 : 0];

/** The users' `order-close` (2 CPUs, up to 102 tasks, 9 s typical, up to 30 s) and `prep-sheets` (8 CPUs, 60 s typical). */
const orders = { weave: "order-close", rank: "high", cpus: 2, ramGb: 7.3, bolt: "img-orders", imageGb: 0.1, expectS: 9, dueS: 300 };
const sheets = { weave: "prep-sheets", rank: "normal", cpus: 8, ramGb: 17, bolt: "img-sheets", imageGb: 0.1, expectS: 60, knotS: 15, spoolS: 3, dueS: 600 };

await runCase(folder, { site: SITE_2, options: { capacity, bootMs: () => 1500 } }, async (cluster) => {
  const need = async (what, test, ms) => {
    if (!(await cluster.until(what, test, ms))) throw new Error(`not reached: ${what}`);
  };
  const usedOn = (loom) => [...cluster.on].filter(([, each]) => each === loom).map(([thread]) => cluster.job(thread.split("/")[0]));
  const sum = (specs, kind) => specs.reduce((total, spec) => total + spec[kind], 0);
  const isFree = (worker, spec) =>
    ["cpus", "gpus", "ramGb"].every((kind) => sum(usedOn(worker.id), kind) + spec[kind] <= worker.type[kind]);
  const add = (spec, runMs) => {
    cluster.jobs.set(spec.uid, { spec, done: new Set(), starts: 0, runMs: () => runMs });
    return cluster.submit(spec);
  };

  await need("teams have shards", () => cluster.shardOfTeam("kitchen-platform-09") !== undefined, 5000);
  const teams = SITE_2.teams.map(({ name }) => name);
  const crewX = teams[0];
  const crewW = teams.find((name) => cluster.shardOfTeam(name) !== cluster.shardOfTeam(crewX));

  // Team W closes small orders all the time: one task of 5 s every 12 s, on a large machine of its own.
  let count = 0;
  const closeOrder = () =>
    add(cluster.spec(`wk-0002${String(++count).padStart(2, "0")}`, { ...orders, crew: crewW, frames: ["large-rack"], mill: "pangyo-a" }), 5000);
  await closeOrder();
  await need("W's first order runs", () => cluster.on.has("wk-000201/0"), 15_000);
  const loomW = cluster.on.get("wk-000201/0");
  const stream = setInterval(() => void closeOrder(), 12_000);

  // Team X closes orders that only the zone busan-d may run, where the cloud has two machines. The
  // disruption: they come several times as often, for a moment.
  const arrays = TROUBLE ? 3 : 1;
  for (let i = 0; i < arrays; i++)
    await add(cluster.spec(`wk-00010${i}`, { ...orders, crew: crewX, mill: "busan-d", threads: TROUBLE ? 40 : 18 }), 30_000);
  cluster.record("burst over", { arrays });
  await need("X's orders run", () => cluster.on.has("wk-000100/0"), 20_000);
  await sleep(1000);

  // Team X submits a prep sheet that may run anywhere.
  const sheet = cluster.spec("wk-000199", { ...sheets, crew: crewX });
  await add(sheet, 60_000);
  const thread = `${sheet.uid}/0`;
  const acceptedAt = now();
  let since = now();
  let waitedS = 0;
  let polledAt = 0;
  const end = Math.min(now() + (LIMIT_S + 3) * 1000, 114_000);
  while (now() < end && !cluster.on.has(thread)) {
    const used = sum([...cluster.on.keys()].map((each) => cluster.job(each.split("/")[0])).filter(({ crew }) => crew === crewX), "cpus");
    const room = [...cluster.cloud.workers.values()].filter((worker) => worker.alive && isFree(worker, sheet)).map(({ id }) => id);
    // Only time in which W's machine has room and X is below its limit counts as waiting.
    if (!room.includes(loomW) || used + sheet.cpus > 96) since = now();
    waitedS = (now() - since) / 1000;
    if (now() - polledAt > 5000) {
      polledAt = now();
      await cluster.poll(sheet.uid);
      cluster.record("room", { waitedS: Math.round(waitedS), usedByTeam: used, looms: room, rented: cluster.cloud.machines.size });
    }
    await sleep(100);
  }
  clearInterval(stream);
  if (cluster.on.has(thread)) return { broken: waitedS > LIMIT_S, text: `${thread} runs ${((now() - acceptedAt) / 1000).toFixed(1)} s after it was accepted` };
  return {
    broken: waitedS > LIMIT_S,
    text: `${thread} has waited ${waitedS.toFixed(1)} s, while ${loomW} had room for it and its team used at most 32 of 96 CPUs`,
  };
});
