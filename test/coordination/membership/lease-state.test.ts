/** The transitions of the lease state machine, including answers that arrive late. */
import assert from "node:assert/strict";
import test from "node:test";
import { type LeaseId, monotonicMs } from "@umberfold/ids";
import {
  grantedLease,
  INITIAL_LEASE_STATE,
  type LeaseEvent,
  type LeaseState,
  stepLease,
} from "../../../src/coordination/membership/lease-state.js";

const FIRST_PROBE_AT = monotonicMs(9000);
const SECOND_PROBE_AT = monotonicMs(13_000);
const lease = { id: 7 as LeaseId, renewedAt: monotonicMs(1000) };
const renewedLease = { ...lease, renewedAt: monotonicMs(2000) };

const HELD: LeaseState = { kind: "held", lease };
const EXPIRED: LeaseState = { kind: "expired" };
const RELEASED: LeaseState = {
  kind: "released",
  nextProbeAt: FIRST_PROBE_AT,
  lateLease: undefined,
};
const RELEASED_WITH_LATE_LEASE: LeaseState = { ...RELEASED, lateLease: lease };

const GRANTED: LeaseEvent = { kind: "granted", lease };
const RENEWED: LeaseEvent = { kind: "renewed", at: renewedLease.renewedAt };
const EXPIRY: LeaseEvent = { kind: "expired" };
const RELEASE: LeaseEvent = { kind: "released", nextProbeAt: FIRST_PROBE_AT };
const POSTPONED: LeaseEvent = { kind: "rejoin_postponed", nextProbeAt: SECOND_PROBE_AT };
const REJOINED: LeaseEvent = { kind: "rejoined" };

/** Name, state before, event, and state after. */
const cases: readonly (readonly [string, LeaseState, LeaseEvent, LeaseState])[] = [
  ["the first grant is held", INITIAL_LEASE_STATE, GRANTED, HELD],
  ["a grant after expiry is held", EXPIRED, GRANTED, HELD],
  [
    "a renewal is dated by the arrival of its answer",
    HELD,
    RENEWED,
    { kind: "held", lease: renewedLease },
  ],
  ["a held lease expires", HELD, EXPIRY, EXPIRED],
  ["a renewal does not revive an expired lease", EXPIRED, RENEWED, EXPIRED],
  ["a held lease is released", HELD, RELEASE, RELEASED],
  ["an expired lease can be released", EXPIRED, RELEASE, RELEASED],
  ["a renewal does not end the released state", RELEASED, RENEWED, RELEASED],
  ["a grant does not end the released state", RELEASED, GRANTED, RELEASED_WITH_LATE_LEASE],
  ["an expiry does not end the released state", RELEASED_WITH_LATE_LEASE, EXPIRY, RELEASED],
  ["a second release drops the late lease", RELEASED_WITH_LATE_LEASE, RELEASE, RELEASED],
  [
    "a failed probe postpones rejoining",
    RELEASED,
    POSTPONED,
    { ...RELEASED, nextProbeAt: SECOND_PROBE_AT },
  ],
  ["a postponement does not release a held lease", HELD, POSTPONED, HELD],
  ["rejoining starts without a lease", RELEASED, REJOINED, INITIAL_LEASE_STATE],
  [
    "rejoining holds a lease that was granted during the release",
    RELEASED_WITH_LATE_LEASE,
    REJOINED,
    HELD,
  ],
];

for (const [name, before, event, expected] of cases)
  test(`lease state: ${name}`, () => assert.deepEqual(stepLease(before, event), expected));

test("records are attached to a held lease, or to one granted during the release", () => {
  assert.equal(grantedLease(HELD), lease);
  assert.equal(grantedLease(RELEASED_WITH_LATE_LEASE), lease);
  for (const state of [INITIAL_LEASE_STATE, EXPIRED, RELEASED])
    assert.equal(grantedLease(state), undefined);
});
