/** How calls, other controllers' reports and process pauses make up the store's availability. */
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
/** When the store last answered, unless a case says otherwise: before all failures below. */
const ANSWERED_AT = monotonicMs(5000);

const timeOrNever = (ms: number | undefined): MonotonicMs =>
  ms === undefined ? NEVER : monotonicMs(ms);

/** The evidence of one assessment among three controllers; what is left out never happened. */
interface EvidenceFields {
  readonly refusedAt?: number;
  readonly unansweredAt?: number;
  readonly peersAvailable?: number;
  readonly peersUnavailable?: number;
  readonly resumed?: boolean;
  readonly confirmedAt?: number;
}

const evidence = (fields: EvidenceFields): AvailabilityEvidence => ({
  now: NOW,
  answeredAt: ANSWERED_AT,
  refusedAt: timeOrNever(fields.refusedAt),
  unansweredAt: timeOrNever(fields.unansweredAt),
  peerCount: 2,
  availablePeerCount: fields.peersAvailable ?? 0,
  unavailablePeerCount: fields.peersUnavailable ?? 0,
  hasProcessResumed: fields.resumed ?? false,
  ownershipConfirmedAt: timeOrNever(fields.confirmedAt),
});

const state = (
  availability: StoreAvailability,
  failingSince?: number,
  resumedAt?: number,
): AvailabilityState => ({
  availability,
  failingSince: failingSince === undefined ? undefined : monotonicMs(failingSince),
  ownershipUnconfirmedSince: resumedAt === undefined ? undefined : monotonicMs(resumedAt),
});

/** A case, the state before, the evidence, and the availability after. */
type AvailabilityCase = readonly [
  string,
  AvailabilityState,
  AvailabilityEvidence,
  StoreAvailability,
];

const cases: readonly AvailabilityCase[] = [
  ["calls are answered", INITIAL_AVAILABILITY, evidence({}), "available"],
  [
    "a first refusal is no failure yet",
    INITIAL_AVAILABILITY,
    evidence({ refusedAt: 9000 }),
    "available",
  ],
  [
    "refused, and nobody reports to be served: owned shards stay owned",
    state("available", 6000),
    evidence({ refusedAt: 9000 }),
    "outage",
  ],
  [
    "refused while another is served: others will claim the shards",
    state("outage", 6000),
    evidence({ refusedAt: 9000, peersAvailable: 1 }),
    "isolated",
  ],
  [
    "no answer at all is no outage while somebody may be connected",
    state("available", 6000),
    evidence({ unansweredAt: 9000, peersUnavailable: 1 }),
    "isolated",
  ],
  [
    "all controllers are cut off together: nobody can claim the shards",
    state("available", 6000),
    evidence({ unansweredAt: 9000, peersUnavailable: 2 }),
    "outage",
  ],
  // A controller that came back from a disconnection answered heartbeats for shards that others
  // had claimed.
  [
    "reconnected after an isolation, ownership must be confirmed first",
    state("isolated", 1),
    evidence({}),
    "resuming",
  ],
  [
    "ownership is confirmed after the resume",
    state("resuming", 1, 6000),
    evidence({ confirmedAt: 7000 }),
    "available",
  ],
  [
    "a confirmation from before the resume proves nothing",
    state("resuming", undefined, 6000),
    evidence({ confirmedAt: 5000 }),
    "resuming",
  ],
  // One that paused for longer than its lease answered 200 under a token that had passed on.
  [
    "the process paused",
    INITIAL_AVAILABILITY,
    evidence({ resumed: true, confirmedAt: 9999 }),
    "resuming",
  ],
  [
    "the process paused in an outage that still lasts: nobody was served meanwhile",
    state("outage", 1),
    evidence({ resumed: true, refusedAt: 9000 }),
    "outage",
  ],
  [
    "refused since the process paused: shards may have been claimed before",
    state("resuming", 6000, 6000),
    evidence({ refusedAt: 9000 }),
    "resuming",
  ],
  [
    "no answer since the process paused",
    state("resuming", 6000, 6000),
    evidence({ unansweredAt: 9000 }),
    "isolated",
  ],
];

for (const [name, before, observed, expected] of cases)
  test(`store availability: ${name}: ${expected}`, () =>
    assert.equal(stepAvailability(before, observed).availability, expected));
