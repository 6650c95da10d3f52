/** Checks the imports between layers and packages, import cycles, and the length of files. */
import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import test from "node:test";

/**
 * The layers of `src`, lowest first, and the other layers that each may import. Each folder within
 * `coordination` is a layer; `coordination` itself stands for the files at its root. The leader's
 * layers (`fleet`, `load-spread`) may not import an owner's `rounds`: they declare interfaces for
 * what they need of them.
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
    // For the types of the components that a `ControllerContext` holds.
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

/** The files that a file imports by relative path, including type imports and dynamic imports. */
const importsOf = (file: string): readonly string[] =>
  [...readFileSync(file, "utf8").matchAll(/(?:from|import\()\s*"(\.[^"]+)"/g)].map(
    ([, target = ""]) => path.join(path.dirname(file), target).replace(/\.js$/, ".ts"),
  );

test("each layer imports only the layers that it may import", () => {
  const files = sources();
  assert.ok(files.length > 50, "the source files are found");
  const violations: string[] = [];
  for (const file of files) {
    const from = layerOf(file);
    for (const target of importsOf(file)) {
      const to = layerOf(target);
      if (to !== from && MAY_IMPORT[from]?.includes(to) !== true)
        violations.push(`${file}: ${target}`);
    }
  }
  assert.deepEqual(violations, []);
});

/** An import cycle that is reachable from this file; empty if there is none. */
const findCycle = (
  file: string,
  visited: Set<string>,
  path: readonly string[],
): readonly string[] => {
  if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
  if (visited.has(file)) return [];
  for (const target of importsOf(file)) {
    const cycle = findCycle(target, visited, [...path, file]);
    if (cycle.length > 0) return cycle;
  }
  visited.add(file);
  return [];
};

test("there are no import cycles", () => {
  const visited = new Set<string>();
  for (const file of sources()) assert.deepEqual(findCycle(file, visited, []), []);
});

/** The packages that each package may import. No package may import the service (`src`). */
const PACKAGE_MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  ids: [],
  spans: ["ids"],
  "load-spread": ["ids", "spans"],
};
/**
 * Packages that are loaded only when enabled, and the folder of `src` that may import each. Other
 * folders may import only types of them.
 */
const LOADED_ON_DEMAND: Readonly<Record<string, string>> = {
  "load-spread": path.join("src", "coordination", "load-spread"),
};

const packageSources = (name: string): readonly string[] =>
  readdirSync(path.join("packages", name, "src"), { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => path.join("packages", name, "src", file));

test("packages import only the packages that they may import, and never the service", () => {
  const names = readdirSync("packages");
  assert.deepEqual([...names].sort(), Object.keys(PACKAGE_MAY_IMPORT).sort());
  const violations: string[] = [];
  for (const name of names) {
    const root = path.join("packages", name, "src");
    for (const file of packageSources(name))
      for (const [, target = ""] of readFileSync(file, "utf8").matchAll(/from "([^"]+)"/g)) {
        const isInsidePackage = !path
          .relative(root, path.join(path.dirname(file), target))
          .startsWith("..");
        const [, importedPackage] = /^@umberfold\/(.+)$/.exec(target) ?? [];
        const isAllowed =
          importedPackage === undefined ||
          PACKAGE_MAY_IMPORT[name]?.includes(importedPackage) === true;
        if ((target.startsWith(".") && !isInsidePackage) || !isAllowed)
          violations.push(`${file}: ${target}`);
      }
  }
  assert.deepEqual(violations, []);
});

test("apart from types, only its own folder of the service imports an optional package", () => {
  const violations: string[] = [];
  for (const file of sources())
    for (const [statement, name = ""] of readFileSync(file, "utf8").matchAll(
      /import [^;]*?from "@umberfold\/([^"]+)"/g,
    )) {
      const importingFolder = LOADED_ON_DEMAND[name];
      if (importingFolder === undefined || file.startsWith(importingFolder)) continue;
      if (!statement.startsWith("import type ")) violations.push(`${file}: ${name}`);
    }
  assert.deepEqual(violations, []);
});

test("a folder that imports an optional package is itself imported dynamically", () => {
  const violations: string[] = [];
  for (const file of sources()) {
    const staticImport = /import (?!type )[^;]*?from "[^"]*\/load-spread\/(?!hooks)[^"]+"/;
    const isInFolder = Object.values(LOADED_ON_DEMAND).some((folder) => file.startsWith(folder));
    if (!isInFolder && staticImport.test(readFileSync(file, "utf8"))) violations.push(file);
  }
  assert.deepEqual(violations, []);
});

const MAX_SOURCE_LINES = 300;
const MAX_TEST_LINES = 500;

const longerThan = (limit: number, files: readonly string[]): readonly string[] =>
  files.filter((file) => readFileSync(file, "utf8").split("\n").length - 1 > limit);

test("source files don't exceed their line limit", () => {
  const packageFiles = readdirSync("packages").flatMap(packageSources);
  assert.deepEqual(longerThan(MAX_SOURCE_LINES, [...sources(), ...packageFiles]), []);
});

test("test files don't exceed their line limit", () => {
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
  assert.ok(tests.length > 50, "the test files are found");
  assert.deepEqual(longerThan(MAX_TEST_LINES, tests), []);
});
