/** `fairTaskBatches`: how the tasks that a round may start are divided between teams. */
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

/** Formats each batch as "job:tasks". */
const formatBatches = (batches: readonly TaskBatch[]): readonly string[] =>
  batches.map(({ id, taskCount }) => `${id}:${taskCount}`);

const cases: readonly {
  readonly name: string;
  readonly jobs: readonly WaitingJob[];
  readonly shares?: Readonly<Record<string, number>>;
  readonly maxTasks: number;
  readonly expected: readonly string[];
}[] = [
  {
    name: "the team with the smaller dominant share precedes a burst",
    jobs: [work("wk-1", "busy", 100), work("wk-2", "quiet", 2)],
    shares: { busy: 0.5, quiet: 0 },
    maxTasks: 4,
    expected: ["wk-2:2", "wk-1:2"],
  },
  {
    name: "teams with equal shares alternate",
    jobs: [work("wk-1", "a", 3), work("wk-2", "b", 3)],
    maxTasks: 4,
    expected: ["wk-1:1", "wk-2:1", "wk-1:1", "wk-2:1"],
  },
  {
    name: "a team with larger tasks starts fewer of them",
    jobs: [work("wk-1", "a", 9, 0.03), work("wk-2", "b", 9, 0.01)],
    maxTasks: 8,
    expected: ["wk-1:1", "wk-2:3", "wk-1:1", "wk-2:3"],
  },
  {
    name: "the jobs of a single team keep their order",
    jobs: [work("wk-1", "a", 2), work("wk-2", "a", 2)],
    maxTasks: 10,
    expected: ["wk-1:2", "wk-2:2"],
  },
];
for (const { name, jobs, shares = {}, maxTasks, expected } of cases)
  test(`fair task batches: ${name}`, () => {
    const shareOf = new Map(Object.entries(shares).map(([team, part]) => [teamName(team), part]));
    const batches = fairTaskBatches({ jobs, dominantShares: shareOf, maxTasks });
    assert.deepEqual(formatBatches(batches), expected);
  });

test("fair task batches: no team gets over two tasks more than a team that still waits", () => {
  const jobRow = fc.tuple(fc.constantFrom("a", "b", "c"), fc.integer({ min: 1, max: 40 }));
  fc.assert(
    fc.property(fc.array(jobRow, { minLength: 1, maxLength: 12 }), (list) => {
      const jobs = list.map(([team, tasks], i) => work(`wk-${i}`, team, tasks));
      const granted = new Map<TeamName, number>();
      for (const batch of fairTaskBatches({ jobs, dominantShares: new Map(), maxTasks: 60 })) {
        const team = jobs.find(({ id }) => id === batch.id)?.team ?? teamName("");
        granted.set(team, (granted.get(team) ?? 0) + batch.taskCount);
      }
      const requested = new Map<TeamName, number>();
      for (const { team, taskCount: tasks } of jobs)
        requested.set(team, (requested.get(team) ?? 0) + tasks);
      const stillWaiting = [...requested].filter(([team, tasks]) => granted.get(team) !== tasks);
      for (const [team] of stillWaiting) {
        const ownTasks = granted.get(team) ?? 0;
        for (const otherTasks of granted.values())
          assert.ok(otherTasks <= ownTasks + 2, `${otherTasks} and ${ownTasks}`);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
