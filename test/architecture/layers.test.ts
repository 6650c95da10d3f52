/** Which layer may import which, that imports run in no circle, and how long files may grow. */
import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import test from "node:test";

/**
 * The layers of `src`, lowest first, and what each may import beside itself. A folder within
 * `coordination` is a layer of its own; `coordination` stands for the files at its root. What only the
 * leader does (`fleet`, `load-spread`) doesn't know an owner's rounds: it declares what it needs of them.
 */
const MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  protocol: [],
  observability: [],
  transport: ["protocol", "observability"],
  storage: ["protocol", "transport"],
  config: ["protocol", "transport"],
  scheduling: ["protocol", "storage", "config"],
  coordination: [
    "protocol",
    "transport",
    "storage",
    "config",
    "observability",
    // Types of the parts that one controller's context holds.
    "coordination/sharding",
    "coordination/membership",
    "coordination/load-spread",
  ],
  "coordination/sharding": ["protocol", "storage", "config"],
  "coordination/membership": [
    "protocol",
    "transport",
    "storage",
    "coordination",
    "coordination/sharding",
  ],
  "coordination/ownership": [
    "protocol",
    "transport",
    "storage",
    "coordination",
    "coordination/membership",
  ],
  "coordination/workers": [
    "observability",
    "protocol",
    "transport",
    "storage",
    "coordination",
    "coordination/ownership",
  ],
  "coordination/rounds": [
    "protocol",
    "transport",
    "storage",
    "scheduling",
    "config",
    "coordination",
    "coordination/membership",
    "coordination/ownership",
    "coordination/workers",
  ],
  "coordination/cancellation": [
    "protocol",
    "transport",
    "storage",
    "coordination",
    "coordination/membership",
    "coordination/ownership",
  ],
  "coordination/fleet": [
    "protocol",
    "transport",
    "storage",
    "scheduling",
    "coordination",
    "coordination/membership",
  ],
  "coordination/load-spread": [
    "protocol",
    "transport",
    "storage",
    "config",
    "coordination",
    "coordination/membership",
    "coordination/fleet",
  ],
  service: [
    "protocol",
    "transport",
    "storage",
    "scheduling",
    "config",
    "observability",
    "coordination",
    "coordination/sharding",
    "coordination/membership",
    "coordination/rounds",
    "coordination/cancellation",
    "coordination/fleet",
    "coordination/load-spread",
  ],
  cli: ["config", "observability", "service"],
  "main.ts": ["cli"],
};

const sources = (): readonly string[] =>
  readdirSync("src", { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => path.join("src", file));

const layerOf = (file: string): string => {
  const [folder = "", ...rest] = path.relative("src", file).split(path.sep);
  return folder === "coordination" && rest.length > 1 ? `${folder}/${rest[0]}` : folder;
};

/** The files of the service that a file imports, types and imports on demand included. */
const importsOf = (file: string): readonly string[] =>
  [...readFileSync(file, "utf8").matchAll(/(?:from|import\()\s*"(\.[^"]+)"/g)].map(
    ([, target = ""]) => path.join(path.dirname(file), target).replace(/\.js$/, ".ts"),
  );

test("each layer imports only what lies below it", () => {
  const files = sources();
  assert.ok(files.length > 50, "the sources are found");
  const wrong: string[] = [];
  for (const file of files) {
    const from = layerOf(file);
    for (const target of importsOf(file)) {
      const to = layerOf(target);
      if (to !== from && MAY_IMPORT[from]?.includes(to) !== true) wrong.push(`${file}: ${target}`);
    }
  }
  assert.deepEqual(wrong, []);
});

/** A path of imports that ends where it begins, if a search from this file comes to one. */
const circleFrom = (
  file: string,
  done: Set<string>,
  path: readonly string[],
): readonly string[] => {
  if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
  if (done.has(file)) return [];
  for (const target of importsOf(file)) {
    const circle = circleFrom(target, done, [...path, file]);
    if (circle.length > 0) return circle;
  }
  done.add(file);
  return [];
};

test("no file imports itself through others", () => {
  const done = new Set<string>();
  for (const file of sources()) assert.deepEqual(circleFrom(file, done, []), []);
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

const MAX_SOURCE_LINES = 300;
const MAX_TEST_LINES = 500;

const longerThan = (limit: number, files: readonly string[]): readonly string[] =>
  files.filter((file) => readFileSync(file, "utf8").split("\n").length - 1 > limit);

test("source files stay short", () => {
  const packaged = readdirSync("packages").flatMap(packageSources);
  assert.deepEqual(longerThan(MAX_SOURCE_LINES, [...sources(), ...packaged]), []);
});

test("test files stay short", () => {
  const tests = [
    "test",
    ...readdirSync("packages").map((name) => path.join("packages", name, "test")),
  ]
    .filter((folder) => existsSync(folder))
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: "utf8" }).map((file) =>
        path.join(folder, file),
      ),
    )
    .filter((file) => file.endsWith(".ts"));
  assert.ok(tests.length > 50, "the tests are found");
  assert.deepEqual(longerThan(MAX_TEST_LINES, tests), []);
});
