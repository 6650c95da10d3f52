/** Which calls the lease's keeper makes in which state, and what each answer leads to. */
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

/** What the state store answers, one outcome after the other; the last one is repeated. */
interface StoreAnswers {
  readonly grants: readonly (typeof FIRST_LEASE | undefined)[];
  readonly renewals?: readonly ("renewed" | "lapsed" | "unavailable")[];
}

interface KeeperSetup {
  readonly keeper: LeaseKeeper;
  /** The calls to the store and the log events, in their order. */
  readonly trace: string[];
  /** Whether machines answer a probe. */
  reachable: boolean;
  /** Moves the clock on. */
  readonly passMs: (ms: number) => void;
  /** Runs while the store answers a grant, once. */
  duringGrant: (() => void) | undefined;
}

const makeKeeper = ({ grants, renewals = ["renewed"] }: StoreAnswers): KeeperSetup => {
  let now = 1000;
  setClock({ steady: () => now, wall: () => now, sleep: async () => undefined });
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
  const probe = async (): Promise<boolean> => {
    trace.push("probe");
    return setup.reachable;
  };
  const setup: KeeperSetup = {
    keeper: new LeaseKeeper(ctx, new AvailabilityTracker(ctx), probe),
    trace,
    reachable: true,
    passMs: (ms) => {
      now += ms;
    },
    duringGrant: undefined,
  };
  return setup;
};

const READS = ["get now/leader", "get now/share/0"];

test("a granted lease is followed by reads of leader and shards, and then renewed", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE] });
  await keeper.maintain();
  assert.equal(keeper.leaseId, FIRST_LEASE);
  await keeper.maintain();
  assert.deepEqual(trace, ["grant", ...READS, "renew 7"]);
});

test("without an answer to a grant there is no lease, and the next call asks again", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [undefined, FIRST_LEASE] });
  await keeper.maintain();
  assert.equal(keeper.leaseId, undefined);
  await keeper.maintain();
  assert.equal(keeper.leaseId, FIRST_LEASE);
  assert.deepEqual(trace, ["grant", "grant", ...READS]);
});

test("a renewal without an answer keeps the lease, an expired one is replaced", async (t) => {
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
  const replaced = ["renew 7", "log: lease expired", "grant", ...READS];
  assert.deepEqual(trace, ["grant", ...READS, "renew 7", ...replaced]);
});

test("a lease that a refused transaction showed to be expired is granted anew", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE, SECOND_LEASE] });
  await keeper.maintain();
  keeper.leaseExpired();
  assert.equal(keeper.leaseId, undefined);
  await keeper.maintain();
  assert.deepEqual(trace, ["grant", ...READS, "grant", ...READS]);
});

test("after a release it rejoins only once machines answer a probe", async (t) => {
  t.after(stopClock);
  const setup = makeKeeper({ grants: [FIRST_LEASE, SECOND_LEASE] });
  const { keeper, trace, passMs } = setup;
  await keeper.maintain();
  await keeper.release([]);
  trace.length = 0;
  setup.reachable = false;
  await keeper.maintain();
  assert.deepEqual(trace, [], "too early for a probe");
  passMs(4000);
  await keeper.maintain();
  passMs(3999);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe"], "a failed probe is repeated after its pause only");
  setup.reachable = true;
  passMs(1);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe", "probe", "log: rejoined", "grant", ...READS]);
  assert.equal(keeper.isReleased, false);
  assert.equal(keeper.leaseId, SECOND_LEASE);
});

test("a release gives the lease up in the state store, and logs before it calls", async (t) => {
  t.after(stopClock);
  const { keeper, trace } = makeKeeper({ grants: [FIRST_LEASE] });
  await keeper.maintain();
  trace.length = 0;
  await keeper.release([]);
  assert.deepEqual(trace, ["log: shards released", "release 7"]);
  assert.equal(keeper.leaseId, undefined);
  assert.equal(keeper.isReleased, true);
});

test("a grant that is answered after a release does not end the release", async (t) => {
  t.after(stopClock);
  const setup = makeKeeper({ grants: [FIRST_LEASE] });
  const { keeper, trace, passMs } = setup;
  setup.duringGrant = () => void keeper.release([]);
  await keeper.maintain();
  assert.equal(keeper.isReleased, true);
  trace.length = 0;
  await keeper.maintain();
  assert.deepEqual(trace, []);
  passMs(4000);
  await keeper.maintain();
  assert.deepEqual(trace, ["probe", "log: rejoined", "renew 7"]);
});
