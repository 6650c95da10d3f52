import assert from "node:assert/strict";
import test from "node:test";
import {
  attemptKey,
  attemptNumber,
  jobId,
  machineId,
  monotonicMs,
  revision,
  shardId,
  taskId,
  wallClockMs,
} from "@umberfold/ids";
import type { ControllerContext } from "../../../src/coordination/context.js";
import { EventLoopLag } from "../../../src/coordination/membership/event-loop-lag.js";
import type { Membership } from "../../../src/coordination/membership/membership.js";
import { ShardState } from "../../../src/coordination/ownership/shard-state.js";
import { newShardRound } from "../../../src/coordination/rounds/shard-round.js";
import {
  examineMachine,
  type TerminationEvidence,
  terminationEvidence,
} from "../../../src/coordination/rounds/termination-evidence.js";
import type { JobSpec } from "../../../src/protocol/jobs.js";
import type { TaskStatus } from "../../../src/protocol/workers.js";
import { encodeMachinePage } from "../../../src/storage/pages.js";
import { keys, type LiveJob, newJob } from "../../../src/storage/records.js";
import { Replica } from "../../../src/storage/replica.js";
import type { TransactionBatch } from "../../../src/storage/transaction-batch.js";

const SHARD = shardId(0);
const MACHINE = machineId("m-1");
const JOB = jobId("wk-1");
const TASK = taskId(JOB, 0);
const ATTEMPT = attemptNumber(1);
const KEY = attemptKey(TASK, ATTEMPT);
const TOKEN_FLOOR = revision(5);
const NOW = monotonicMs(1000);

const RUNNING: TaskStatus = { task: TASK, attempt: ATTEMPT, phase: "running", saved: false };
const ENDED: TaskStatus = { ...RUNNING, phase: "ended", cause: "done" };
const LIVE_JOB = newJob({ id: JOB, taskCount: 1 } as unknown as JobSpec, wallClockMs(0), SHARD);
const CANCELLED_JOB: LiveJob = { ...LIVE_JOB, cancelledAt: wallClockMs(1) };

interface Situation {
  /** The tasks in the worker's status, or undefined if none has been received. */
  readonly tasks?: readonly TaskStatus[];
  /** The highest fencing token that the worker has seen. */
  readonly token?: number;
  readonly phase?: "up" | "retiring";
  readonly job?: LiveJob;
  /** A start command for the attempt was sent and has not been answered. */
  readonly startInFlight?: boolean;
  readonly stopRequested?: boolean;
}

const stateOf = (situation: Situation): ShardState => {
  const { tasks, token = TOKEN_FLOOR, phase = "up" } = situation;
  const replica = new Replica();
  const ctx = { replica, settings: { workers: { leaseS: 20 } }, eventLoopLag: new EventLoopLag() };
  const membership = { ownedShards: () => [SHARD] } as unknown as Membership;
  const state = new ShardState(ctx as unknown as ControllerContext, membership, () => undefined);
  const row = { shard: SHARD, type: "small", zone: "a", spot: false, endpoint: "m:1", phase };
  const record = { ...row, rentedAt: wallClockMs(0), tokenFloor: TOKEN_FLOOR };
  const value = encodeMachinePage([[MACHINE, record]]);
  replica.apply({ kind: "put", key: keys.fleet(SHARD, "1"), value, rev: TOKEN_FLOOR });
  replica.advanceTo(TOKEN_FLOOR);
  state.syncSessions(monotonicMs(0));
  if (situation.startInFlight) state.stepSession(MACHINE, { kind: "command_sent", starts: [KEY] });
  if (tasks !== undefined) {
    const worker = { machine: MACHINE, endpoint: "m:1", type: "small", zone: "a", spot: false };
    const order = { epoch: 1, sequence: 1, token: token as never, preemptionNoticeS: null };
    const status = { ...worker, ...order, tasks };
    state.stepSession(MACHINE, { kind: "status_received", status, via: "heartbeat", now: NOW });
  }
  if (situation.stopRequested) state.requestStop(KEY, MACHINE, "preempted", 0);
  state.dirtyMachines.clear();
  return state;
};

const NONE: TerminationEvidence = { kind: "none" };
const LOST: TerminationEvidence = { kind: "lost" };

const cases: readonly (readonly [string, Situation, TerminationEvidence])[] = [
  ["no status received: none", {}, NONE],
  ["no status received, stop requested: none", { stopRequested: true }, NONE],
  ["attempt is running: none", { tasks: [RUNNING] }, NONE],
  ["attempt is running, stop requested: none", { tasks: [RUNNING], stopRequested: true }, NONE],
  ["attempt has ended: its status", { tasks: [ENDED] }, { kind: "ended", status: ENDED }],
  [
    "attempt has ended, but the worker has not seen the token: none",
    { tasks: [ENDED], token: 4 },
    NONE,
  ],
  ["attempt is absent, but may still be started: none", { tasks: [] }, NONE],
  ["attempt is absent, stop requested: lost", { tasks: [], stopRequested: true }, LOST],
  ["attempt is absent, its job is cancelled: lost", { tasks: [], job: CANCELLED_JOB }, LOST],
  ["attempt is absent, its machine is retiring: lost", { tasks: [], phase: "retiring" }, LOST],
  [
    "attempt is absent, but the worker has not seen the token: none",
    { tasks: [], token: 4, stopRequested: true },
    NONE,
  ],
  [
    "attempt is absent, but its start is in flight: none",
    { tasks: [], startInFlight: true, stopRequested: true },
    NONE,
  ],
];
for (const [name, situation, expected] of cases)
  test(`termination evidence: ${name}`, () => {
    const state = stateOf(situation);
    const machine = examineMachine(state, MACHINE);
    assert.ok(machine !== undefined);
    const round = newShardRound(SHARD, {} as TransactionBatch, NOW);
    const open = { job: JOB, index: 0, attempt: ATTEMPT, key: KEY };
    const job = situation.job ?? LIVE_JOB;
    const evidence = terminationEvidence(state, round, MACHINE, machine, [TASK, open], job);
    assert.deepEqual(evidence, expected);
  });

test("termination evidence: a machine without a record proves nothing", () => {
  const state = stateOf({ tasks: [] });
  assert.equal(examineMachine(state, machineId("m-2")), undefined);
});

test("termination evidence: a machine that the cloud reports as gone needs no status", () => {
  const state = stateOf({ tasks: [RUNNING] });
  state.ctx.replica.isGone = () => true;
  const machine = examineMachine(state, MACHINE);
  assert.deepEqual(machine, { kind: "gone" });
});

test("termination evidence: a machine with an attempt to stop is called after a delay", () => {
  const state = stateOf({ tasks: [RUNNING], stopRequested: true });
  const machine = examineMachine(state, MACHINE);
  assert.ok(machine !== undefined);
  const examineAt = (now: number): { readonly called: boolean; readonly dirty: boolean } => {
    state.dirtyMachines.clear();
    const round = newShardRound(SHARD, {} as TransactionBatch, monotonicMs(now));
    const open = { job: JOB, index: 0, attempt: ATTEMPT, key: KEY };
    terminationEvidence(state, round, MACHINE, machine, [TASK, open], LIVE_JOB);
    return {
      called: round.machinesToCall.has(MACHINE),
      dirty: state.dirtyMachines.has(MACHINE),
    };
  };
  state.machineState(MACHINE).call.markSent(NOW);
  assert.deepEqual(examineAt(NOW + 399), { called: false, dirty: true });
  assert.deepEqual(examineAt(NOW + 400), { called: true, dirty: false });
});
