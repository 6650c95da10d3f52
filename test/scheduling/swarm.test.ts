/** Checks the move probability against the paper's equations, and the moves of one swarm period. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId, type TaskId } from "@umberfold/ids";
import type { Resources } from "../../src/protocol/jobs.js";
import { moveProbability, planSwarmMoves, type SwarmMachine } from "../../src/scheduling/swarm.js";

const amount = (cpus: number, ramGb: number, gpus = 0): Resources => ({ cpus, gpus, ramGb });

/** Expected values, calculated by hand from the paper's equations. */
const probabilities: readonly [
  name: string,
  usedResources: Resources,
  capacity: Resources,
  smallestDemand: Resources,
  expected: number,
][] = [
  ["only the smallest task: p = 1 (eq. 9)", amount(1, 4), amount(8, 32), amount(1, 4), 1],
  ["full in the least used share: p = 0", amount(8, 32), amount(8, 32), amount(1, 4), 0],
  ["half: ((8-4)/(8-1))^2 = 16/49", amount(4, 16), amount(8, 32), amount(1, 4), 16 / 49],
  [
    "the least used share decides (eq. 2): ram 8/32 < cpu 6/8, ((32-8)/(32-4))^2",
    amount(6, 8),
    amount(8, 32),
    amount(1, 4),
    (24 / 28) ** 2,
  ],
  [
    "resources that the machine lacks are ignored",
    amount(4, 16, 0),
    amount(8, 32, 0),
    amount(1, 4, 0),
    16 / 49,
  ],
  ["n0 = nmin: 0, not a division by zero", amount(8, 32), amount(8, 32), amount(8, 32), 0],
  [
    "over capacity (eqs. 1, 3): (n-n0)/n = (10-8)/10",
    amount(10, 16),
    amount(8, 32),
    amount(1, 4),
    0.2,
  ],
  [
    "over capacity in the dominant share: (48-32)/48",
    amount(9, 48),
    amount(8, 32),
    amount(1, 4),
    1 / 3,
  ],
  [
    "less in use than the smallest task, because of pending moves out: clamped to 1",
    amount(0, 0),
    amount(8, 32),
    amount(1, 4),
    1,
  ],
];

for (const [name, usedResources, capacity, smallestDemand, expected] of probabilities)
  test(`move probability: ${name}`, () => {
    assert.ok(
      Math.abs(moveProbability(usedResources, capacity, smallestDemand) - expected) < 1e-12,
    );
  });

/** A task as id, processors and lost work in seconds. */
type TaskRow = readonly [id: string, cpus: number, lostWorkS: number];
const task = (id: string, cpus: number, lostWorkS = 0): TaskRow => [id, cpus, lostWorkS];

/** A machine of 8 processors. Its tasks may move to any machine except the forbidden ones. */
const machine = (
  id: string,
  usedCpus: number,
  tasks: readonly TaskRow[],
  forbidden: readonly string[] = [],
): SwarmMachine => ({
  id: machineId(id),
  capacity: amount(8, 32),
  usedResources: amount(usedCpus, usedCpus * 4),
  tasks: tasks.map(([taskId, cpus, lostWorkS]) => ({
    task: taskId as TaskId,
    resources: amount(cpus, cpus * 4),
    lostWorkS,
    mayRunOn: (to) => !forbidden.includes(to),
  })),
});

/** `draw`: the value of every random number in the period. */
const periods: readonly {
  readonly name: string;
  readonly machines: readonly SwarmMachine[];
  readonly draw: number;
  readonly maxMoves: number;
  readonly expected: readonly string[];
}[] = [
  {
    name: "a single task moves to a fuller machine with free capacity",
    machines: [machine("a", 2, [task("t", 2)]), machine("b", 6, [task("u", 2), task("v", 4)])],
    draw: 0.5,
    maxMoves: 2,
    expected: ["t a>b"],
  },
  {
    name: "a random number at or above p moves nothing",
    machines: [
      machine("a", 4, [task("t", 2), task("w", 2)]),
      machine("b", 4, [task("u", 2), task("v", 2)]),
    ],
    draw: 0.99,
    maxMoves: 2,
    expected: [],
  },
  {
    name: "no task moves to a machine without enough free capacity (eq. 26)",
    machines: [machine("a", 4, [task("t", 4)]), machine("b", 6, [task("u", 6)])],
    draw: 0,
    maxMoves: 2,
    expected: [],
  },
  {
    name: "no task moves to an empty machine, because it could then not be returned",
    machines: [machine("a", 2, [task("t", 2)]), machine("b", 0, [])],
    draw: 0,
    maxMoves: 2,
    expected: [],
  },
  {
    name: "a task that is expensive to restart does not move",
    machines: [machine("a", 2, [task("t", 2, 60)]), machine("b", 6, [task("u", 6, 60)])],
    draw: 0,
    maxMoves: 2,
    expected: [],
  },
  {
    name: "no task moves to a forbidden destination",
    machines: [machine("a", 2, [task("t", 2)], ["b"]), machine("b", 6, [task("u", 6, 60)])],
    draw: 0,
    maxMoves: 2,
    expected: [],
  },
  {
    name: "a period plans at most the maximum number of moves",
    machines: [
      machine("a", 2, [task("t", 2)]),
      machine("b", 2, [task("s", 2)]),
      machine("c", 4, [task("u", 4, 60)]),
    ],
    draw: 0,
    maxMoves: 1,
    expected: ["t a>c"],
  },
];

for (const { name, machines, draw, maxMoves, expected } of periods)
  test(`swarm period: ${name}`, () => {
    const moves = planSwarmMoves(machines, () => draw, { maxMoves, maxLostWorkS: 4 });
    assert.deepEqual(
      moves.map((move) => `${move.task} ${move.from}>${move.to}`),
      expected,
    );
  });
