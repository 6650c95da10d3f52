import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import test from "node:test";
import { type Fixture, type FixtureCase, fromHex } from "./fixtures/fixture.js";
import { fileOf, GROUPS, labelOf } from "./fixtures/groups.js";

/**
 * Records and messages as bytes that an earlier version wrote. Clusters hold such records and speak
 * such messages while they are upgraded, so today's code must read and write them alike.
 */
const checkKept = async (fixture: Fixture, one: FixtureCase): Promise<void> => {
  assert.equal(one.outcome, fixture.outcome);
  const bytes = fromHex(fixture.bytes);
  await one.check({ bytes, rewritten: fromHex(fixture.rewritten ?? fixture.bytes) });
};

for (const [group, cases] of GROUPS) {
  const fixtures = JSON.parse(readFileSync(fileOf(group), "utf8")) as readonly Fixture[];
  const byLabel = new Map(cases.map((one) => [labelOf(one), one]));

  test(`${group}: each fixture is kept and checked once`, () => {
    assert.equal(byLabel.size, cases.length, "no label stands twice");
    assert.deepEqual(fixtures.map(labelOf).sort(), [...byLabel.keys()].sort());
  });

  for (const fixture of fixtures) {
    const label = labelOf(fixture);
    test(`${group}: ${label}: ${fixture.outcome}`, async () => {
      const one = byLabel.get(label);
      assert.ok(one !== undefined, "a kept fixture has its check");
      await checkKept(fixture, one);
    });
  }
}
