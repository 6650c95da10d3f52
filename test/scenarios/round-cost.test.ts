import assert from "node:assert/strict";
import test from "node:test";
import {
  attemptNumber,
  jobId,
  type MachineId,
  machineId,
  monotonicMs,
  type Revision,
  revision,
  shardId,
  teamName,
  wallClockMs,
} from "@umberfold/ids";
import { defaultOperators } from "../../src/config/operators.js";
import type { ControllerContext } from "../../src/coordination/context.js";
import { EventLoopLag } from "../../src/coordination/membership/event-loop-lag.js";
import type { Membership } from "../../src/coordination/membership/membership.js";
import { ShardState } from "../../src/coordination/ownership/shard-state.js";
import {
  finishCompletedJobs,
  terminateAttempts,
} from "../../src/coordination/rounds/attempt-termination.js";
import { MachineRecordPhase } from "../../src/coordination/rounds/machine-record-phase.js";
import { PlacementPhase } from "../../src/coordination/rounds/placement-phase.js";
import { newShardRound } from "../../src/coordination/rounds/shard-round.js";
import { ShardQuotas } from "../../src/coordination/sharding/shard-quotas.js";
import type { JobSpec } from "../../src/protocol/jobs.js";
import { encodeMachineTypes, encodeTeams } from "../../src/storage/cluster-records.js";
import { encodeJobPage, encodeMachinePage } from "../../src/storage/pages.js";
import { type JobProgress, keys, type MachineRecord } from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { TransactionBatch } from "../../src/storage/transaction-batch.js";
import { SimulatedClock } from "../sim/clock.js";

/**
 * The cost of a round follows from what waits and what changed. It is counted in steps, not in time:
 * reads of job specifications, in a round over a shard with many live jobs whose tasks all run.
 */
const SHARD = shardId(0);
const TEAM = teamName("t");
const MACHINES = 6;
const WAITING = 3;
const TYPE = {
  name: "small",
  capacity: { cpus: 8, gpus: 0, ramGb: 32 },
  cacheGb: 10,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.5,
  bootS: 10,
  zones: ["a"],
};
const LIMITS = { rps: 100, writeRps: 100, txnOps: 40, valueKb: 64, shardCount: 1 };

const specOf = (id: string): JobSpec => ({
  id: jobId(id),
  jobClass: "c",
  team: TEAM,
  priority: "normal",
  taskCount: 1,
  resources: { cpus: 1, gpus: 0, ramGb: 1 },
  image: "i",
  imageGb: 0,
  machineTypes: null,
  zone: null,
  zoneAffinity: false,
  spreadAcrossZones: false,
  spotAllowed: true,
  expectedRunS: 1,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
});

class Setup {
  steps = 0;
  readonly replica = new Replica();
  readonly state: ShardState;
  #rev = 0;

  constructor(running: number, complete = 0) {
    new SimulatedClock(1);
    const settings = { state: LIMITS, shardCount: 1, objectives: [], workers: { leaseS: 20 } };
    const team = { name: TEAM, cpus: 4, gpus: 0, cpusMax: 10_000, gpusMax: 0 };
    const ctx = {
      replica: this.replica,
      settings,
      teams: new Map([[TEAM, team]]),
      quotas: new ShardQuotas(this.replica, new Map([[TEAM, team]])),
      operators: defaultOperators(),
      store: { isFailing: () => false, writeBudgetFraction: () => 0 },
      eventLoopLag: new EventLoopLag(),
      log: { enabled: () => false, info: () => undefined, debug: () => undefined },
      metrics: { record: () => undefined },
    } as unknown as ControllerContext;
    const membership = { ownedShards: () => [SHARD] } as unknown as Membership;
    this.state = new ShardState(ctx, membership, () => undefined);
    this.#put(keys.types, encodeMachineTypes([TYPE]));
    this.#put(keys.teams, encodeTeams(new Map([[TEAM, SHARD]])));
    this.#machines();
    this.#jobs(running, complete);
  }

  #put(key: string, value: unknown): Revision {
    const rev = revision(++this.#rev);
    this.replica.apply({ kind: "put", key, value, rev });
    this.replica.advanceTo(rev);
    return rev;
  }

  #machines(): void {
    const row = { shard: SHARD, type: TYPE.name, zone: "a", spot: true, endpoint: "m:1" } as const;
    const record = {
      ...row,
      phase: "up",
      rentedAt: wallClockMs(0),
      tokenFloor: revision(1),
    } as const;
    const ids = Array.from({ length: MACHINES }, (_, i) => machineId(`m-${i}`));
    this.#writeMachines(ids.map((id) => [id, record]));
    this.state.syncSessions(monotonicMs(0));
    for (const machine of ids) {
      const empty = {
        epoch: 1,
        sequence: 1,
        token: 9 as never,
        preemptionNoticeS: null,
        tasks: [],
      };
      const report = { machine, endpoint: "m:1", type: TYPE.name, zone: "a", spot: true, ...empty };
      this.state.stepSession(machine, {
        kind: "status_received",
        status: report,
        via: "heartbeat",
        now: monotonicMs(0),
      });
    }
  }

  #writeMachines(rows: readonly (readonly [MachineId, MachineRecord])[]): void {
    this.#put(keys.fleet(SHARD, "1"), encodeMachinePage(rows));
  }

  /** The record of a machine, as the round that decommissions it writes it. */
  writeRetired(id: MachineId): void {
    const rows = [...this.replica.machines].map(
      ([other, row]) =>
        [other, other === id ? { ...row, phase: "retiring" as const } : row] as const,
    );
    this.#writeMachines(rows);
  }

  #jobs(running: number, complete: number): void {
    const page = new Map<ReturnType<typeof jobId>, JobProgress>();
    for (let i = 0; i < running + WAITING + complete; i++) {
      const id = jobId(`wk-${i}`);
      const spec = this.#counted(specOf(id));
      const job = { spec, acceptedAt: wallClockMs(i), cancelledAt: null, shard: null };
      this.replica.acceptedJobs.set(id, { value: job, rev: revision(1) });
      // Running tasks are on a machine without a session.
      const open = [{ index: 0, attempt: attemptNumber(1), machine: machineId("m-99") }];
      if (i < running) page.set(id, { done: [], open, nextAttempt: 2 });
      if (i >= running + WAITING) page.set(id, { done: [0, 0], open: [], nextAttempt: 2 });
      this.replica.shardJobs(SHARD).jobChanged(id);
    }
    this.#put(keys.work(SHARD, 0), encodeJobPage(page));
    this.replica.shardJobs(SHARD).jobs.size;
    this.steps = 0;
  }

  #counted(spec: JobSpec): JobSpec {
    return new Proxy(spec, {
      get: (target, name) => {
        this.steps++;
        return target[name as keyof JobSpec];
      },
    });
  }

  /** Steps, starts and operations of one round. */
  round(): { readonly steps: number; readonly starts: number; readonly ops: number } {
    const batch = new TransactionBatch(this.replica, LIMITS);
    const round = newShardRound(SHARD, batch, monotonicMs(0));
    terminateAttempts(this.state, round, this.state.sessions.keys());
    if (PlacementPhase.isNeeded(this.state, round))
      new PlacementPhase(this.state, round, new Set()).run();
    return { steps: this.steps, starts: this.state.counters.starts, ops: batch.opCount };
  }

  /** How many machines' records a round examines, by the sessions it reads, and its operations. */
  records(
    records: MachineRecordPhase,
    looked: readonly MachineId[],
    atMs = 0,
  ): { readonly asked: number; readonly ops: number } {
    const { sessions } = this.state;
    const get = sessions.get.bind(sessions);
    let asked = 0;
    sessions.get = (id) => {
      asked++;
      return get(id);
    };
    const batch = new TransactionBatch(this.replica, LIMITS);
    records.reconcile(newShardRound(SHARD, batch, monotonicMs(atMs)), looked);
    sessions.get = get;
    return { asked, ops: batch.opCount };
  }

  newRecords(): MachineRecordPhase {
    return new MachineRecordPhase(this.state);
  }

  /** Operations of a transaction with final records alone. */
  finishOnly(): number {
    const batch = new TransactionBatch(this.replica, LIMITS);
    finishCompletedJobs(this.state, newShardRound(SHARD, batch, monotonicMs(0)));
    return batch.opCount;
  }

  /** Steps of a pass over all live jobs. */
  fullPass(): number {
    for (const job of this.replica.shardJobs(SHARD).jobs.values()) void job.spec.resources;
    return this.steps;
  }
}

test("a round's steps don't grow with the live jobs that wait for nothing", () => {
  const few = new Setup(50).round();
  const many = new Setup(500).round();
  assert.equal(few.starts, WAITING);
  assert.equal(many.starts, WAITING);
  assert.ok(few.steps > 0 && many.steps <= few.steps * 1.2, `${few.steps} and ${many.steps}`);
  // The count does notice a pass over all of them.
  assert.ok(new Setup(500).fullPass() > 5 * new Setup(50).fullPass());
});

/**
 * In a flood of one-task jobs their final records, two operations each, filled every transaction, and
 * hundreds of jobs waited for minutes while machines were idle.
 */
test("final records leave room for starts, and the rest is written in a transaction of its own", () => {
  const flood = new Setup(0, 200);
  assert.ok(flood.finishOnly() > LIMITS.txnOps - 3, "final records alone fill a transaction");
  const { starts, ops } = flood.round();
  assert.equal(starts, WAITING);
  assert.ok(ops > LIMITS.txnOps / 2 && ops < LIMITS.txnOps - 3, `${ops} operations`);
});

/**
 * Each round examined the records of all machines of the shard, changed or not. Now it examines
 * those that are dirty, and those whose change is not written yet.
 */
test("a round examines machine records in proportion to what changed", () => {
  const setup = new Setup(0);
  const records = setup.newRecords();
  const [first, second] = [machineId("m-0"), machineId("m-1")];
  assert.deepEqual(setup.records(records, []), { asked: 0, ops: 0 });
  assert.deepEqual(setup.records(records, [first, second]), { asked: 2, ops: 0 });
  setup.state
    .machineState(first)
    .departure.step({ kind: "decommission_forced", reason: "surplus" });
  assert.deepEqual(setup.records(records, [second]), { asked: 1, ops: 0 });
  assert.deepEqual(setup.records(records, [first]), { asked: 1, ops: 1 });
  // Nothing of that was written: it comes up again by itself until it is.
  assert.deepEqual(setup.records(records, []), { asked: 1, ops: 1 });
  setup.writeRetired(first);
  assert.deepEqual(setup.records(records, []), { asked: 1, ops: 0 });
  assert.deepEqual(setup.records(records, []), { asked: 0, ops: 0 });
});
