/** Each state of the lease under each event, answers that arrive late among them. */
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

const RETRY_AT = monotonicMs(9000);
const LATER = monotonicMs(13_000);
const lease = { id: 7 as LeaseId, renewedAt: monotonicMs(1000) };
const renewedLease = { ...lease, renewedAt: monotonicMs(2000) };

const HELD: LeaseState = { kind: "held", lease };
const EXPIRED: LeaseState = { kind: "expired" };
const RELEASED: LeaseState = { kind: "released", nextProbeAt: RETRY_AT, lateLease: undefined };
const RELEASED_WITH_LATE_LEASE: LeaseState = { ...RELEASED, lateLease: lease };

const GRANTED: LeaseEvent = { kind: "granted", lease };
const RENEWED: LeaseEvent = { kind: "renewed", at: renewedLease.renewedAt };
const EXPIRY: LeaseEvent = { kind: "expired" };
const RELEASE: LeaseEvent = { kind: "released", nextProbeAt: RETRY_AT };
const POSTPONED: LeaseEvent = { kind: "rejoin_postponed", nextProbeAt: LATER };
const REJOINED: LeaseEvent = { kind: "rejoined" };

/** A case, the state before, the event, and the state after. */
const cases: readonly (readonly [string, LeaseState, LeaseEvent, LeaseState])[] = [
  ["the first grant is held", INITIAL_LEASE_STATE, GRANTED, HELD],
  ["a grant after expiry is held", EXPIRED, GRANTED, HELD],
  ["a renewal counts from its answer", HELD, RENEWED, { kind: "held", lease: renewedLease }],
  ["a held lease expires", HELD, EXPIRY, EXPIRED],
  ["a renewal revives no expired lease", EXPIRED, RENEWED, EXPIRED],
  ["a held lease is released", HELD, RELEASE, RELEASED],
  ["an expired lease is released too", EXPIRED, RELEASE, RELEASED],
  ["a renewal ends no release", RELEASED, RENEWED, RELEASED],
  ["a grant ends no release", RELEASED, GRANTED, RELEASED_WITH_LATE_LEASE],
  ["an expiry ends no release", RELEASED_WITH_LATE_LEASE, EXPIRY, RELEASED],
  ["a second release drops the late lease", RELEASED_WITH_LATE_LEASE, RELEASE, RELEASED],
  ["a failed probe postpones rejoining", RELEASED, POSTPONED, { ...RELEASED, nextProbeAt: LATER }],
  ["a postponement releases nothing", HELD, POSTPONED, HELD],
  ["rejoining begins without a lease", RELEASED, REJOINED, INITIAL_LEASE_STATE],
  ["rejoining takes a late lease up", RELEASED_WITH_LATE_LEASE, REJOINED, HELD],
];

for (const [name, before, event, expected] of cases)
  test(`lease state: ${name}`, () => assert.deepEqual(stepLease(before, event), expected));

test("records hang on a held lease, or on one granted during the release", () => {
  assert.equal(grantedLease(HELD), lease);
  assert.equal(grantedLease(RELEASED_WITH_LATE_LEASE), lease);
  for (const state of [INITIAL_LEASE_STATE, EXPIRED, RELEASED])
    assert.equal(grantedLease(state), undefined);
});
