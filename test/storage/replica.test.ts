/** How the replica handles changes that arrive twice, late or in another order. */
import assert from "node:assert/strict";
import test from "node:test";
import { controllerLabel, machineId, revision } from "@umberfold/ids";
import { Replica } from "../../src/storage/replica.js";

test("a machine moved to another page is in that page only, in either order of changes", () => {
  const page = { t: ["g8"], z: ["a"] };
  const row = ["m-1", 0, 0, 0, 0, "", 5];
  const changes = [
    { kind: "put", key: "now/fleet/0/x", value: { ...page, m: [] }, rev: revision(9) },
    { kind: "put", key: "now/fleet/1/y", value: { ...page, m: [row] }, rev: revision(9) },
  ] as const;
  for (const order of [changes, [...changes].reverse()]) {
    const replica = new Replica();
    replica.apply({
      kind: "put",
      key: "now/fleet/0/x",
      value: { ...page, m: [row] },
      rev: revision(7),
    });
    for (const change of order) replica.apply(change);
    assert.equal(replica.machines.get(machineId("m-1"))?.shard, 1);
    assert.equal(replica.machinePageKeyOf(machineId("m-1")), "now/fleet/1/y");
  }
});

test("the replica ignores changes older than those it has applied", () => {
  const replica = new Replica();
  const key = "now/member/a";
  const put = (rev: number, start: string): void =>
    replica.apply({ kind: "put", key, value: { l: "a", i: start }, rev: revision(rev) });
  const storedIncarnation = (): string | undefined =>
    replica.members.get(controllerLabel("a"))?.value.incarnation;
  put(5, "new");
  put(3, "old");
  assert.equal(storedIncarnation(), "new");
  // An own transaction deleted the key at revision 9; the watch reports revision 7 only later.
  replica.apply({ kind: "delete", key, rev: revision(9) });
  put(7, "late");
  assert.equal(replica.members.size, 0);
  replica.advanceTo(revision(9));
  put(11, "again");
  assert.equal(storedIncarnation(), "again");
  // A scan older than the last change doesn't revert it; a newer one does.
  replica.applyScan([], revision(10));
  assert.equal(replica.members.size, 1);
  replica.applyScan([], revision(12));
  assert.equal(replica.members.size, 0);
});
