import assert from "node:assert/strict";
import test from "node:test";
import { machineId, type TaskId } from "@umberfold/ids";
import type { Resources } from "../../src/protocol/jobs.js";
import { isPermitted, maxTasksPerZone } from "../../src/scheduling/placement.js";
import { moveProbability, planSwarmMoves, type SwarmMachine } from "../../src/scheduling/swarm.js";

const r = (cpus: number, ramGb: number, gpus = 0): Resources => ({ cpus, gpus, ramGb });

const values: readonly [string, Resources, Resources, Resources, number][] = [
  // name, use, capacity, smallest task, p
  ["one smallest task: p = 1 (eq. 9)", r(1, 4), r(8, 32), r(1, 4), 1],
  ["full in the least used share: p = 0", r(8, 32), r(8, 32), r(1, 4), 0],
  ["half: ((8-4)/(8-1))^2 = 16/49", r(4, 16), r(8, 32), r(1, 4), 16 / 49],
  [
    "least share rules (eq. 2): ram 8/32 < cpu 6/8, ((32-8)/(32-4))^2",
    r(6, 8),
    r(8, 32),
    r(1, 4),
    (24 / 28) ** 2,
  ],
  ["kinds the machine lacks don't count", r(4, 16, 0), r(8, 32, 0), r(1, 4, 0), 16 / 49],
  ["n0 = nmin: 0, not a division by zero", r(8, 32), r(8, 32), r(8, 32), 0],
  ["over capacity (eqs. 1, 3): (n-n0)/n = (10-8)/10", r(10, 16), r(8, 32), r(1, 4), 0.2],
  ["over capacity in the dominant share: (48-32)/48", r(9, 48), r(8, 32), r(1, 4), 1 / 3],
  ["pending moves out may leave less than one task: clamped to 1", r(0, 0), r(8, 32), r(1, 4), 1],
];

test("the pheromone, worked out by hand from the paper's equations", () => {
  for (const [name, use, capacity, least, p] of values)
    assert.ok(Math.abs(moveProbability(use, capacity, least) - p) < 1e-12, name);
});

const machine = (
  id: string,
  use: number,
  tasks: readonly (readonly [string, number, number])[],
  forbidden: readonly string[] = [],
): SwarmMachine => ({
  id: machineId(id),
  capacity: r(8, 32),
  use: r(use, use * 4),
  tasks: tasks.map(([task, cpus, lossS]) => ({
    task: task as TaskId,
    resources: r(cpus, cpus * 4),
    lossS,
    allowed: (to) => !forbidden.includes(to),
  })),
});
const task = (id: string, cpus: number, lossS = 0) => [id, cpus, lossS] as const;

const rounds: readonly {
  name: string;
  machines: readonly SwarmMachine[];
  draw: number;
  cap: number;
  moves: readonly string[];
}[] = [
  {
    name: "a lone task joins a fuller machine with room",
    machines: [machine("a", 2, [task("t", 2)]), machine("b", 6, [task("u", 2), task("v", 4)])],
    draw: 0.5,
    cap: 2,
    moves: ["t a>b"],
  },
  {
    name: "a draw at or above p moves nothing",
    machines: [
      machine("a", 4, [task("t", 2), task("w", 2)]),
      machine("b", 4, [task("u", 2), task("v", 2)]),
    ],
    draw: 0.99,
    cap: 2,
    moves: [],
  },
  {
    name: "no destination past capacity (eq. 26)",
    machines: [machine("a", 4, [task("t", 4)]), machine("b", 6, [task("u", 6)])],
    draw: 0,
    cap: 2,
    moves: [],
  },
  {
    name: "nor onto an empty machine: it would need to be kept",
    machines: [machine("a", 2, [task("t", 2)]), machine("b", 0, [])],
    draw: 0,
    cap: 2,
    moves: [],
  },
  {
    name: "a task dear to restart stays",
    machines: [machine("a", 2, [task("t", 2, 60)]), machine("b", 6, [task("u", 6, 60)])],
    draw: 0,
    cap: 2,
    moves: [],
  },
  {
    name: "a forbidden destination is none",
    machines: [machine("a", 2, [task("t", 2)], ["b"]), machine("b", 6, [task("u", 6, 60)])],
    draw: 0,
    cap: 2,
    moves: [],
  },
  {
    name: "the cap holds",
    machines: [
      machine("a", 2, [task("t", 2)]),
      machine("b", 2, [task("s", 2)]),
      machine("c", 4, [task("u", 4, 60)]),
    ],
    draw: 0,
    cap: 1,
    moves: ["t a>c"],
  },
];

test("one period of the swarm", () => {
  for (const c of rounds) {
    const moves = planSwarmMoves(c.machines, () => c.draw, { cap: c.cap, maxLossS: 4 });
    assert.deepEqual(
      moves.map((m) => `${m.task} ${m.from}>${m.to}`),
      c.moves,
      c.name,
    );
  }
});

const spec = {
  machineTypes: null as readonly string[] | null,
  zone: null as string | null,
  zoneAffinity: false,
  spreadAcrossZones: false,
  spotAllowed: true,
  taskCount: 9,
};
const place = { type: "g8", zone: "a", spot: true };
const where: readonly [string, object, readonly [string, number][], boolean][] = [
  ["anything goes", {}, [], true],
  ["no spot", { spotAllowed: false }, [], false],
  ["another type", { machineTypes: ["x"] }, [], false],
  ["its type", { machineTypes: ["x", "g8"] }, [], true],
  ["another zone", { zone: "b" }, [], false],
  ["one zone, the others elsewhere", { zoneAffinity: true }, [["b", 1]], false],
  ["one zone, elsewhere none left", { zoneAffinity: true }, [["b", 0]], true],
  ["apart: 4 of 9 there already", { spreadAcrossZones: true }, [["a", 4]], true],
  ["apart: 5 of 9 there already", { spreadAcrossZones: true }, [["a", 5]], false],
];

test("where a task may start", () => {
  for (const [name, change, zones, ok] of where)
    assert.equal(isPermitted({ ...spec, ...change } as never, place, new Map(zones)), ok, name);
  assert.deepEqual([1, 2, 5, 9].map(maxTasksPerZone), [1, 1, 3, 5]);
});
