// A controller stands still while it answers a repeated submission. Meanwhile the job is cancelled
// through another controller. Then the first one goes on and answers with the older state.
import path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, TROUBLE } from "../lib-2/case.mjs";
import { SITE } from "../lib-2/cluster.mjs";
import { now, sleep } from "../lib-2/wire.mjs";

const STILL_MS = 3500;
/** Responses of the state service take "now and then a few hundred" milliseconds. */
const SLOW_MS = 250;
const folder = path.dirname(fileURLToPath(import.meta.url));

await runCase(folder, { site: SITE, options: { capacity: () => 10, bootMs: () => 1500 } }, async (cluster) => {
  const need = async (what, test, ms) => {
    if (!(await cluster.until(what, test, ms))) throw new Error(`not reached: ${what}`);
  };
  const crew = "service-ops-00";
  await need("the team's shard has an owner", () => cluster.ownerOfTeam(crew) !== undefined, 5000);
  const spec = cluster.spec("wk-000412", { crew, expectS: 60 });
  await cluster.submit(spec);
  await need("the job runs", () => cluster.on.has(`${spec.uid}/0`), 20_000);
  await sleep(1000);

  const owner = cluster.ownerOfTeam(crew);
  const still = [...cluster.nodes.keys()].find((label) => label !== owner && label !== cluster.leader())
    ?? [...cluster.nodes.keys()].find((label) => label !== owner);

  // The user repeats the submission. The state service answers at once, but its answer takes a while.
  const slowUntil = now() + 700;
  cluster.store.fault = (label, _method, call) =>
    label === still && call === "/txn" && now() < slowUntil ? { after: sleep(SLOW_MS) } : undefined;
  const repeated = cluster.ask(still, "POST", "/work", spec, 5000).then((answer) => ({ answer, at: now() }));
  await sleep(120);
  if (TROUBLE) {
    cluster.signal(still, "SIGSTOP");
    setTimeout(() => cluster.signal(still, "SIGCONT"), STILL_MS);
  }
  await sleep(500);
  const stage = await cluster.withdraw(spec.uid, owner);
  const toldAt = now();
  if (stage !== "cancelled") throw new Error(`the cancellation was answered with ${stage}`);
  const { answer, at } = await repeated;
  const afterS = ((at - toldAt) / 1000).toFixed(1);
  const later = answer?.body?.stage;
  cluster.record("answers", { told: stage, by: owner, toldAt, repeated: answer?.status, stage: later, from: still, at });
  if (answer === undefined) return { broken: false, text: "the repeated submission got no answer in 5 s" };
  const isOlder = at > toldAt && answer.status === 200 && later !== "cancelled";
  return {
    broken: isOlder,
    text: isOlder
      ? `${afterS} s after ${owner} had told the user "cancelled", ${still} answered him "${later}"`
      : `the repeated submission got ${answer.status} ${later ?? ""}, ${afterS} s after the user was told "cancelled"`,
  };
});
