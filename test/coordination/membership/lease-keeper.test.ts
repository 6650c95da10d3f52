/** The calls that `LeaseKeeper` makes in each state, and the effect of each answer. */
import assert from "node:assert/strict";
import test from "node:test";
import { leaseId, monotonicMs, revision } from "@umberfold/ids";
import { defaultOperators } from "../../../src/config/operators.js";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { AvailabilityTracker } from "../../../src/coordination/membership/availability-tracker.js";
import { LeaseKeeper } from "../../../src/coordination/membership/lease-keeper.js";
import { encodeControllerId, keys } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import { setClock } from "../../../src/transport/clock.js";
import { stopClock } from "../../fixtures/controller-setup.js";

const FIRST_LEASE = leaseId(7);
const SECOND_LEASE = leaseId(8);
const SELF = { label: "a", incarnation: "1" } as ControllerContext["self"];

/** The state store's answers in order; the last one is repeated. */
interface StoreAnswers {
  readonly grants: readonly (typeof FIRST_LEASE | undefined)[];
  readonly renewals?: readonly ("renewed" | "lapsed" | "unavailable")[];
}

interface KeeperSetup {
  readonly keeper: LeaseKeeper;
  /** The calls to the store, the probes and the log events, in order. */
  readonly trace: string[];
  /** Whether machines answer a probe. */
  isReachable: boolean;
  /** Advances the clock. */
  readonly advanceMs: (ms: number) => void;
  /** Called once while a grant is in flight. */
  duringGrant: (() => void) | undefined;
}

const makeKeeper = ({ grants, renewals = ["renewed"] }: StoreAnswers): KeeperSetup => {
  let now = 1000;
  setClock({ monotonicNowMs: () => now, wallClockNowMs: () => now, sleep: async () => undefined });
  const trace: string[] = [];
  const replica = new Replica(1);
  const member = encodeControllerId(SELF);
  replica.apply({ kind: "put", key: keys.member(SELF.label), value: member, rev: revision(1) });
  const remainingGrants = [...grants];
  const remainingRenewals = [...renewals];
  const next = <T>(answers: T[]): T => (answers.length > 1 ? answers.shift() : answers[0]) as T;
  const store = {
    answeredAt: monotonicMs(now),
    refusedAt: monotonicMs(0),
    unansweredAt: monotonicMs(0),
    grant: async () => {
      trace.push("grant");
      setup.duringGrant?.();
      setup.duringGrant = undefined;
      return next(remainingGrants);
    },
    renew: async (lease: number) => {
      trace.push(`renew ${lease}`);
      return next(remainingRenewals);
    },
    release: async (lease: number) => {
      trace.push(`release ${lease}`);
    },
    get: async (key: string) => {
      trace.push(`get ${key}`);
      return { kind: "absent", rev: revision(2) };
    },
  };
  const log = { info: (event: string) => trace.push(`log: ${event}`) };
  const ctx = {
    ...{ store, replica, log, self: SELF, operators: defaultOperators() },
    ...{ settings: { shardCount: 1, seeds: [] }, isReplicaSynced: true },
  } as unknown as ControllerContext;
  const canReachMachines = async (): Promise<boolean> => {
    trace.push("probe");
    return setup.isReachable;
  };
  const setup: KeeperSetup = {
    keeper: new LeaseKeeper(ctx, new AvailabilityTracker(ctx), canReachMachines),
    trace,
    isReachable: true,
    advanceMs: (ms) => {
      now += ms;
    },
    duringGrant: undefined,
  };
  return setup;
};

const OWNERSHIP_READS = ["get now/leader", "get now/share/0"];

test("a granted lease is followed by reads of leader and shards, and then renewed", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE] });
  await keeper.maintain();
  assert.equal(keeper.leaseId, FIRST_LEASE);
  await keeper.maintain();
  assert.deepEqual(trace, ["grant", ...OWNERSHIP_READS, "renew 7"]);
});

test("an unanswered grant leaves no lease, and the next call requests one again", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [undefined, FIRST_LEASE] });
  await keeper.maintain();
  assert.equal(keeper.leaseId, undefined);
  await keeper.maintain();
  assert.equal(keeper.leaseId, FIRST_LEASE);
  assert.deepEqual(trace, ["grant", "grant", ...OWNERSHIP_READS]);
});

test("an unanswered renewal keeps the lease, an expired lease is replaced", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({
    grants: [FIRST_LEASE, SECOND_LEASE],
    renewals: ["unavailable", "lapsed"],
  });
  await keeper.maintain();
  await keeper.maintain();
  assert.equal(keeper.leaseId, FIRST_LEASE);
  await keeper.maintain();
  assert.equal(keeper.leaseId, SECOND_LEASE);
  const replaced = ["renew 7", "log: lease expired", "grant", ...OWNERSHIP_READS];
  assert.deepEqual(trace, ["grant", ...OWNERSHIP_READS, "renew 7", ...replaced]);
});

test("a lease reported as expired by a refused transaction is replaced", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE, SECOND_LEASE] });
  await keeper.maintain();
  keeper.onLeaseExpired();
  assert.equal(keeper.leaseId, undefined);
  await keeper.maintain();
  assert.deepEqual(trace, ["grant", ...OWNERSHIP_READS, "grant", ...OWNERSHIP_READS]);
});

test("after a release the controller rejoins only once machines answer a probe", async (t) => {
  t.after(stopClock);
  const setup = makeKeeper({ grants: [FIRST_LEASE, SECOND_LEASE] });
  const { keeper, trace, advanceMs } = setup;
  await keeper.maintain();
  await keeper.release([]);
  trace.length = 0;
  setup.isReachable = false;
  await keeper.maintain();
  assert.deepEqual(trace, [], "the next probe is not due yet");
  advanceMs(4000);
  await keeper.maintain();
  advanceMs(3999);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe"], "a failed probe is repeated only after the probe interval");
  setup.isReachable = true;
  advanceMs(1);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe", "probe", "log: rejoined", "grant", ...OWNERSHIP_READS]);
  assert.equal(keeper.isReleased, false);
  assert.equal(keeper.leaseId, SECOND_LEASE);
});

test("a release is logged first and then releases the lease in the state store", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE] });
  await keeper.maintain();
  trace.length = 0;
  await keeper.release([]);
  assert.deepEqual(trace, ["log: shards released", "release 7"]);
  assert.equal(keeper.leaseId, undefined);
  assert.equal(keeper.isReleased, true);
});

test("a grant answered after a release does not end the released state", async (t) => {
  t.after(stopClock);
  const setup = makeKeeper({ grants: [FIRST_LEASE] });
  const { keeper, trace, advanceMs } = setup;
  setup.duringGrant = () => void keeper.release([]);
  await keeper.maintain();
  assert.equal(keeper.isReleased, true);
  trace.length = 0;
  await keeper.maintain();
  assert.deepEqual(trace, []);
  advanceMs(4000);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe", "log: rejoined", "renew 7"]);
});
