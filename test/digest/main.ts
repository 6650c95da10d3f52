/**
 * `npm run digest`: plays a fixed set of days and compares what crossed the wire on each with the
 * committed digest. Each day has a process of its own, a few of them at a time.
 */
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs, promisify } from "node:util";
import { DIGEST_DAYS, type DigestDay } from "./days.js";
import { playDay } from "./play.js";

const EXPECTED = "test/digest/expected.txt";
const DEFAULT_JOBS = "4";

const { values: options } = parseArgs({
  options: {
    update: { type: "boolean", default: false },
    trace: { type: "string" },
    day: { type: "string" },
    jobs: { type: "string", default: DEFAULT_JOBS },
    /** How the command calls itself: plays this day and prints its line alone. */
    play: { type: "string" },
  },
});

const dayNamed = (name: string): DigestDay => {
  const day = DIGEST_DAYS.find((candidate) => candidate.name === name);
  if (day === undefined)
    throw new Error(`no day ${name} among ${DIGEST_DAYS.map(({ name: known }) => known)}`);
  return day;
};

const nameOf = (line: string): string => line.split(" ")[0] as string;

const playInProcess = async (day: DigestDay): Promise<string> => {
  const trace = options.trace === undefined ? [] : ["--trace", options.trace];
  const args = [fileURLToPath(import.meta.url), "--play", day.name, ...trace];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return stdout.trim();
};

/** Plays the days, so many at a time, and returns their lines in the days' order. */
const playAll = async (days: readonly DigestDay[], jobs: number): Promise<readonly string[]> => {
  const lines: string[] = [];
  let next = 0;
  const playNext = async (): Promise<void> => {
    for (let i = next++; i < days.length; i = next++)
      lines[i] = await playInProcess(days[i] as DigestDay);
  };
  await Promise.all(Array.from({ length: jobs }, playNext));
  return lines;
};

/** Lines of the committed digest by the names of their days. */
const readExpected = (): ReadonlyMap<string, string> =>
  new Map(
    readFileSync(EXPECTED, "utf8")
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => [nameOf(line), line]),
  );

/** What differs from the committed digest, a line for each day; days not played don't count. */
const differences = (lines: readonly string[], whole: boolean): readonly string[] => {
  const expected = readExpected();
  const played = new Set(lines.map(nameOf));
  const changed = lines
    .filter((line) => expected.get(nameOf(line)) !== line)
    .map((line) => `differs: ${line}, expected ${expected.get(nameOf(line)) ?? "nothing"}`);
  const missing = whole ? [...expected.keys()].filter((name) => !played.has(name)) : [];
  return [...changed, ...missing.map((name) => `not played: ${name}`)];
};

/** Replaces the lines of the days that were played, and all lines if all were. */
const update = (lines: readonly string[], whole: boolean): void => {
  const kept = whole ? new Map<string, string>() : new Map(readExpected());
  for (const line of lines) kept.set(nameOf(line), line);
  writeFileSync(EXPECTED, `${[...kept.values()].join("\n")}\n`);
};

const main = async (): Promise<void> => {
  if (options.play !== undefined) {
    console.log(await playDay(dayNamed(options.play), options.trace));
    return;
  }
  const whole = options.day === undefined;
  const days = options.day === undefined ? DIGEST_DAYS : [dayNamed(options.day)];
  const jobs = Number(options.jobs);
  if (!Number.isInteger(jobs) || jobs < 1) throw new Error("--jobs must be a whole number above 0");
  const lines = await playAll(days, jobs);
  for (const line of lines) console.log(line);
  if (options.update) {
    update(lines, whole);
    return;
  }
  const wrong = differences(lines, whole);
  for (const line of wrong) console.log(line);
  console.log(wrong.length === 0 ? "the digest is as expected" : `${wrong.length} differ`);
  if (wrong.length > 0) process.exitCode = 1;
};

await main();
