/** `rentalOutcome`: what each answer of the cloud means for a rental intent. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import {
  type RentalOutcome,
  rentalOutcome,
} from "../../../src/coordination/fleet/rental-outcome.js";

const cases: readonly (readonly [string, number, unknown, RentalOutcome])[] = [
  [
    "machines: rented",
    200,
    { looms: ["m-1", "m-2"] },
    { kind: "rented", machines: [machineId("m-1"), machineId("m-2")] },
  ],
  ["no machines: rented, none", 200, { looms: [] }, { kind: "rented", machines: [] }],
  ["an unreadable list: rented, none", 200, "odd", { kind: "rented", machines: [] }],
  ["no capacity: refused", 503, { error: "no capacity" }, { kind: "refused" }],
  ["a request that is never valid: refused", 400, { error: "unknown" }, { kind: "refused" }],
  ["another 503: undecided", 503, { error: "busy" }, { kind: "undecided" }],
  ["503 without a body: undecided", 503, undefined, { kind: "undecided" }],
  ["above the limit of calls: undecided", 429, {}, { kind: "undecided" }],
  ["an error of the cloud: undecided", 500, { error: "no capacity" }, { kind: "undecided" }],
];
for (const [name, status, body, expected] of cases)
  test(`the cloud answers a rental with ${name}`, () =>
    assert.deepEqual(rentalOutcome({ kind: "answer", status, body }), expected));
