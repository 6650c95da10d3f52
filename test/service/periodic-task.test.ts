import assert from "node:assert/strict";
import test from "node:test";
import {
  periodicTask,
  startPeriodic,
  withProportionalRest,
} from "../../src/service/periodic-task.js";
import { SimulatedClock } from "../sim/clock.js";

/** How long a decision that took so long rests, at five times as long. */
const cases: readonly (readonly [name: string, tookMs: number, restMs: number])[] = [
  ["too short to count", 1, 0],
  ["in proportion", 20, 100],
  // A process pause in the middle of it: its clock ran on, and nothing would be moved for minutes.
  ["after a pause not for minutes", 35_000, 2000],
];

for (const [name, tookMs, restMs] of cases)
  test(`a decision rests: ${name}`, async () => {
    const clock = new SimulatedClock(1);
    let restedFrom = -1;
    let until = -1;
    const decide = withProportionalRest(5, async () => {
      clock.now += tookMs;
      restedFrom = clock.now;
    });
    clock.after(1, () => {
      void decide().then(() => {
        until = clock.now;
      });
    });
    await clock.runUntil(60_000);
    assert.equal(until - restedFrom, restMs);
  });

test("a task that fails is logged and run again, until it is stopped", async () => {
  const failures: string[] = [];
  const stops: (() => void)[] = [];
  let runs = 0;
  await new Promise<void>((resolve) => {
    const task = periodicTask("failing", 1, async () => {
      runs++;
      if (runs === 4) resolve();
      if (runs < 4) throw new Error(`run ${runs}`);
    });
    const stop = startPeriodic(task, (error) => failures.push(String(error)));
    stops.push(stop);
  });
  for (const stop of stops) stop();
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.deepEqual(failures, ["Error: run 1", "Error: run 2", "Error: run 3"]);
  assert.equal(runs, 4);
});
