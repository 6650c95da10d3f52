/** The store's availability as a result of calls, peer reports and process pauses. */
import assert from "node:assert/strict";
import test from "node:test";
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";
import {
  type AvailabilityEvidence,
  type AvailabilityState,
  INITIAL_AVAILABILITY,
  type StoreAvailability,
  stepAvailability,
} from "../../../src/coordination/membership/store-availability.js";

const NOW = monotonicMs(10_000);
const NEVER = monotonicMs(Number.NEGATIVE_INFINITY);
/** When the store last answered; earlier than all failures in the cases below. */
const ANSWERED_AT = monotonicMs(5000);

const timeOrNever = (ms: number | undefined): MonotonicMs =>
  ms === undefined ? NEVER : monotonicMs(ms);

/** The evidence of one assessment with two other controllers; events left out never happened. */
interface EvidenceFields {
  readonly refusedAt?: number;
  readonly unansweredAt?: number;
  readonly availablePeerCount?: number;
  readonly unavailablePeerCount?: number;
  readonly hasProcessResumed?: boolean;
  readonly ownershipConfirmedAt?: number;
}

const evidence = (fields: EvidenceFields): AvailabilityEvidence => ({
  now: NOW,
  answeredAt: ANSWERED_AT,
  refusedAt: timeOrNever(fields.refusedAt),
  unansweredAt: timeOrNever(fields.unansweredAt),
  peerCount: 2,
  availablePeerCount: fields.availablePeerCount ?? 0,
  unavailablePeerCount: fields.unavailablePeerCount ?? 0,
  hasProcessResumed: fields.hasProcessResumed ?? false,
  ownershipConfirmedAt: timeOrNever(fields.ownershipConfirmedAt),
});

const state = (
  availability: StoreAvailability,
  failingSince?: number,
  ownershipUnconfirmedSince?: number,
): AvailabilityState => ({
  availability,
  failingSince: failingSince === undefined ? undefined : monotonicMs(failingSince),
  ownershipUnconfirmedSince:
    ownershipUnconfirmedSince === undefined ? undefined : monotonicMs(ownershipUnconfirmedSince),
});

/** Name, state before, evidence, and availability after. */
type AvailabilityCase = readonly [
  string,
  AvailabilityState,
  AvailabilityEvidence,
  StoreAvailability,
];

const cases: readonly AvailabilityCase[] = [
  ["calls are answered", INITIAL_AVAILABILITY, evidence({}), "available"],
  [
    "a first refusal does not change the availability yet",
    INITIAL_AVAILABILITY,
    evidence({ refusedAt: 9000 }),
    "available",
  ],
  [
    "refused, and no other controller is served, so owned shards stay owned",
    state("available", 6000),
    evidence({ refusedAt: 9000 }),
    "outage",
  ],
  [
    "refused while another is served, so others will claim the shards",
    state("outage", 6000),
    evidence({ refusedAt: 9000, availablePeerCount: 1 }),
    "isolated",
  ],
  [
    "unanswered while another controller may be served",
    state("available", 6000),
    evidence({ unansweredAt: 9000, unavailablePeerCount: 1 }),
    "isolated",
  ],
  [
    "unanswered for all controllers, so nobody can claim the shards",
    state("available", 6000),
    evidence({ unansweredAt: 9000, unavailablePeerCount: 2 }),
    "outage",
  ],
  // Guards against a controller that, after a disconnection, answered heartbeats for shards that
  // others had claimed meanwhile.
  [
    "reconnected after an isolation, ownership is unconfirmed",
    state("isolated", 1),
    evidence({}),
    "resuming",
  ],
  [
    "ownership was confirmed after the process resumed",
    state("resuming", 1, 6000),
    evidence({ ownershipConfirmedAt: 7000 }),
    "available",
  ],
  [
    "a confirmation from before the process resumed does not count",
    state("resuming", undefined, 6000),
    evidence({ ownershipConfirmedAt: 5000 }),
    "resuming",
  ],
  // Guards against a controller that, after a pause longer than its lease, answered heartbeats with
  // 200 under a fencing token that already belonged to another controller.
  [
    "the process paused",
    INITIAL_AVAILABILITY,
    evidence({ hasProcessResumed: true, ownershipConfirmedAt: 9999 }),
    "resuming",
  ],
  [
    "the process paused in an outage that still lasts, so nobody could claim shards",
    state("outage", 1),
    evidence({ hasProcessResumed: true, refusedAt: 9000 }),
    "outage",
  ],
  [
    "refused after a process pause, shards may have been claimed before the refusals",
    state("resuming", 6000, 6000),
    evidence({ refusedAt: 9000 }),
    "resuming",
  ],
  [
    "unanswered after a process pause",
    state("resuming", 6000, 6000),
    evidence({ unansweredAt: 9000 }),
    "isolated",
  ],
];

for (const [name, before, observed, expected] of cases)
  test(`store availability: ${name}: ${expected}`, () =>
    assert.equal(stepAvailability(before, observed).availability, expected));
