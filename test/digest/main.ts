/**
 * `npm run digest`: simulates a fixed set of days and compares a hash of all calls and replies of
 * each day with the committed digest. Each day runs in its own process, a few of them in parallel.
 */
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs, promisify } from "node:util";
import { DIGEST_DAYS, type DigestDay } from "./days.js";
import { playDay } from "./play.js";

const EXPECTED_FILE = "test/digest/expected.txt";
const DEFAULT_PARALLEL_DAYS = "4";

const { values: options } = parseArgs({
  options: {
    update: { type: "boolean", default: false },
    trace: { type: "string" },
    day: { type: "string" },
    jobs: { type: "string", default: DEFAULT_PARALLEL_DAYS },
    /** Used by the command for its child processes: simulates this day and prints only its line. */
    play: { type: "string" },
  },
});

const dayNamed = (name: string): DigestDay => {
  const day = DIGEST_DAYS.find((candidate) => candidate.name === name);
  if (day === undefined)
    throw new Error(
      `unknown day ${name}; the days are ${DIGEST_DAYS.map(({ name: known }) => known).join(", ")}`,
    );
  return day;
};

const dayNameOf = (line: string): string => line.split(" ")[0] as string;

const playInProcess = async (day: DigestDay): Promise<string> => {
  const trace = options.trace === undefined ? [] : ["--trace", options.trace];
  const args = [fileURLToPath(import.meta.url), "--play", day.name, ...trace];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return stdout.trim();
};

/**
 * Simulates the days, at most `maxParallel` at once, and returns their lines in the days' order.
 */
const playAll = async (
  days: readonly DigestDay[],
  maxParallel: number,
): Promise<readonly string[]> => {
  const lines: string[] = [];
  let next = 0;
  const playNext = async (): Promise<void> => {
    for (let i = next++; i < days.length; i = next++)
      lines[i] = await playInProcess(days[i] as DigestDay);
  };
  await Promise.all(Array.from({ length: maxParallel }, playNext));
  return lines;
};

/** Lines of the committed digest, by day name. */
const readExpected = (): ReadonlyMap<string, string> =>
  new Map(
    readFileSync(EXPECTED_FILE, "utf8")
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => [dayNameOf(line), line]),
  );

/**
 * Describes each day that differs from the committed digest. A committed day that was not played is
 * a difference only if all days were to be played.
 */
const differences = (lines: readonly string[], isComplete: boolean): readonly string[] => {
  const expected = readExpected();
  const played = new Set(lines.map(dayNameOf));
  const changed = lines
    .filter((line) => expected.get(dayNameOf(line)) !== line)
    .map((line) => `differs: ${line}, expected ${expected.get(dayNameOf(line)) ?? "nothing"}`);
  const missing = isComplete ? [...expected.keys()].filter((name) => !played.has(name)) : [];
  return [...changed, ...missing.map((name) => `not played: ${name}`)];
};

/**
 * Writes the digest: replaces the lines of the played days, or all lines if all days were played.
 */
const update = (lines: readonly string[], isComplete: boolean): void => {
  const kept = isComplete ? new Map<string, string>() : new Map(readExpected());
  for (const line of lines) kept.set(dayNameOf(line), line);
  writeFileSync(EXPECTED_FILE, `${[...kept.values()].join("\n")}\n`);
};

const main = async (): Promise<void> => {
  if (options.play !== undefined) {
    console.log(await playDay(dayNamed(options.play), options.trace));
    return;
  }
  const isComplete = options.day === undefined;
  const days = options.day === undefined ? DIGEST_DAYS : [dayNamed(options.day)];
  const maxParallel = Number(options.jobs);
  if (!Number.isInteger(maxParallel) || maxParallel < 1)
    throw new Error(`--jobs must be an integer of at least 1, not ${options.jobs}`);
  const lines = await playAll(days, maxParallel);
  for (const line of lines) console.log(line);
  if (options.update) {
    update(lines, isComplete);
    return;
  }
  const differing = differences(lines, isComplete);
  for (const line of differing) console.log(line);
  console.log(differing.length === 0 ? "the digest is as expected" : `${differing.length} differ`);
  if (differing.length > 0) process.exitCode = 1;
};

await main();
