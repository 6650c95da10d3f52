/** Capacity reserved for tasks. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, monotonicMs, type TaskId } from "@umberfold/ids";
import { Reservations } from "../../../src/coordination/ownership/reservations.js";

const [FIRST, SECOND] = ["wk-1/0", "wk-2/0"] as [TaskId, TaskId];

const setUp = (): Reservations => {
  const reservations = new Reservations();
  reservations.set(FIRST, { machine: machineId("m-1"), expiresAt: monotonicMs(1000) });
  reservations.set(SECOND, { machine: machineId("m-2"), expiresAt: monotonicMs(2000) });
  return reservations;
};

test("reservations: those that have expired are deleted, and the others stay", () => {
  const reservations = setUp();
  reservations.deleteExpired(monotonicMs(1000));
  assert.equal(reservations.has(FIRST), false);
  assert.equal(reservations.get(SECOND)?.machine, "m-2");
});

test("reservations: a later one for the same task replaces the earlier one", () => {
  const reservations = setUp();
  reservations.set(FIRST, { machine: machineId("m-3"), expiresAt: monotonicMs(3000) });
  assert.deepEqual(
    [...reservations].map(([task, { machine }]) => `${task} ${machine}`),
    ["wk-1/0 m-3", "wk-2/0 m-2"],
  );
});

test("reservations: a task has none once its reservation is deleted", () => {
  const reservations = setUp();
  reservations.delete(FIRST);
  assert.equal(reservations.get(FIRST), undefined);
});
