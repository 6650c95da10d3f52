import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import test from "node:test";
import {
  checkPackages,
  checkShardCount,
  defaultPackages,
  parsePackages,
} from "../../src/config/packages.js";

const refused: readonly (readonly [name: string, raw: unknown, fault: RegExp])[] = [
  ["an unknown block", { load_spreading: {} }, /load_spreading: is not a known setting/],
  ["an unknown setting", { load_spread: { span: 2 } }, /load_spread\.span: is not a known/],
  ["a block twice", { load_spread: [{}, {}] }, /appears twice/],
  ["a number instead of a block", { load_spread: 1 }, /must be a block/],
  ["a negative cost", { load_spread: { load_cost: -1 } }, /load_cost: must be a number, 0 to/],
  ["a negative transfer cost", { load_spread: { transfer_cost: -0.1 } }, /transfer_cost/],
  ["a maximum span of 0", { load_spread: { max_span: 0 } }, /max_span: must be a number, 1 to/],
  [
    "a maximum span that is no integer",
    { load_spread: { max_span: 1.5 } },
    /max_span: must be a whole number/,
  ],
  [
    "minimum shares that add up to more than 1",
    { load_spread: { max_span: 4, min_share: 0.3 } },
    /max_span times min_share must be at most 1, not 4 times 0\.3/,
  ],
  ["a string instead of a boolean", { load_spread: { enabled: "yes" } }, /enabled: must be true/],
];
for (const [name, raw, fault] of refused)
  test(`packages file refused with a fault that names the field: ${name}`, () => {
    const checked = checkPackages(raw as Readonly<Record<string, unknown>>);
    assert.ok(!checked.ok);
    assert.match(checked.faults.join("\n"), fault);
  });

test("a span larger than the number of shards is refused if load spreading is enabled", () => {
  const { loadSpread } = defaultPackages();
  const enabled = { loadSpread: { ...loadSpread, enabled: true, maxSpan: 4 } };
  assert.match(checkShardCount(enabled, 3).join(), /load_spread\.max_span: 4, but there are 3/);
  assert.deepEqual(checkShardCount(enabled, 4), []);
  assert.deepEqual(checkShardCount(defaultPackages(), 1), []);
});

test("deploy/packages.hcl equals the JSON built from it, and all packages are disabled", async () => {
  const hcl = await parsePackages("a.hcl", readFileSync("deploy/packages.hcl", "utf8"));
  const json = await parsePackages("a.json", readFileSync("target/packages.json", "utf8"));
  assert.deepEqual(hcl, json);
  assert.ok(hcl.ok && !hcl.value.loadSpread.enabled);
});

for (const text of ["", "[", "1", "null"])
  test(`JSON packages file refused because it is no object: ${text}`, async () => {
    const parsed = await parsePackages("a.json", text);
    assert.ok(!parsed.ok);
  });
