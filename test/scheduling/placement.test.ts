/**
 * Machines on which a task may start (`isPermitted`), and the choice of one (`CandidateSelector`).
 */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import {
  type CandidateMachine,
  CandidateSelector,
  isPermitted,
  maxTasksPerZone,
} from "../../src/scheduling/placement.js";
import { job } from "./fixtures.js";

const RULES = {
  machineTypes: null as readonly string[] | null,
  zone: null as string | null,
  zoneAffinity: false,
  spreadAcrossZones: false,
  spotAllowed: true,
  taskCount: 9,
};
const MACHINE = { type: "g8", zone: "a", spot: true };

/** Changes to the rules, and the number of the job's other tasks by zone. */
const permissions: readonly [
  name: string,
  change: Partial<typeof RULES>,
  zones: readonly [string, number][],
  permitted: boolean,
][] = [
  ["no rules", {}, [], true],
  ["spot not allowed", { spotAllowed: false }, [], false],
  ["another type", { machineTypes: ["x"] }, [], false],
  ["its type", { machineTypes: ["x", "g8"] }, [], true],
  ["another zone", { zone: "b" }, [], false],
  ["zone affinity, other tasks in another zone", { zoneAffinity: true }, [["b", 1]], false],
  ["zone affinity, no tasks left in another zone", { zoneAffinity: true }, [["b", 0]], true],
  ["spread, 4 of 9 tasks in the zone already", { spreadAcrossZones: true }, [["a", 4]], true],
  ["spread, 5 of 9 tasks in the zone already", { spreadAcrossZones: true }, [["a", 5]], false],
];

for (const [name, change, zones, permitted] of permissions)
  test(`a task may ${permitted ? "" : "not "}start: ${name}`, () => {
    assert.equal(isPermitted({ ...RULES, ...change } as never, MACHINE, new Map(zones)), permitted);
  });

test("a job spread across zones has at most half of its tasks, rounded up, in one", () => {
  assert.deepEqual([1, 2, 5, 9].map(maxTasksPerZone), [1, 1, 3, 5]);
});

/** A machine of 8 processors, this many of them in use. */
const machine = (
  id: string,
  fetchGbPerS: number,
  usedCpus: number,
  images: readonly string[],
): CandidateMachine => ({
  id: machineId(id),
  type: "t",
  zone: "a",
  spot: true,
  capacity: { cpus: 8, gpus: 0, ramGb: 32 },
  usedResources: { cpus: usedCpus, gpus: 0, ramGb: usedCpus },
  smallestDemand: { cpus: 2, gpus: 0, ramGb: 2 },
  price: 1,
  isCostly: false,
  fetchGbPerS,
  images: new Set(images),
  competingShapes: 1,
});

test("the fullest machine is chosen, unless its image fetch exceeds the task's slack", () => {
  const spec = {
    ...job("wk-1", 0, { cpus: 2 })[1].spec,
    image: "i",
    imageGb: 2,
    spotAllowed: true,
  };
  // The fullest machine has the lowest move probability, but the task would be late there if the
  // image fetch takes longer than the slack.
  const machines = [
    machine("full", 0.2, 6, []),
    machine("quick", 1, 4, []),
    machine("has", 0.2, 2, ["i"]),
  ];
  const chosen = (slackS?: number) =>
    new CandidateSelector(spec, machines).choose(new Map(), slackS)?.id;
  assert.equal(chosen(), "full");
  assert.equal(chosen(3), "quick");
  assert.equal(chosen(1), "has");
});
