/**
 * A selector shared by jobs with the same key must choose what a search over all machines finds.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import type { JobSpec } from "../../src/protocol/jobs.js";
import {
  type CandidateMachine,
  CandidateSelector,
  isPermitted,
  placementGroupKey,
} from "../../src/scheduling/placement.js";
import { add, fitsRemainingCapacity, minimumOf } from "../../src/scheduling/resources.js";
import { moveProbability } from "../../src/scheduling/swarm.js";
import {
  IMAGES,
  type RandomSource,
  randomSource,
  randomSpec,
  resourcesOf,
  ZONES,
} from "../support/random-jobs.js";

/** The expected choice: filters and sorts all machines anew for each task. */
const bestCandidate = (
  spec: JobSpec,
  machines: readonly CandidateMachine[],
  zones: ReadonlyMap<string, number>,
  slackS: number,
): CandidateMachine | null => {
  const rankOf = (p: CandidateMachine): readonly number[] => {
    const late = !p.images.has(spec.image) && spec.imageGb > slackS * p.fetchGbPerS;
    const after = moveProbability(
      add(p.usedResources, spec.resources),
      p.capacity,
      minimumOf(p.smallestDemand, spec.resources),
    );
    return [
      p.competingShapes,
      Number(late),
      Number(p.isCostly),
      after,
      p.images.has(spec.image) ? 0 : 1,
      p.price,
    ];
  };
  const permitted = machines.filter(
    (p) =>
      fitsRemainingCapacity(spec.resources, p.usedResources, p.capacity) &&
      isPermitted(spec, p, zones),
  );
  const ranked = permitted.map((p, at) => ({ p, key: [...rankOf(p), at] }));
  ranked.sort((a, b) => {
    const at = a.key.findIndex((x, i) => Math.abs(x - (b.key[i] ?? 0)) > 1e-9);
    return at < 0 ? 0 : (a.key[at] ?? 0) - (b.key[at] ?? 0);
  });
  return ranked[0]?.p ?? null;
};

const randomMachines = (random: RandomSource): readonly CandidateMachine[] =>
  Array.from({ length: 12 }, (_, i): CandidateMachine => {
    const large = random.unit() < 0.5;
    return {
      id: machineId(`m-${i}`),
      type: large ? "large" : "small",
      zone: random.pick(ZONES),
      spot: random.unit() < 0.5,
      capacity: resourcesOf(large ? 16 : 8),
      usedResources: resourcesOf(0),
      smallestDemand: resourcesOf(Number.POSITIVE_INFINITY),
      price: random.pick([1, 2, 3]),
      isCostly: random.unit() < 0.3,
      fetchGbPerS: random.pick([0.2, 1]),
      images: new Set(IMAGES.filter(() => random.unit() < 0.4)),
      competingShapes: large ? 2 : 1,
    };
  });

const startOn = (machine: CandidateMachine, spec: JobSpec, zones: Map<string, number>): void => {
  machine.usedResources = add(machine.usedResources, spec.resources);
  machine.smallestDemand = minimumOf(machine.smallestDemand, spec.resources);
  zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
};

/**
 * Places the tasks of one job until none fits, and compares each choice of the selector with that
 * of `bestCandidate`. Returns the number of placed tasks.
 */
const placeWithBoth = (
  spec: JobSpec,
  selector: CandidateSelector,
  machines: readonly CandidateMachine[],
  slackS: number,
): number => {
  const zones = new Map<string, number>();
  for (let task = 0; task < spec.taskCount; task++) {
    const chosen = selector.choose(zones, slackS);
    assert.equal(
      chosen?.id,
      bestCandidate(spec, machines, zones, slackS)?.id,
      `${spec.id}/${task}`,
    );
    if (chosen === null) return task;
    startOn(chosen, spec, zones);
  }
  return spec.taskCount;
};

test("a selector shared by a placement group chooses the machine that a full search finds", () => {
  let placed = 0;
  let placedByZone = 0;
  for (let seed = 1; seed <= 30; seed++) {
    const random = randomSource(seed);
    const machines = randomMachines(random);
    const selectors = new Map<string, CandidateSelector>();
    for (let n = 0; n < 25; n++) {
      const spec = randomSpec(random, `wk-${n}`);
      const key = placementGroupKey(spec);
      const selector = selectors.get(key) ?? new CandidateSelector(spec, machines);
      selectors.set(key, selector);
      const slackS = random.pick([Number.POSITIVE_INFINITY, 8, 2]);
      const count = placeWithBoth(spec, selector, machines, slackS);
      placed += count;
      if (spec.zoneAffinity || spec.spreadAcrossZones) placedByZone += count;
    }
  }
  assert.ok(placed > 500 && placedByZone > 50, `${placed} ${placedByZone}`);
});
