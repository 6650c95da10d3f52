// Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
import path from "node:path";
import { Cluster } from "./cluster.mjs";
import { sleep } from "./wire.mjs";

/** With `TROUBLE=0` the same happens without the disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";
const LIMIT_MS = 116_000;

/** `body(cluster)` returns `{broken, text}`, or throws an error if the case couldn't run. */
export const runCase = async (folder, { site, options }, body) => {
  const cluster = new Cluster(site, options);
  const finish = async (code, text) => {
    cluster.record("result", { code, text });
    process.stdout.write(`${code === 1 ? "BROKEN" : code === 0 ? "held" : "could not run"}: ${text}\n`);
    cluster.writeRecord(process.env.RECORD ?? path.join(folder, "record.txt"));
    await cluster.stop();
    process.exit(code);
  };
  const timeout = sleep(LIMIT_MS).then(() => finish(2, "the time is over"));
  for (const name of ["SIGINT", "SIGTERM"]) process.on(name, () => void finish(2, name));
  for (const name of ["uncaughtException", "unhandledRejection"])
    process.on(name, (error) => void finish(2, String(error?.stack ?? error)));
  try {
    cluster.record("case", { trouble: TROUBLE });
    await cluster.start();
    if (!(await cluster.ready())) throw new Error("the controllers are not ready");
    const { broken, text } = await body(cluster);
    await finish(broken ? 1 : 0, text);
  } catch (error) {
    await finish(2, String(error?.stack ?? error));
  }
  await timeout;
};
