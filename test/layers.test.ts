import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import test from "node:test";

/** Which folders of `src` each folder may import from, beside itself. */
const MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  protocol: [],
  observability: [],
  transport: ["protocol", "observability"],
  storage: ["protocol", "transport"],
  scheduling: ["protocol", "storage", "cli"],
  coordination: ["protocol", "transport", "storage", "scheduling", "cli", "observability"],
  cli: ["protocol", "transport", "observability", "service"],
  service: [
    "protocol",
    "transport",
    "storage",
    "scheduling",
    "coordination",
    "cli",
    "observability",
  ],
  "main.ts": ["cli"],
};

const sources = (): readonly string[] =>
  readdirSync("src", { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => path.join("src", file));

const folderOf = (file: string): string => path.relative("src", file).split(path.sep)[0] as string;

test("each layer imports only what lies below it", () => {
  const files = sources();
  assert.ok(files.length > 50, "the sources are found");
  const wrong: string[] = [];
  for (const file of files) {
    const from = folderOf(file);
    for (const [, target = ""] of readFileSync(file, "utf8").matchAll(/from "(\.[^"]+)"/g)) {
      const to = folderOf(path.join(path.dirname(file), target));
      if (to !== from && MAY_IMPORT[from]?.includes(to) !== true) wrong.push(`${file}: ${target}`);
    }
  }
  assert.deepEqual(wrong, []);
});

/** Which packages each package may import. None may import the service. */
const PACKAGE_MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  ids: [],
  spans: ["ids"],
  "load-spread": ["ids", "spans"],
};
/** Packages that are loaded only where they are switched on, and who in the service may do so. */
const LOADED_ON_DEMAND: Readonly<Record<string, string>> = {
  "load-spread": path.join("src", "coordination", "load-spread"),
};

const packageSources = (name: string): readonly string[] =>
  readdirSync(path.join("packages", name, "src"), { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => path.join("packages", name, "src", file));

test("packages import only the packages below them, and never the service", () => {
  const names = readdirSync("packages");
  assert.deepEqual([...names].sort(), Object.keys(PACKAGE_MAY_IMPORT).sort());
  const wrong: string[] = [];
  for (const name of names) {
    const root = path.join("packages", name, "src");
    for (const file of packageSources(name))
      for (const [, target = ""] of readFileSync(file, "utf8").matchAll(/from "([^"]+)"/g)) {
        const inside = !path.relative(root, path.join(path.dirname(file), target)).startsWith("..");
        const [, other] = /^@umberfold\/(.+)$/.exec(target) ?? [];
        const known = other === undefined || PACKAGE_MAY_IMPORT[name]?.includes(other) === true;
        if ((target.startsWith(".") && !inside) || !known) wrong.push(`${file}: ${target}`);
      }
  }
  assert.deepEqual(wrong, []);
});

test("a package that may be off is loaded by its own part of the service alone", () => {
  const wrong: string[] = [];
  for (const file of sources())
    for (const [statement, name = ""] of readFileSync(file, "utf8").matchAll(
      /import [^;]*?from "@umberfold\/([^"]+)"/g,
    )) {
      const home = LOADED_ON_DEMAND[name];
      if (home === undefined || file.startsWith(home)) continue;
      if (!statement.startsWith("import type ")) wrong.push(`${file}: ${name}`);
    }
  assert.deepEqual(wrong, []);
});

test("what loads a package on demand is itself imported on demand", () => {
  const wrong: string[] = [];
  for (const file of sources()) {
    const loads = /import (?!type )[^;]*?from "[^"]*\/load-spread\/(?!hooks)[^"]+"/;
    const own = Object.values(LOADED_ON_DEMAND).some((home) => file.startsWith(home));
    if (!own && loads.test(readFileSync(file, "utf8"))) wrong.push(file);
  }
  assert.deepEqual(wrong, []);
});

/** Files that earlier work left too long, with a limit that they may not pass again. */
const LONG_FILES: Readonly<Record<string, number>> = {
  "src/coordination/worker-channel.ts": 409,
  "src/coordination/cancels.ts": 405,
  "src/coordination/placement-round.ts": 336,
  "src/coordination/membership.ts": 323,
  "src/scheduling/fleet.ts": 345,
};
const MOST_LINES = 300;

test("source files stay short", () => {
  const packaged = readdirSync("packages").flatMap(packageSources);
  const long = [...sources(), ...packaged]
    .map((file) => [file, readFileSync(file, "utf8").split("\n").length - 1] as const)
    .filter(([file, lines]) => lines > (LONG_FILES[file] ?? MOST_LINES));
  assert.deepEqual(long, []);
});
