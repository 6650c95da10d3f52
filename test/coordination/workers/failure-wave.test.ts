/** When recent machine failures count as a wave. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { FailureWave } from "../../../src/coordination/workers/failure-wave.js";

const waveOf = (failedAt: readonly number[]): FailureWave => {
  const wave = new FailureWave();
  for (const at of failedAt) wave.recordFailure(monotonicMs(at));
  return wave;
};

const cases: readonly {
  name: string;
  failedAt: readonly number[];
  now: number;
  active: boolean;
}[] = [
  { name: "two failures are not a wave", failedAt: [1000, 1000], now: 1000, active: false },
  {
    name: "three failures within eight seconds are a wave",
    failedAt: [0, 3000, 7999],
    now: 7999,
    active: true,
  },
  {
    name: "a failure eight seconds ago no longer counts",
    failedAt: [0, 3000, 7999],
    now: 8000,
    active: false,
  },
];

for (const { name, failedAt, now, active } of cases)
  test(`failure wave: ${name}`, () => {
    assert.equal(waveOf(failedAt).isActive(monotonicMs(now)), active);
  });

test("failure wave: a reset ends it", () => {
  const wave = waveOf([1000, 1000, 1000]);
  wave.reset();
  assert.equal(wave.isActive(monotonicMs(1000)), false);
});
