import assert from "node:assert/strict";
import test from "node:test";
import {
  attemptNumber,
  controllerLabel,
  incarnation,
  jobId,
  machineId,
  monotonicMs,
  revision,
  shardId,
  teamName,
} from "@umberfold/ids";
import { PauseDetector } from "../../src/coordination/membership/pause-detector.js";
import {
  type AvailabilityEvidence,
  type AvailabilityState,
  INITIAL_AVAILABILITY,
  stepAvailability,
} from "../../src/coordination/membership/store-availability.js";
import { assignTeams, planShardActions } from "../../src/coordination/sharding/shard-assignment.js";
import type { ControllerId } from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { TransactionBatch } from "../../src/storage/transaction-batch.js";

const holder = (label: string, inc = `${label}-1`): ControllerId => ({
  label: controllerLabel(label),
  incarnation: incarnation(inc),
});

const shardCases: readonly {
  name: string;
  shards: readonly (readonly [number, ControllerId])[];
  members: readonly ControllerId[];
  steady?: readonly string[];
  plan: readonly string[];
}[] = [
  {
    name: "each takes its part of what nobody holds",
    shards: [],
    members: [holder("a"), holder("b"), holder("c")],
    plan: ["claim 0"],
  },
  {
    name: "alone it takes all",
    shards: [],
    members: [holder("a")],
    plan: ["claim 0", "claim 1", "claim 2"],
  },
  {
    name: "a dead holder's shard goes to the least loaded",
    shards: [
      [0, holder("a")],
      [1, holder("b")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b")],
    plan: ["claim 2"],
  },
  {
    name: "its own from an earlier start is taken back at once",
    shards: [
      [0, holder("a", "a-0")],
      [1, holder("b")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    plan: ["claim 0"],
  },
  {
    name: "another's earlier start is that one's to take back",
    shards: [
      [0, holder("a")],
      [1, holder("b", "b-0")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    plan: [],
  },
  {
    name: "a steady member without a shard is given one",
    shards: [
      [0, holder("a")],
      [1, holder("a")],
      [2, holder("b")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    steady: ["a", "b", "c"],
    plan: ["hand_over 1 c"],
  },
  {
    name: "one that has only just come is not",
    shards: [
      [0, holder("a")],
      [1, holder("a")],
      [2, holder("b")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    steady: ["a", "b"],
    plan: [],
  },
  {
    name: "nor is any while a shard is without a holder",
    shards: [
      [0, holder("a")],
      [1, holder("a")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    steady: ["a", "b", "c"],
    plan: [],
  },
];

test("who takes and hands over which shard", () => {
  for (const c of shardCases) {
    const plan = planShardActions({
      self: holder("a"),
      shardCount: 3,
      shards: new Map(c.shards.map(([n, h]) => [shardId(n), h])),
      members: new Map(c.members.map((m) => [m.label, m])),
      stableMembers: new Set((c.steady ?? []).map(controllerLabel)),
    });
    assert.deepEqual(
      plan.map((a) =>
        a.kind === "claim" ? `claim ${a.shard}` : `hand_over ${a.shard} ${a.to.label}`,
      ),
      c.plan,
      c.name,
    );
  }
});

test("teams spread evenly over the shards, and a known team never changes its own", () => {
  const names = Array.from({ length: 10 }, (_, i) => teamName(`team-0${i}`));
  const first = assignTeams(new Map(), names, 3);
  const load = [0, 1, 2].map((n) => [...first.values()].filter((s) => s === n).length);
  assert.deepEqual(load, [4, 3, 3]);
  const next = assignTeams(first, [teamName("aaa"), ...names.slice(3)], 3);
  for (const [name, shard] of first) assert.equal(next.get(name), shard);
  assert.equal(next.get(teamName("aaa")), 1);
});

const at = (n: number) => monotonicMs(n);
const never = at(Number.NEGATIVE_INFINITY);
const evidence = (
  e: Partial<{
    answeredAt: number;
    refusedAt: number;
    unansweredAt: number;
    served: number;
    unserved: number;
    woke: boolean;
    confirmedAt: number;
  }>,
): AvailabilityEvidence => ({
  now: at(10_000),
  answeredAt: at(e.answeredAt ?? 5000),
  refusedAt: e.refusedAt === undefined ? never : at(e.refusedAt),
  unansweredAt: e.unansweredAt === undefined ? never : at(e.unansweredAt),
  peers: 2,
  peersAvailable: e.served ?? 0,
  peersUnavailable: e.unserved ?? 0,
  resumed: e.woke ?? false,
  ownershipConfirmedAt: e.confirmedAt === undefined ? never : at(e.confirmedAt),
});
const was = (
  availability: AvailabilityState["availability"],
  since?: number,
  wokeAt?: number,
): AvailabilityState => ({
  availability,
  failingSince: since === undefined ? undefined : at(since),
  resumedAt: wokeAt === undefined ? undefined : at(wokeAt),
});
const standings: readonly [string, AvailabilityState, AvailabilityEvidence, string][] = [
  ["answered", INITIAL_AVAILABILITY, evidence({}), "available"],
  [
    "a first refusal is no trouble yet",
    INITIAL_AVAILABILITY,
    evidence({ refusedAt: 9000 }),
    "available",
  ],
  [
    "refused, and nobody says that he is served: an outage, and what is held stays held",
    was("available", 6000),
    evidence({ refusedAt: 9000 }),
    "outage",
  ],
  [
    "refused while another is served: others will take what is held here",
    was("outage", 6000),
    evidence({ refusedAt: 9000, served: 1 }),
    "isolated",
  ],
  [
    "no answer at all is no outage, while somebody may be outside the cut",
    was("available", 6000),
    evidence({ unansweredAt: 9000, unserved: 1 }),
    "isolated",
  ],
  [
    "all controllers cut off together: nobody can take what they hold",
    was("available", 6000),
    evidence({ unansweredAt: 9000, unserved: 2 }),
    "outage",
  ],
  // A controller that came back from a cut answered reports for shards that others had taken.
  [
    "back from a cut, what is held must be shown first",
    was("isolated", 1),
    evidence({}),
    "resuming",
  ],
  [
    "over once that is shown",
    was("resuming", 1, 6000),
    evidence({ confirmedAt: 7000 }),
    "available",
  ],
  [
    "a word of before the pause shows nothing",
    was("resuming", undefined, 6000),
    evidence({ confirmedAt: 5000 }),
    "resuming",
  ],
  // One that stood still for longer than its lease answered 200 under a token that had passed on.
  ["stood still", INITIAL_AVAILABILITY, evidence({ woke: true, confirmedAt: 9999 }), "resuming"],
  [
    "stood still in an outage that still lasts: nobody was served meanwhile",
    was("outage", 1),
    evidence({ woke: true, refusedAt: 9000 }),
    "outage",
  ],
  [
    "stood still, and out since: it may have been taken before",
    was("resuming", 6000, 6000),
    evidence({ refusedAt: 9000 }),
    "resuming",
  ],
  ["waking and cut off", was("resuming", 6000, 6000), evidence({ unansweredAt: 9000 }), "isolated"],
];

test("a pause is a gap between two looks, however often others look", () => {
  const pauses = new PauseDetector(at(0), 2000);
  assert.equal(pauses.detect(at(1900)), 0);
  assert.equal(pauses.detect(at(3800)), 0);
  assert.equal(pauses.detect(at(31_000)), 27_200);
  assert.equal(pauses.detect(at(31_001)), 0);
});

test("an outage, and a trouble of one's own", () => {
  for (const [name, before, e, want] of standings)
    assert.equal(stepAvailability(before, e).availability, want, name);
});

test("pages are split before they pass a value, and what does not fit waits", () => {
  const limits = { txnOps: 16, valueKb: 8, shardCount: 3 };
  const shard = shardId(0);
  const r = new Replica();
  r.apply({ kind: "put", key: "now/share/0", value: { l: "a", i: "1" }, rev: revision(1) });
  const open = (n: number) =>
    Array.from({ length: n }, (_, index) => ({
      index,
      attempt: attemptNumber(index + 1),
      machine: machineId(`m-${String(index).padStart(6, "0")}`),
    }));
  const batch = new TransactionBatch(r, limits);
  let written = 0;
  // 40 jobs of 100 open attempts: more than one transaction may carry.
  for (let i = 0; i < 40; i++)
    if (batch.putJob(shard, jobId(`wk-${i}`), { done: [], open: open(100), nextAttempt: 101 }))
      written++;
  const t = batch.transaction();
  assert.ok(written > 5 && written < 40, `${written} written`);
  assert.ok(t.ops.length <= limits.txnOps);
  assert.ok(JSON.stringify(t).length <= 64 * 1024);
  for (const op of t.ops)
    assert.ok(op.kind === "put" && JSON.stringify(op.value).length <= limits.valueKb * 1024);
  // Taken in, the pages give the jobs back; one that outgrows its page moves to another.
  const put = (ops: typeof t.ops, rev: number): void => {
    for (const op of ops)
      if (op.kind === "put")
        r.apply({ kind: "put", key: op.key, value: op.value, rev: revision(rev) });
  };
  put(t.ops, 2);
  assert.equal(r.shardJobs(shard).openAttemptsOn(machineId("m-000003")).size, written);
  const first = jobId("wk-0");
  const from = r.shardJobs(shard).pageOf(first);
  const grown = new TransactionBatch(r, limits);
  assert.ok(grown.putJob(shard, first, { done: [], open: open(270), nextAttempt: 271 }));
  put(grown.transaction().ops, 3);
  assert.notEqual(r.shardJobs(shard).pageOf(first), from);
  assert.equal(r.shardJobs(shard).openAttemptsOn(machineId("m-000003")).size, written);
  assert.equal(r.shardJobs(shard).openAttemptsOn(machineId("m-000269")).size, 1);
});

test("a machine that moves to another page stands in one only, in whatever order they come", () => {
  const m = { t: ["g8"], z: ["a"] };
  const row = ["m-1", 0, 0, 0, 0, "", 5];
  const changes = [
    { kind: "put", key: "now/fleet/0/x", value: { ...m, m: [] }, rev: revision(9) },
    { kind: "put", key: "now/fleet/1/y", value: { ...m, m: [row] }, rev: revision(9) },
  ] as const;
  for (const order of [changes, [...changes].reverse()]) {
    const r = new Replica();
    r.apply({ kind: "put", key: "now/fleet/0/x", value: { ...m, m: [row] }, rev: revision(7) });
    for (const c of order) r.apply(c);
    assert.equal(r.machines.get(machineId("m-1"))?.shard, 1);
    assert.equal(r.machinePageOf(machineId("m-1")), "now/fleet/1/y");
  }
});

test("the replica passes over older news", () => {
  const r = new Replica();
  const key = "now/member/a";
  const put = (rev: number, i: string): void =>
    r.apply({ kind: "put", key, value: { l: "a", i }, rev: revision(rev) });
  put(5, "new");
  put(3, "old");
  assert.equal(r.members.get(controllerLabel("a"))?.value.incarnation, "new");
  // Dropped by our own transaction at 9; the watch still has the change of 7 to tell.
  r.apply({ kind: "delete", key, rev: revision(9) });
  put(7, "late");
  assert.equal(r.members.size, 0);
  r.advance(revision(9));
  put(11, "again");
  assert.equal(r.members.get(controllerLabel("a"))?.value.incarnation, "again");
  // A scan from before the last change doesn't take it back; one from after does.
  r.reset([], revision(10));
  assert.equal(r.members.size, 1);
  r.reset([], revision(12));
  assert.equal(r.members.size, 0);
});
