/** `fairTaskBatches`: how what a round may start is divided between teams. */
import assert from "node:assert/strict";
import test from "node:test";
import { jobId, type TeamName, teamName } from "@umberfold/ids";
import { fairTaskBatches, type TaskBatch, type WaitingJob } from "@umberfold/load-spread";
import fc from "fast-check";
import { SEED } from "./fixtures.js";

const work = (
  id: string,
  team: string,
  taskCount: number,
  taskDominantShare = 0.01,
): WaitingJob => ({
  id: jobId(id),
  team: teamName(team),
  taskCount,
  taskDominantShare,
});

/** Turns as "job:tasks". */
const describe = (turns: readonly TaskBatch[]): readonly string[] =>
  turns.map((turn) => `${turn.id}:${turn.taskCount}`);

const cases: readonly {
  readonly name: string;
  readonly jobs: readonly WaitingJob[];
  readonly shares?: Readonly<Record<string, number>>;
  readonly maxTasks: number;
  readonly expected: readonly string[];
}[] = [
  {
    name: "a burst gives way to the team with less",
    jobs: [work("wk-1", "busy", 100), work("wk-2", "quiet", 2)],
    shares: { busy: 0.5, quiet: 0 },
    maxTasks: 4,
    expected: ["wk-2:2", "wk-1:2"],
  },
  {
    name: "equals take turns",
    jobs: [work("wk-1", "a", 3), work("wk-2", "b", 3)],
    maxTasks: 4,
    expected: ["wk-1:1", "wk-2:1", "wk-1:1", "wk-2:1"],
  },
  {
    name: "larger tasks come less often",
    jobs: [work("wk-1", "a", 9, 0.03), work("wk-2", "b", 9, 0.01)],
    maxTasks: 8,
    expected: ["wk-1:1", "wk-2:3", "wk-1:1", "wk-2:3"],
  },
  {
    name: "one team alone keeps its order",
    jobs: [work("wk-1", "a", 2), work("wk-2", "a", 2)],
    maxTasks: 10,
    expected: ["wk-1:2", "wk-2:2"],
  },
];
for (const { name, jobs, shares = {}, maxTasks, expected } of cases)
  test(`fair turns: ${name}`, () => {
    const shareOf = new Map(Object.entries(shares).map(([team, part]) => [teamName(team), part]));
    const turns = fairTaskBatches({ jobs, dominantShares: shareOf, maxTasks });
    assert.deepEqual(describe(turns), expected);
  });

test("fair turns: no team gets two tasks more than another that still waits", () => {
  const jobRow = fc.tuple(fc.constantFrom("a", "b", "c"), fc.integer({ min: 1, max: 40 }));
  fc.assert(
    fc.property(fc.array(jobRow, { minLength: 1, maxLength: 12 }), (list) => {
      const jobs = list.map(([team, tasks], i) => work(`wk-${i}`, team, tasks));
      const given = new Map<TeamName, number>();
      for (const turn of fairTaskBatches({ jobs, dominantShares: new Map(), maxTasks: 60 })) {
        const team = jobs.find(({ id }) => id === turn.id)?.team ?? teamName("");
        given.set(team, (given.get(team) ?? 0) + turn.taskCount);
      }
      const asked = new Map<TeamName, number>();
      for (const { team, taskCount: tasks } of jobs)
        asked.set(team, (asked.get(team) ?? 0) + tasks);
      const stillWaiting = [...asked].filter(([team, tasks]) => given.get(team) !== tasks);
      for (const [team] of stillWaiting) {
        const own = given.get(team) ?? 0;
        for (const other of given.values()) assert.ok(other <= own + 2, `${other} and ${own}`);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
