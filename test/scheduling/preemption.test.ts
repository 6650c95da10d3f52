/** `PreemptionSearch`: what is stopped to make a task fit. `mayPreempt`: who may preempt whom. */
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

/** Processors that the task needs, the maximum loss in seconds, and "machine victims..." or null. */
const searches: readonly [
  name: string,
  cpus: number,
  maxLostWorkS: number,
  expected: string | null,
][] = [
  ["takes the least total loss", 4, 15, "m-1 b"],
  ["takes two victims where one is not enough", 8, 15, "m-1 a b"],
  ["spares a victim that turns out not to be needed", 6, 15, "m-2 d"],
  // Else a task of 8 that was stopped for one of 2 is followed by more stops, for the capacity it left.
  ["stops nothing where stopping tasks leave enough already", 2, 15, "m-2"],
  ["finds nothing within a maximum loss that all options exceed", 4, 1, null],
  ["finds nothing for a task that fits nowhere", 32, 99, null],
];

for (const [name, cpus, maxLostWorkS, expected] of searches)
  test(`preemption search: ${name}`, () => {
    const need = { cpus, gpus: 0, ramGb: 1 };
    const plan = new PreemptionSearch(need, sources(CANDIDATES), maxLostWorkS).nextPlan();
    const actual =
      plan === null ? null : [plan.machine, ...plan.victims.map((v) => v.task).sort()].join(" ");
    assert.equal(actual, expected);
  });

/** Priority (lower goes first), whether within a guarantee, and team. */
type Side = readonly [priority: number, withinGuarantee: boolean, team: string];

const rules: readonly [name: string, by: Side, victim: Side, allowed: boolean][] = [
  ["higher priority preempts lower", [1, false, "t"], [2, false, "u"], true],
  ["higher priority spares work within a guarantee", [1, false, "t"], [2, true, "u"], false],
  ["both within one, higher priority preempts lower", [1, true, "t"], [2, true, "u"], true],
  ["equal priority spares", [1, false, "t"], [1, false, "u"], false],
  ["a guarantee preempts another team's excess", [2, true, "t"], [1, false, "u"], true],
  ["a guarantee spares another team's guarantee", [2, true, "t"], [1, true, "u"], false],
  ["a guarantee spares its own team's excess", [2, true, "t"], [1, false, "t"], false],
];

const context = ([priority, withinGuarantee, team]: Side) => ({ priority, withinGuarantee, team });

for (const [name, by, victim, allowed] of rules)
  test(`who may preempt whom: ${name}`, () => {
    assert.equal(mayPreempt(context(by), context(victim)), allowed);
  });
