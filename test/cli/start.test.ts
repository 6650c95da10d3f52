import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import test from "node:test";

const BUILT_FILES = ["start.cjs", "umberfold.cjs", "umberfold.cache"];

/** Copies only the given built files to a temporary directory, which is removed afterwards. */
const withBuiltCopy = (files: readonly string[], use: (target: string) => void): void => {
  const directory = mkdtempSync(path.join(tmpdir(), "start-"));
  try {
    const target = path.join(directory, "target");
    mkdirSync(target);
    for (const file of files) copyFileSync(path.join("target", file), path.join(target, file));
    copyFileSync("package.json", path.join(directory, "package.json"));
    use(target);
  } finally {
    rmSync(directory, { recursive: true });
  }
};

const runStart = (target: string, ...args: readonly string[]): string =>
  execFileSync(process.execPath, [path.join(target, "start.cjs"), ...args]).toString();

/** The bundle must start with any state of its code cache, which only speeds up the start. */
const caches: readonly (readonly [name: string, damage: ((file: string) => void) | undefined])[] = [
  ["as built", undefined],
  ["missing", (file) => rmSync(file)],
  ["truncated", (file) => writeFileSync(file, readFileSync(file).subarray(0, 1000))],
  ["replaced by other content", (file) => writeFileSync(file, "no cache at all")],
];
for (const [name, damage] of caches)
  test(`the program starts with its code cache ${name}`, () => {
    withBuiltCopy(BUILT_FILES, (target) => {
      damage?.(path.join(target, "umberfold.cache"));
      const { version } = JSON.parse(readFileSync("package.json", "utf8"));
      assert.equal(runStart(target, "--version").trim(), version);
    });
  });

test("a disabled package is not loaded: settings are validated without the package's files", () => {
  withBuiltCopy([...BUILT_FILES, "packages.json"], (target) => {
    const packages = path.join(target, "packages.json");
    const settings = path.join("target", "build-settings.toml");
    const output = runStart(target, "--packages", packages, "--check", "--config", settings);
    assert.match(output, /settings are valid/);
  });
});

test("invalid settings exit with code 1 and one line for each fault on standard error", () => {
  withBuiltCopy(BUILT_FILES, (target) => {
    const settings = path.join(target, "settings.toml");
    writeFileSync(settings, 'label = "a"\n');
    const args = [path.join(target, "start.cjs"), "--check", "--config", settings];
    const finished = spawnSync(process.execPath, args, { encoding: "utf8" });
    assert.equal(finished.status, 1);
    assert.equal(finished.stdout, "");
    const lines = finished.stderr.trimEnd().split("\n");
    assert.ok(lines.length > 1);
    for (const line of lines) assert.ok(line.startsWith(`umberfold: ${settings}: `), line);
    assert.ok(lines.includes(`umberfold: ${settings}: services: section is missing`));
  });
});
