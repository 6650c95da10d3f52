import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import test from "node:test";

/** The bundle starts whatever became of its code cache: that only makes it faster. */
const caches: readonly (readonly [string, ((file: string) => void) | undefined])[] = [
  ["as built", undefined],
  ["missing", (file) => rmSync(file)],
  ["cut short", (file) => writeFileSync(file, readFileSync(file).subarray(0, 1000))],
  ["of something else", (file) => writeFileSync(file, "no cache at all")],
];
for (const [name, damage] of caches)
  test(`the program starts with its code cache ${name}`, () => {
    const dir = mkdtempSync(path.join(tmpdir(), "start-"));
    try {
      mkdirSync(path.join(dir, "target"));
      for (const file of ["start.cjs", "umberfold.cjs", "umberfold.cache"])
        copyFileSync(path.join("target", file), path.join(dir, "target", file));
      copyFileSync("package.json", path.join(dir, "package.json"));
      damage?.(path.join(dir, "target", "umberfold.cache"));
      const out = execFileSync(process.execPath, [
        path.join(dir, "target", "start.cjs"),
        "--version",
      ]);
      assert.equal(out.toString().trim(), JSON.parse(readFileSync("package.json", "utf8")).version);
    } finally {
      rmSync(dir, { recursive: true });
    }
  });

test("a package that is off is not loaded: the program checks its settings without its file", () => {
  const dir = mkdtempSync(path.join(tmpdir(), "start-"));
  try {
    mkdirSync(path.join(dir, "target"));
    for (const file of ["start.cjs", "umberfold.cjs", "umberfold.cache", "packages.json"])
      copyFileSync(path.join("target", file), path.join(dir, "target", file));
    copyFileSync("package.json", path.join(dir, "package.json"));
    const out = execFileSync(process.execPath, [
      path.join(dir, "target", "start.cjs"),
      "--packages",
      path.join(dir, "target", "packages.json"),
      "--check",
      "--config",
      path.join("target", "build-settings.toml"),
    ]);
    assert.match(out.toString(), /settings are valid/);
  } finally {
    rmSync(dir, { recursive: true });
  }
});
