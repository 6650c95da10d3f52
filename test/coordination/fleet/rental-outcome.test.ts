/** `rentalOutcome`: the outcome of a rental intent for each response of the cloud. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import {
  type RentalOutcome,
  rentalOutcome,
} from "../../../src/coordination/fleet/rental-outcome.js";

const cases: readonly (readonly [string, number, unknown, RentalOutcome])[] = [
  [
    "a list of machines: rented",
    200,
    { looms: ["m-1", "m-2"] },
    { kind: "rented", machines: [machineId("m-1"), machineId("m-2")] },
  ],
  ["an empty list: rented, no machines", 200, { looms: [] }, { kind: "rented", machines: [] }],
  ["a malformed body: rented, no machines", 200, "odd", { kind: "rented", machines: [] }],
  ["no capacity: refused", 503, { error: "no capacity" }, { kind: "refused" }],
  ["an invalid request (400): refused", 400, { error: "unknown" }, { kind: "refused" }],
  ["a 503 for another reason: undecided", 503, { error: "busy" }, { kind: "undecided" }],
  ["a 503 without a body: undecided", 503, undefined, { kind: "undecided" }],
  ["a rate limit error (429): undecided", 429, {}, { kind: "undecided" }],
  ["an internal error (500): undecided", 500, { error: "no capacity" }, { kind: "undecided" }],
];
for (const [name, status, body, expected] of cases)
  test(`the cloud responds to a rental with ${name}`, () =>
    assert.deepEqual(rentalOutcome({ kind: "answer", status, body }), expected));
