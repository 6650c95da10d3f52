import assert from "node:assert/strict";
import test from "node:test";
import { assignTeams, planShares } from "../src/coordination/shares.js";
import { controllerLabel, incarnation, revision, shareNo, teamName } from "../src/protocol/ids.js";
import type { Holder } from "../src/storage/records.js";
import { Replica } from "../src/storage/replica.js";

const holder = (label: string, inc = `${label}-1`): Holder => ({
  label: controllerLabel(label),
  incarnation: incarnation(inc),
});

const shareCases: readonly {
  name: string;
  shares: readonly (readonly [number, Holder])[];
  members: readonly Holder[];
  steady?: readonly string[];
  plan: readonly string[];
}[] = [
  {
    name: "each takes its part of what nobody holds",
    shares: [],
    members: [holder("a"), holder("b"), holder("c")],
    plan: ["claim 0"],
  },
  {
    name: "alone it takes all",
    shares: [],
    members: [holder("a")],
    plan: ["claim 0", "claim 1", "claim 2"],
  },
  {
    name: "a dead holder's share goes to the least loaded",
    shares: [
      [0, holder("a")],
      [1, holder("b")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b")],
    plan: ["claim 2"],
  },
  {
    name: "its own from an earlier start is taken back at once",
    shares: [
      [0, holder("a", "a-0")],
      [1, holder("b")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    plan: ["claim 0"],
  },
  {
    name: "another's earlier start is that one's to take back",
    shares: [
      [0, holder("a")],
      [1, holder("b", "b-0")],
      [2, holder("c")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    plan: [],
  },
  {
    name: "a steady member without a share is given one",
    shares: [
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
    shares: [
      [0, holder("a")],
      [1, holder("a")],
      [2, holder("b")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    steady: ["a", "b"],
    plan: [],
  },
  {
    name: "nor is any while a share is without a holder",
    shares: [
      [0, holder("a")],
      [1, holder("a")],
    ],
    members: [holder("a"), holder("b"), holder("c")],
    steady: ["a", "b", "c"],
    plan: [],
  },
];

test("who takes and hands over which share", () => {
  for (const c of shareCases) {
    const plan = planShares({
      me: holder("a"),
      size: 3,
      shares: new Map(c.shares.map(([n, h]) => [shareNo(n), h])),
      members: new Map(c.members.map((m) => [m.label, m])),
      steady: new Set((c.steady ?? []).map(controllerLabel)),
    });
    assert.deepEqual(
      plan.map((a) =>
        a.kind === "claim" ? `claim ${a.share}` : `hand_over ${a.share} ${a.to.label}`,
      ),
      c.plan,
      c.name,
    );
  }
});

test("teams spread evenly over the shares, and a known team never changes its own", () => {
  const names = Array.from({ length: 10 }, (_, i) => teamName(`team-0${i}`));
  const first = assignTeams(new Map(), names, 3);
  const load = [0, 1, 2].map((n) => [...first.values()].filter((s) => s === n).length);
  assert.deepEqual(load, [4, 3, 3]);
  const next = assignTeams(first, [teamName("aaa"), ...names.slice(3)], 3);
  for (const [name, share] of first) assert.equal(next.get(name), share);
  assert.equal(next.get(teamName("aaa")), 1);
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
