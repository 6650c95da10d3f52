/** `quotaFraction` and `quotaShare`: resources as fractions and shares of a quota. */
import assert from "node:assert/strict";
import test from "node:test";
import { teamName } from "@umberfold/ids";
import { FULL_SHARE, share } from "@umberfold/spans";
import type { Team } from "../../../src/config/settings.js";
import { quotaFraction, quotaShare } from "../../../src/coordination/load-spread/quota-share.js";

const UNLIMITED = Number.POSITIVE_INFINITY;
const team = (cpusMax: number, gpusMax: number): Team => ({
  name: teamName("t0"),
  cpus: 0,
  cpusMax,
  gpus: 0,
  gpusMax,
});

const fractions: readonly (readonly [string, Team, { cpus: number; gpus: number }, number])[] = [
  ["the larger fraction counts: CPUs", team(40, 8), { cpus: 20, gpus: 1 }, 0.5],
  ["the larger fraction counts: GPUs", team(40, 8), { cpus: 4, gpus: 6 }, 0.75],
  ["an infinite limit counts as 0", team(UNLIMITED, UNLIMITED), { cpus: 400, gpus: 8 }, 0],
  ["a limit of 0 counts as 0", team(0, 0), { cpus: 4, gpus: 0 }, 0],
  ["use beyond the limit is more than 1", team(40, 8), { cpus: 60, gpus: 0 }, 1.5],
];
for (const [name, limits, resources, expected] of fractions)
  test(`fraction of a quota: ${name}`, () =>
    assert.equal(quotaFraction(limits, resources), expected));

const shares: readonly (readonly [string, number, number])[] = [
  ["half", 0.5, FULL_SHARE / 2],
  ["a negative fraction becomes 0", -0.1, 0],
  ["a fraction above 1 becomes more than a full share", 1.5, FULL_SHARE * 1.5],
];
for (const [name, fraction, expected] of shares)
  test(`share of a quota: ${name}`, () => assert.equal(quotaShare(fraction), share(expected)));
