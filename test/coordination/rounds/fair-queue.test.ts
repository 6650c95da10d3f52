import assert from "node:assert/strict";
import test from "node:test";
import { jobId, shardId, teamName, wallClockMs } from "@umberfold/ids";
import { fairTurns } from "@umberfold/load-spread";
import { fairQueue } from "../../../src/coordination/rounds/fair-queue.js";
import type { JobSpec } from "../../../src/protocol/jobs.js";
import type { CandidateMachine } from "../../../src/scheduling/placement.js";
import type { QueuedJob } from "../../../src/scheduling/queue-order.js";
import { newJob } from "../../../src/storage/records.js";

const CAPACITY = { cpus: 100, gpus: 0, ramGb: 400 };

const queued = (
  id: string,
  team: string,
  jobClass: string,
  more: Partial<QueuedJob> = {},
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
  return { ...base, slackS: 0, overdue: false, ...more };
};

/** In the order of slack; team `busy` runs on half of the room. */
const cases: readonly (readonly [string, readonly QueuedJob[], readonly string[]])[] = [
  [
    "a quiet team's job of the same class goes before a burst's",
    [queued("wk-1", "busy", "c"), queued("wk-2", "busy", "c"), queued("wk-3", "quiet", "c")],
    ["wk-3:2", "wk-1:2", "wk-2:2", "wk-1", "wk-2", "wk-3"],
  ],
  [
    "between classes slack decides as before",
    [queued("wk-1", "busy", "urgent"), queued("wk-2", "quiet", "idle")],
    ["wk-1", "wk-2"],
  ],
  [
    "what is within a guarantee is not reordered",
    [
      queued("wk-1", "busy", "c", { withinGuarantee: true }),
      queued("wk-2", "quiet", "c", { withinGuarantee: true }),
    ],
    ["wk-1", "wk-2"],
  ],
  [
    "nor what is overdue",
    [queued("wk-1", "busy", "c", { overdue: true }), queued("wk-2", "quiet", "c")],
    ["wk-1", "wk-2"],
  ],
];
for (const [name, queue, expected] of cases)
  test(`fair queue: ${name}`, () => {
    const use = new Map([[teamName("busy"), { cpus: 50, gpus: 0, ramGb: 50 }]]);
    const places = [{ capacity: CAPACITY } as unknown as CandidateMachine];
    const steps = fairQueue(queue, fairTurns, use, () => 1, places);
    assert.deepEqual(
      steps.map((s) => (s.maxStarts === undefined ? s.id : `${s.id}:${s.maxStarts}`)),
      expected,
    );
    assert.equal(
      fairQueue(queue, undefined, use, () => 1, places),
      queue,
    );
  });

test("fair queue: a team that spans shards is judged by what it has in all of them", () => {
  const queue = [queued("wk-1", "burst", "c"), queued("wk-2", "home", "c")];
  const use = new Map([
    [teamName("burst"), { cpus: 10, gpus: 0, ramGb: 0 }],
    [teamName("home"), { cpus: 20, gpus: 0, ramGb: 0 }],
  ]);
  const places = [{ capacity: CAPACITY } as unknown as CandidateMachine];
  const first = (part: number): string | undefined => {
    const partOf = (team: string): number => (team === "burst" ? part : 1);
    return fairQueue(queue, fairTurns, use, partOf, places)[0]?.id;
  };
  assert.equal(first(1), "wk-1", "all of it here: it has less");
  assert.equal(first(0.25), "wk-2", "a quarter of it here: it has twice as much");
});
