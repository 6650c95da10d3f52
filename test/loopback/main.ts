/**
 * `npm run loopback`: controllers as real processes, stand-ins for state store, cloud and workers
 * behind real sockets on 127.0.0.1. Bounded in time; writes its result as JSON.
 */
import { writeFileSync } from "node:fs";
import { Command } from "commander";
import { runCluster } from "./cluster.js";

const parseWhole = (text: string): number => Number.parseInt(text, 10);
/** Events that the result holds without `--events`. */
const REPORTED_EVENTS: ReadonlySet<string> = new Set([
  "ended",
  "exit",
  "span changed",
  "shard claimed",
]);
const parseJson = (text: string): Readonly<Record<string, unknown>> => JSON.parse(text);
const parseNumber = (text: string): number => Number.parseFloat(text);

const program = new Command("loopback")
  .option("--seed <n>", "seed of arrivals and run times", parseWhole, 1)
  .option("--controllers <n>", "controllers, and shards", parseWhole, 3)
  .option("--workers <n>", "machines that the cloud has", parseWhole, 100)
  .option("--teams <n>", "teams", parseWhole, 6)
  .option("--jobs-per-second <x>", "of each team on a quiet night", parseNumber, 1)
  .option("--burst-factor <x>", "how many times as many the busy team sends", parseNumber, 10)
  .option("--warm-up-s <s>", "time before anything is measured", parseNumber, 35)
  .option("--quiet-s <s>", "quiet spell", parseNumber, 40)
  .option("--burst-s <s>", "burst", parseNumber, 40)
  .option("--rest-s <s>", "most time for what is left after the burst", parseNumber, 60)
  .option(
    "--end-owner-after-s <s>",
    "kills the busy team's owner in the burst; 0: no",
    parseNumber,
    0,
  )
  .option("--guarantee <cpus>", "processors that each team is guaranteed", parseNumber, 40)
  .option("--limit <cpus>", "most processors of each team", parseNumber, 800)
  .option("--load-spread <json>", "the load_spread block", parseJson, {})
  .option("--out <file>", "where the result goes")
  .option("--events", "all events in the result, not only the controllers' ends");
program.parse();
const { out, events, ...options } = program.opts();
const result = await runCluster(options as Parameters<typeof runCluster>[0]);
const reported =
  events === true
    ? result.events
    : result.events.filter(({ event }) => REPORTED_EVENTS.has(String(event)));
const text = `${JSON.stringify({ ...result, events: reported }, null, 2)}\n`;
if (out === undefined) process.stdout.write(text);
else writeFileSync(out, text);
process.exit(0);
