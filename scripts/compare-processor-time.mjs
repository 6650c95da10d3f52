/**
 * Compares the processor time of two built checkouts of this repository:
 *
 *     node scripts/compare-processor-time.mjs BEFORE AFTER [--pairs N] [--json]
 *         [--day-before PATTERN] [--day-after PATTERN]
 *
 * Two workloads are measured by the user and system time of a single process: a large simulated
 * day, run by the one test whose name matches PATTERN, and a series of starts that only check their
 * settings. The checkouts are measured in pairs of alternating order (before, after, after, before,
 * ...), one process at a time, so that a temporary slowdown of the machine affects both. Nothing
 * inside a checkout is imported: the test file is found by the test's name, and the start command
 * is read from the run line of `deploy/service.toml`.
 *
 * The exit code doesn't depend on the ratio; it is 1 only if the measurement failed.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { parse } from "smol-toml";
import { minimalSettings } from "./minimal-settings.mjs";

const USAGE = `usage: npm run measure:processor -- BEFORE AFTER [--pairs N] [--json]
    [--day-before PATTERN] [--day-after PATTERN]

BEFORE and AFTER are directories of built checkouts; PATTERN is a regular expression that the name
of exactly one test matches.`;
const DEFAULT_PAIRS = "5";
const DEFAULT_DAY = "^at a few hundred machines writes and calls follow what starts";
/** Starts in one measurement of the second workload. */
const START_COUNT = 20;

const PRELOAD = fileURLToPath(new URL("report-processor-time.cjs", import.meta.url));
const REPORT_DESCRIPTOR = 3;
const TEST_NAME = /\b(?:test|it)\(\s*(["'`])((?:\\.|(?!\1).)*)\1/g;

/** The settings are only checked; nothing listens at these addresses. */
const SETTINGS = minimalSettings({
  label: "processor-time",
  front: "127.0.0.1:18001",
  internal: "127.0.0.1:18002",
  cloud: "127.0.0.1:18003",
  state: "127.0.0.1:18004",
});

/** A reason why the measurement failed, printed without a stack trace. */
class MeasurementError extends Error {}

/** Runs Node in a checkout. Returns its processor time in seconds and its output. */
const runNode = (directory, flags) => {
  const result = spawnSync(process.execPath, ["--require", PRELOAD, ...flags], {
    cwd: directory,
    encoding: "utf8",
    maxBuffer: Number.POSITIVE_INFINITY,
    stdio: ["ignore", "pipe", "pipe", "pipe"],
  });
  const command = `node ${flags.join(" ")}`;
  if (result.error) throw new MeasurementError(`${directory}: ${command}: ${result.error.message}`);
  if (result.status !== 0)
    throw new MeasurementError(
      `${directory}: ${command} ended with ${result.status ?? result.signal}:\n${result.stdout}${result.stderr}`,
    );
  const usage = JSON.parse(result.output[REPORT_DESCRIPTOR]);
  return { seconds: (usage.user + usage.system) / 1e6, output: result.stdout };
};

/** The compiled test files of a checkout, as paths within it. */
const testFiles = (directory) =>
  readdirSync(path.join(directory, "target-test"), { recursive: true })
    .filter((file) => file.endsWith(".test.js"))
    .map((file) => path.join("target-test", file));

/** The names of the tests in a compiled file. Finds only names that are literals in the source. */
const testNames = (source) => [...source.matchAll(TEST_NAME)].map(([, , name]) => name);

/**
 * Returns file and name of the only test whose name matches the pattern. Throws unless exactly one
 * matches.
 */
const findTest = (directory, pattern) => {
  const matches = testFiles(directory).flatMap((file) =>
    testNames(readFileSync(path.join(directory, file), "utf8"))
      .filter((name) => pattern.test(name))
      .map((name) => ({ file, name })),
  );
  if (matches.length === 1) return matches[0];
  const found = matches.map(({ file, name }) => `\n  ${file}: ${name}`).join("");
  throw new MeasurementError(
    `${directory}: ${matches.length} tests match ${pattern}, exactly one must (set --day-before ` +
      `or --day-after; target-test may also contain compiled files of deleted tests)${found}`,
  );
};

/** Node's arguments in the run line of the checkout's `deploy/service.toml`, up to `--config`. */
const runLineArguments = (directory) => {
  const file = path.join(directory, "deploy", "service.toml");
  if (!existsSync(file))
    throw new MeasurementError(`${directory} is not a checkout: ${file} is missing`);
  const { run } = parse(readFileSync(file, "utf8"));
  const [program, ...rest] = run.trim().split(/\s+/);
  if (program !== "node" || rest.at(-1) !== "--config")
    throw new MeasurementError(`${file}: the run line must be "node ... --config", but is: ${run}`);
  return rest;
};

/** Throws if required build outputs of a checkout are missing. */
const checkBuilt = (directory, startArguments) => {
  const required = startArguments.filter((argument) => argument.startsWith("target/"));
  const missing = [...required, "target-test"].filter(
    (file) => !existsSync(path.join(directory, file)),
  );
  if (missing.length > 0)
    throw new MeasurementError(
      `${directory} isn't built, ${missing.join(" and ")} missing: ` +
        "run npm run build && npx tsc -b tsconfig.test.json there",
    );
};

const escapeRegExp = (text) => text.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");

/** Runs the simulated day once. Throws if its test fails, since it may have ended early. */
const measureDay = ({ directory, day }) => {
  const name = `--test-name-pattern=${escapeRegExp(day.name)}`;
  const { seconds, output } = runNode(directory, ["--test-reporter=tap", name, day.file]);
  if (!/^# pass 1$/m.test(output))
    throw new MeasurementError(`${directory}: "${day.name}" didn't pass once:\n${output}`);
  return seconds;
};

/** Starts the program `START_COUNT` times in sequence and returns the total processor time. */
const measureStarts = ({ directory, startArguments }, settingsFile) => {
  let total = 0;
  for (let start = 0; start < START_COUNT; start++)
    total += runNode(directory, [...startArguments, settingsFile, "--check"]).seconds;
  return total;
};

/** Measures both checkouts in alternating order: before, after, after, before, ... */
const measurePairs = (sides, pairs, measure) => {
  const seconds = { before: [], after: [] };
  for (let pair = 0; pair < pairs; pair++) {
    const order = pair % 2 === 0 ? ["before", "after"] : ["after", "before"];
    for (const side of order) seconds[side].push(measure(sides[side]));
  }
  return seconds;
};

const median = (values) => {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
};

/**
 * `spread` is the difference between the largest and the smallest value, relative to the median.
 */
const summarize = (seconds) => {
  const min = Math.min(...seconds);
  return {
    median: median(seconds),
    min,
    spread: (Math.max(...seconds) - min) / median(seconds),
    seconds,
  };
};

/** Summarizes both checkouts, the ratio of their medians, and the range of ratios within pairs. */
const compare = (workload, { before, after }) => {
  const ratios = after.map((seconds, pair) => seconds / before[pair]);
  return {
    workload,
    before: summarize(before),
    after: summarize(after),
    ratio: median(after) / median(before),
    pairRatios: { min: Math.min(...ratios), max: Math.max(...ratios) },
  };
};

const formatSide = (name, { median, min, spread }) =>
  `  ${name.padEnd(6)}  median ${median.toFixed(3)} s  min ${min.toFixed(3)} s  ` +
  `spread ${(100 * spread).toFixed(1)}%`;

const formatComparison = ({ workload, before, after, ratio, pairRatios }) =>
  [
    workload,
    formatSide("before", before),
    formatSide("after", after),
    `  after/before ${ratio.toFixed(3)} (pairs ${pairRatios.min.toFixed(3)} to ${pairRatios.max.toFixed(3)})`,
  ].join("\n");

const parsePattern = (text) => {
  try {
    return new RegExp(text);
  } catch (error) {
    throw new MeasurementError(error.message);
  }
};

/** Parses and validates the command line. */
const readOptions = () => {
  const options = {
    pairs: { type: "string", default: DEFAULT_PAIRS },
    json: { type: "boolean", default: false },
    "day-before": { type: "string", default: DEFAULT_DAY },
    "day-after": { type: "string", default: DEFAULT_DAY },
  };
  let parsed;
  try {
    parsed = parseArgs({ options, allowPositionals: true });
  } catch (error) {
    throw new MeasurementError(`${error.message}\n${USAGE}`);
  }
  const { values, positionals } = parsed;
  const pairs = Number(values.pairs);
  if (positionals.length !== 2 || !Number.isInteger(pairs) || pairs < 1)
    throw new MeasurementError(USAGE);
  const [before, after] = positionals.map((directory) => path.resolve(directory));
  return {
    pairs,
    json: values.json,
    before: { directory: before, pattern: parsePattern(values["day-before"]) },
    after: { directory: after, pattern: parsePattern(values["day-after"]) },
  };
};

/** Collects the inputs for measuring a checkout. Throws if it isn't built. */
const prepareSide = ({ directory, pattern }) => {
  const startArguments = runLineArguments(directory);
  checkBuilt(directory, startArguments);
  return { directory, startArguments, day: findTest(directory, pattern) };
};

const measure = ({ before, after, pairs, json }) => {
  const sides = { before: prepareSide(before), after: prepareSide(after) };
  const temporary = mkdtempSync(path.join(tmpdir(), "processor-time-"));
  try {
    const settingsFile = path.join(temporary, "settings.toml");
    writeFileSync(settingsFile, SETTINGS);
    const starts = (side) => measureStarts(side, settingsFile);
    const comparisons = [
      compare("large simulated day", measurePairs(sides, pairs, measureDay)),
      compare(`${START_COUNT} starts`, measurePairs(sides, pairs, starts)),
    ];
    if (json) console.log(JSON.stringify({ pairs, comparisons }, null, 2));
    else
      console.log(
        [`Processor time, ${pairs} pairs`, ...comparisons.map(formatComparison)].join("\n\n"),
      );
  } finally {
    rmSync(temporary, { recursive: true });
  }
};

try {
  measure(readOptions());
} catch (error) {
  if (!(error instanceof MeasurementError)) throw error;
  console.error(error.message);
  process.exitCode = 1;
}
