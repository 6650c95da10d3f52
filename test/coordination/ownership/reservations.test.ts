/** Room that is kept for tasks. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, type TaskId } from "@umberfold/ids";
import { Reservations } from "../../../src/coordination/ownership/reservations.js";

const [FIRST, SECOND] = ["wk-1/0", "wk-2/0"] as [TaskId, TaskId];

const setUp = (): Reservations => {
  const reservations = new Reservations();
  reservations.add(FIRST, { to: machineId("m-1"), until: monotonicMs(1000) });
  reservations.add(SECOND, { to: machineId("m-2"), until: monotonicMs(2000) });
  return reservations;
};

test("reservations: those whose time has come expire, and the others stay", () => {
  const reservations = setUp();
  reservations.expire(monotonicMs(1000));
  assert.equal(reservations.has(FIRST), false);
  assert.equal(reservations.get(SECOND)?.to, "m-2");
});

test("reservations: a later one for the same task replaces the earlier", () => {
  const reservations = setUp();
  reservations.add(FIRST, { to: machineId("m-3"), until: monotonicMs(3000) });
  assert.deepEqual(
    [...reservations].map(([task, { to }]) => `${task} ${to}`),
    ["wk-1/0 m-3", "wk-2/0 m-2"],
  );
});

test("reservations: none is left for a task that started", () => {
  const reservations = setUp();
  reservations.delete(FIRST);
  assert.equal(reservations.get(FIRST), undefined);
});
