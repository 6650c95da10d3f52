/** `quotaFraction` and `quotaShare`: amounts of a quota as fractions and shares. */
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
  ["the larger fraction counts: processors", team(40, 8), { cpus: 20, gpus: 1 }, 0.5],
  ["the larger fraction counts: devices", team(40, 8), { cpus: 4, gpus: 6 }, 0.75],
  ["no limit: nothing", team(UNLIMITED, UNLIMITED), { cpus: 400, gpus: 8 }, 0],
  ["a limit of none: nothing", team(0, 0), { cpus: 4, gpus: 0 }, 0],
  ["beyond the limit: more than all", team(40, 8), { cpus: 60, gpus: 0 }, 1.5],
];
for (const [name, limits, resources, expected] of fractions)
  test(`fraction of a quota: ${name}`, () =>
    assert.equal(quotaFraction(limits, resources), expected));

const shares: readonly (readonly [string, number, number])[] = [
  ["half", 0.5, FULL_SHARE / 2],
  ["a negative fraction is none", -0.1, 0],
  ["more than all stays more", 1.5, FULL_SHARE * 1.5],
];
for (const [name, fraction, expected] of shares)
  test(`share of a quota: ${name}`, () => assert.equal(quotaShare(fraction), share(expected)));
