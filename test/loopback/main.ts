/**
 * `npm run loopback`: runs real controller processes against stand-ins for the state store, the
 * cloud and the workers, which serve real sockets on 127.0.0.1. Takes a bounded time and writes its
 * result as JSON.
 */
import { writeFileSync } from "node:fs";
import { Command } from "commander";
import { runCluster } from "./cluster.js";

const parseInteger = (text: string): number => Number.parseInt(text, 10);
/** Events that the result contains unless `--events` is given. */
const REPORTED_EVENTS: ReadonlySet<string> = new Set([
  "ended",
  "exit",
  "span changed",
  "shard claimed",
]);
const parseJson = (text: string): Readonly<Record<string, unknown>> => JSON.parse(text);
const parseNumber = (text: string): number => Number.parseFloat(text);

const program = new Command("loopback")
  .option("--seed <n>", "seed of the submission times, job sizes and run times", parseInteger, 1)
  .option("--controllers <n>", "number of controllers and of shards", parseInteger, 3)
  .option("--workers <n>", "number of machines that the cloud offers", parseInteger, 100)
  .option("--teams <n>", "number of teams", parseInteger, 6)
  .option("--jobs-per-second <x>", "jobs per second of each team under steady load", parseNumber, 1)
  .option(
    "--burst-factor <x>",
    "factor by which the busy team submits more jobs in the burst",
    parseNumber,
    10,
  )
  .option("--warm-up-s <s>", "duration before measurement starts", parseNumber, 35)
  .option("--quiet-s <s>", "duration of the measured steady load", parseNumber, 40)
  .option("--burst-s <s>", "duration of the burst", parseNumber, 40)
  .option("--rest-s <s>", "longest wait for remaining jobs after the burst", parseNumber, 60)
  .option(
    "--end-owner-after-s <s>",
    "kill the owner of the busy team's home shard this long after the burst began; 0: never",
    parseNumber,
    0,
  )
  .option("--guarantee <cpus>", "guaranteed processors of each team", parseNumber, 40)
  .option("--limit <cpus>", "processor limit of each team", parseNumber, 800)
  .option("--load-spread <json>", "load_spread block of the packages file", parseJson, {})
  .option("--out <file>", "file for the result instead of standard output")
  .option(
    "--events",
    "include all events in the result, not only exits, span changes and shard claims",
  );
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
