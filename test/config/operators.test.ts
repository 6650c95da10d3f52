import assert from "node:assert/strict";
import test from "node:test";
import { checkOperators, defaultOperators, parseOperators } from "../../src/config/operators.js";

test("a setting in the operators' file overrides its default", async () => {
  const parsed = await parseOperators("fleet {\n headroom = 0.5\n}\n");
  assert.ok(parsed.ok);
  assert.equal(parsed.value.urgentHeadroomFraction, 0.5);
});

const refused: readonly (readonly [name: string, source: string, fault: string])[] = [
  ["a misspelt setting", "fleet {\n headrom = 1\n}\n", "fleet.headrom"],
  ["a misspelt block", "flet {\n}\n", "flet"],
  ["a value out of bounds", "fleet {\n headroom = -1\n}\n", "fleet.headroom"],
  ["a truncated file", "fleet {\n headroom = ", "not HCL"],
];
for (const [name, source, fault] of refused)
  test(`operators' file refused with a fault that names the field: ${name}`, async () => {
    const parsed = await parseOperators(source);
    assert.ok(!parsed.ok);
    assert.ok(
      parsed.faults.some((line) => line.startsWith(fault)),
      `${parsed.faults}`,
    );
  });

test("an empty operators' file gives the defaults", () => {
  const checked = checkOperators({});
  assert.ok(checked.ok);
  assert.deepEqual(checked.value, defaultOperators());
});
