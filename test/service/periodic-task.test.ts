import assert from "node:assert/strict";
import test from "node:test";
import {
  periodicTask,
  startPeriodic,
  withProportionalRest,
} from "../../src/service/periodic-task.js";
import { SimulatedClock } from "../sim/clock.js";

/** Durations of a run and of the rest after it, with a rest factor of 5. */
const cases: readonly (readonly [name: string, tookMs: number, restMs: number])[] = [
  ["none after a short run", 1, 0],
  ["in proportion to the run", 20, 100],
  // The process was paused in the middle of the run, so that the run seems to have taken 35 s. In
  // proportion to that, the task would rest for minutes, and no machine would be moved meanwhile.
  ["at most 2 s after a process pause", 35_000, 2000],
];

for (const [name, tookMs, restMs] of cases)
  test(`rest after a run: ${name}`, async () => {
    const clock = new SimulatedClock(1);
    let restedFrom = -1;
    let until = -1;
    const run = withProportionalRest(5, async () => {
      clock.now += tookMs;
      restedFrom = clock.now;
    });
    clock.after(1, () => {
      void run().then(() => {
        until = clock.now;
      });
    });
    await clock.runUntil(60_000);
    assert.equal(until - restedFrom, restMs);
  });

test("a failed run is reported, and the task continues until it is stopped", async () => {
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
