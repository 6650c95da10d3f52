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

/** Files that earlier work left too long, with a limit that they may not pass again. */
const LONG_FILES: Readonly<Record<string, number>> = {
  "src/coordination/worker-channel.ts": 410,
  "src/coordination/cancels.ts": 405,
  "src/coordination/placement-round.ts": 340,
  "src/coordination/membership.ts": 323,
  "src/scheduling/fleet.ts": 345,
};
const MOST_LINES = 300;

test("source files stay short", () => {
  const long = sources()
    .map((file) => [file, readFileSync(file, "utf8").split("\n").length - 1] as const)
    .filter(([file, lines]) => lines > (LONG_FILES[file] ?? MOST_LINES));
  assert.deepEqual(long, []);
});
