import { writeFileSync } from "node:fs";
import { Command } from "commander";
import { runCluster } from "./cluster.js";

/**
 * The loopback cluster as a command: controllers as real processes, stand-ins for state service,
 * cloud and workers behind real sockets on 127.0.0.1. Bounded in time; writes its result as JSON.
 */
const whole = (text: string): number => Number.parseInt(text, 10);
/** Events that the result holds without `--events`. */
const TOLD: ReadonlySet<string> = new Set(["ended", "exit", "span changed", "claim"]);
const json = (text: string): Readonly<Record<string, unknown>> => JSON.parse(text);
const number = (text: string): number => Number.parseFloat(text);

const program = new Command("loopback")
  .option("--seed <n>", "seed of arrivals and run times", whole, 1)
  .option("--controllers <n>", "controllers, and shards", whole, 3)
  .option("--workers <n>", "machines that the cloud has", whole, 100)
  .option("--teams <n>", "teams", whole, 6)
  .option("--jobs-per-second <x>", "of each team on a quiet night", number, 1)
  .option("--burst-factor <x>", "how many times as many the busy team sends", number, 10)
  .option("--warm-up-s <s>", "time before anything is measured", number, 35)
  .option("--quiet-s <s>", "quiet spell", number, 40)
  .option("--burst-s <s>", "burst", number, 40)
  .option("--rest-s <s>", "most time for what is left after the burst", number, 60)
  .option("--end-owner-after-s <s>", "ends the busy team's owner in the burst; 0: no", number, 0)
  .option("--guarantee <cpus>", "processors that each team is guaranteed", number, 40)
  .option("--limit <cpus>", "most processors of each team", number, 800)
  .option("--load-spread <json>", "the load_spread block", json, {})
  .option("--out <file>", "where the result goes")
  .option("--events", "all events in the result, not only the controllers' ends");
program.parse();
const { out, events, ...options } = program.opts();
const result = await runCluster(options as Parameters<typeof runCluster>[0]);
const told =
  events === true ? result.events : result.events.filter((e) => TOLD.has(String(e.event)));
const text = `${JSON.stringify({ ...result, events: told }, null, 2)}\n`;
if (out === undefined) process.stdout.write(text);
else writeFileSync(out, text);
process.exit(0);
