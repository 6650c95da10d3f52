/**
 * `npm test`: runs all tests, prints their report, and passes over the failures that KNOWN-RED.txt
 * lists.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { judgeRun, parseKnownRed } from "./known-red.js";

const LIST = "KNOWN-RED.txt";
const packages = readdirSync("packages").map((name) => `target-test/packages/${name}/test`);
const files = ["target-test/test", ...packages.filter((dir) => existsSync(dir))].flatMap((dir) =>
  readdirSync(dir, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".test.js"))
    .map((file) => path.resolve(dir, file)),
);
const list = parseKnownRed(existsSync(LIST) ? readFileSync(LIST, "utf8") : "");
const failed: string[] = [];
const passed: string[] = [];
const stream = run({ files, concurrency: true });
stream.on("test:fail", ({ name }) => failed.push(name));
stream.on("test:pass", ({ name }) => passed.push(name));
stream.compose(tap).pipe(process.stdout);
stream.on("end", () => {
  const verdict = judgeRun(list.ok ? list.known : [], failed, passed);
  if (!list.ok) console.log(`# ${list.reason}`);
  for (const line of verdict.lines) console.log(`# ${line}`);
  process.exitCode = list.ok && verdict.ok ? 0 : 1;
});
