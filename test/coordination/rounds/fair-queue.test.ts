import assert from "node:assert/strict";
import test from "node:test";
import { jobId, shardId, teamName, wallClockMs } from "@umberfold/ids";
import { fairTaskBatches } from "@umberfold/load-spread";
import { fairQueue } from "../../../src/coordination/rounds/fair-queue.js";
import type { JobSpec } from "../../../src/protocol/jobs.js";
import type { CandidateMachine } from "../../../src/scheduling/placement.js";
import type { QueuedJob } from "../../../src/scheduling/queue-order.js";
import { newJob } from "../../../src/storage/records.js";

const CAPACITY = { cpus: 100, gpus: 0, ramGb: 400 };

const queuedJob = (
  id: string,
  team: string,
  jobClass: string,
  overrides: Partial<QueuedJob> = {},
): QueuedJob => {
  const spec = {
    id: jobId(id),
    team: teamName(team),
    jobClass,
    priority: "normal",
    taskCount: 2,
    resources: { cpus: 1, gpus: 0, ramGb: 1 },
  } as unknown as JobSpec;
  const job = newJob(spec, wallClockMs(0), shardId(0));
  const base = {
    id: spec.id,
    job,
    ageS: 1,
    imageFetchS: 0,
    expectedRunS: 1,
    withinGuarantee: false,
  };
  return { ...base, slackS: 0, overdue: false, ...overrides };
};

/**
 * Title, queue in the order of slack, expected steps (job, or job:maxStarts). Team `busy` uses half
 * of the capacity, team `quiet` none.
 */
const cases: readonly (readonly [string, readonly QueuedJob[], readonly string[]])[] = [
  [
    "the job of a team with a lower share goes before another team's burst of the same class",
    [
      queuedJob("wk-1", "busy", "c"),
      queuedJob("wk-2", "busy", "c"),
      queuedJob("wk-3", "quiet", "c"),
    ],
    ["wk-3:2", "wk-1:2", "wk-2:2", "wk-1", "wk-2", "wk-3"],
  ],
  [
    "jobs of different classes stay in the order of their slack",
    [queuedJob("wk-1", "busy", "urgent"), queuedJob("wk-2", "quiet", "idle")],
    ["wk-1", "wk-2"],
  ],
  [
    "jobs within a guarantee are not reordered",
    [
      queuedJob("wk-1", "busy", "c", { withinGuarantee: true }),
      queuedJob("wk-2", "quiet", "c", { withinGuarantee: true }),
    ],
    ["wk-1", "wk-2"],
  ],
  [
    "overdue jobs are not reordered",
    [queuedJob("wk-1", "busy", "c", { overdue: true }), queuedJob("wk-2", "quiet", "c")],
    ["wk-1", "wk-2"],
  ],
];
for (const [name, queue, expected] of cases)
  test(`fair queue: ${name}`, () => {
    const use = new Map([[teamName("busy"), { cpus: 50, gpus: 0, ramGb: 50 }]]);
    const candidates = [{ capacity: CAPACITY } as unknown as CandidateMachine];
    const steps = fairQueue(queue, fairTaskBatches, use, () => 1, candidates);
    assert.deepEqual(
      steps.map((s) => (s.maxStarts === undefined ? s.id : `${s.id}:${s.maxStarts}`)),
      expected,
    );
    assert.equal(
      fairQueue(queue, undefined, use, () => 1, candidates),
      queue,
    );
  });

test("fair queue: a team that spans shards is ranked by its estimated use in all of them", () => {
  const queue = [queuedJob("wk-1", "burst", "c"), queuedJob("wk-2", "home", "c")];
  const use = new Map([
    [teamName("burst"), { cpus: 10, gpus: 0, ramGb: 0 }],
    [teamName("home"), { cpus: 20, gpus: 0, ramGb: 0 }],
  ]);
  const candidates = [{ capacity: CAPACITY } as unknown as CandidateMachine];
  const firstJobWith = (fraction: number): string | undefined => {
    const quotaFractionOf = (team: string): number => (team === "burst" ? fraction : 1);
    return fairQueue(queue, fairTaskBatches, use, quotaFractionOf, candidates)[0]?.id;
  };
  assert.equal(
    firstJobWith(1),
    "wk-1",
    "all of its quota is in this shard: the team uses less than the other one",
  );
  assert.equal(
    firstJobWith(0.25),
    "wk-2",
    "a quarter of its quota is in this shard: the team uses twice as much as the other one",
  );
});
