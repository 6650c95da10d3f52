/** A preemption search must find the victims that sorting all victims anew for each task finds. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import type { Resources } from "../../src/protocol/jobs.js";
import {
  type PreemptionCandidate,
  PreemptionSearch,
  type PreemptionSource,
} from "../../src/scheduling/preemption.js";
import { add, fits, subtract } from "../../src/scheduling/resources.js";
import { randomSource, resourcesOf } from "../support/random-jobs.js";

const sources = (all: readonly PreemptionCandidate[]): readonly PreemptionSource[] =>
  all.map((c) => ({ candidate: () => c, version: () => 0 }));

/**
 * The victims on one machine with the least lost work: the cheapest ones until the task fits,
 * without those that turn out not to be needed.
 */
const victimsOn = (
  needs: Resources,
  candidate: PreemptionCandidate,
): PreemptionCandidate["victims"] | undefined => {
  let free = candidate.free;
  let chosen: PreemptionCandidate["victims"][number][] = [];
  for (const victim of [...candidate.victims].sort((a, b) => a.lostWorkS - b.lostWorkS)) {
    if (fits(needs, free)) break;
    free = add(free, victim.resources);
    chosen.push(victim);
  }
  if (!fits(needs, free)) return undefined;
  for (const victim of [...chosen].sort((a, b) => b.lostWorkS - a.lostWorkS)) {
    if (!fits(needs, subtract(free, victim.resources))) continue;
    free = subtract(free, victim.resources);
    chosen = chosen.filter((other) => other !== victim);
  }
  return chosen;
};

/** The expected preemption: sorts all victims of all machines anew for each task. */
const cheapestVictims = (
  needs: Resources,
  candidates: PreemptionCandidate[],
  maxLostWorkS: number,
) => {
  let best: { at: number; victims: PreemptionCandidate["victims"]; lostWorkS: number } | null =
    null;
  for (const [at, candidate] of candidates.entries()) {
    const victims = victimsOn(needs, candidate);
    if (victims === undefined) continue;
    const lostWorkS = victims.reduce((sum, victim) => sum + victim.lostWorkS, 0);
    if (lostWorkS <= maxLostWorkS && lostWorkS < (best?.lostWorkS ?? Number.POSITIVE_INFINITY))
      best = { at, victims, lostWorkS };
  }
  return best;
};

test("preemption chooses the same victims as sorting all victims anew for each task", () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = randomSource(seed);
    const needs = resourcesOf(random.pick([1, 2, 4]));
    const candidates = Array.from(
      { length: 6 },
      (_, m): PreemptionCandidate => ({
        id: machineId(`m-${m}`),
        free: resourcesOf(random.below(3)),
        victims: Array.from({ length: random.below(6) }, (_x, v) => ({
          task: `wk-${m}/${v}` as never,
          resources: resourcesOf(random.pick([1, 2, 4])),
          lostWorkS: random.unit() * 20,
        })),
      }),
    );
    const search = new PreemptionSearch(needs, sources(candidates), 25);
    for (;;) {
      const expected = cheapestVictims(needs, candidates, 25);
      const got = search.nextPlan();
      assert.equal(got?.machine, expected === null ? undefined : candidates[expected.at]?.id);
      if (expected === null) break;
      assert.deepEqual(
        got?.victims.map((v) => v.task),
        expected.victims.map((v) => v.task),
      );
      const c = candidates[expected.at] as PreemptionCandidate;
      const freed = expected.victims.reduce((sum, v) => add(sum, v.resources), c.free);
      const victims = c.victims.filter((v) => !expected.victims.includes(v));
      candidates[expected.at] = { id: c.id, free: subtract(freed, needs), victims };
    }
  }
});

test("a preemption candidate whose version changed is recomputed before it is chosen", () => {
  const task = (id: string, lostWorkS: number) => ({
    task: id as never,
    resources: resourcesOf(2),
    lostWorkS,
  });
  const cheap = {
    id: machineId("m-1"),
    free: resourcesOf(0),
    victims: [task("a", 1), task("b", 2)],
  };
  const dearer = { id: machineId("m-2"), free: resourcesOf(0), victims: [task("c", 5)] };
  let taken: PreemptionCandidate | undefined = cheap;
  let version = 0;
  const search = new PreemptionSearch(
    resourcesOf(2),
    [
      { candidate: () => taken, version: () => version },
      { candidate: () => dearer, version: () => 0 },
    ],
    25,
  );
  // Task `a` has been stopped for another job, so the search must not choose it any more.
  taken = { ...cheap, victims: [task("b", 9)] };
  version++;
  assert.equal(search.nextPlan()?.victims[0]?.task, "c");
  assert.equal(search.nextPlan()?.victims[0]?.task, "b");
  assert.equal(search.nextPlan(), null);
});
