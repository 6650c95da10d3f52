/** The tasks that `PreemptionSearch` stops to make one fit, and the rules of `mayPreempt`. */
import assert from "node:assert/strict";
import test from "node:test";
import { machineId } from "@umberfold/ids";
import {
  mayPreempt,
  type PreemptionCandidate,
  PreemptionSearch,
  type PreemptionSource,
  type Victim,
} from "../../src/scheduling/preemption.js";

const victim = (id: string, cpus: number, lostWorkS: number): Victim => ({
  task: id as never,
  resources: { cpus, gpus: 0, ramGb: 1 },
  lostWorkS,
});

const CANDIDATES: readonly PreemptionCandidate[] = [
  {
    id: machineId("m-1"),
    free: { cpus: 0, gpus: 0, ramGb: 8 },
    victims: [victim("a", 4, 9), victim("b", 4, 2)],
  },
  {
    id: machineId("m-2"),
    free: { cpus: 2, gpus: 0, ramGb: 8 },
    victims: [victim("c", 1, 1), victim("d", 4, 3)],
  },
];

const sources = (candidates: readonly PreemptionCandidate[]): readonly PreemptionSource[] =>
  candidates.map((candidate) => ({ candidate: () => candidate, version: () => 0 }));

/** The task's processors, the maximum lost work in seconds, and "machine victims..." or null. */
const searches: readonly [
  name: string,
  cpus: number,
  maxLostWorkS: number,
  expected: string | null,
][] = [
  ["chooses the victims with the least lost work in total", 4, 15, "m-1 b"],
  ["chooses two victims if one is not enough", 8, 15, "m-1 a b"],
  ["leaves out a victim that turns out not to be needed", 6, 15, "m-2 d"],
  // Otherwise, after a task of 8 processors has been stopped for one of 2, more tasks would be
  // stopped although the remaining capacity of the first one is enough.
  ["stops nothing if tasks that are already being stopped leave enough capacity", 2, 15, "m-2"],
  ["finds nothing if all options exceed the maximum lost work", 4, 1, null],
  ["finds nothing for a task that fits on no machine", 32, 99, null],
];

for (const [name, cpus, maxLostWorkS, expected] of searches)
  test(`preemption search: ${name}`, () => {
    const need = { cpus, gpus: 0, ramGb: 1 };
    const plan = new PreemptionSearch(need, sources(CANDIDATES), maxLostWorkS).nextPlan();
    const actual =
      plan === null ? null : [plan.machine, ...plan.victims.map((v) => v.task).sort()].join(" ");
    assert.equal(actual, expected);
  });

/** The priority (a lower number is higher), whether within a guarantee, and the team. */
type Side = readonly [priority: number, withinGuarantee: boolean, team: string];

const rules: readonly [name: string, by: Side, victim: Side, allowed: boolean][] = [
  ["higher priority preempts lower", [1, false, "t"], [2, false, "u"], true],
  [
    "higher priority doesn't preempt work within a guarantee",
    [1, false, "t"],
    [2, true, "u"],
    false,
  ],
  ["both within a guarantee, higher priority preempts lower", [1, true, "t"], [2, true, "u"], true],
  ["equal priority doesn't preempt", [1, false, "t"], [1, false, "u"], false],
  [
    "work within a guarantee preempts another team's work beyond its guarantee",
    [2, true, "t"],
    [1, false, "u"],
    true,
  ],
  [
    "work within a guarantee doesn't preempt another team's work within one",
    [2, true, "t"],
    [1, true, "u"],
    false,
  ],
  [
    "work within a guarantee doesn't preempt its own team's work beyond it",
    [2, true, "t"],
    [1, false, "t"],
    false,
  ],
];

const context = ([priority, withinGuarantee, team]: Side) => ({ priority, withinGuarantee, team });

for (const [name, by, victim, allowed] of rules)
  test(`preemption rules: ${name}`, () => {
    assert.equal(mayPreempt(context(by), context(victim)), allowed);
  });
