/**
 * The cost of an owner's round depends on the waiting jobs and on what changed, not on the size of
 * the shard. Cost is counted in reads of job specifications, sessions and operations, which do not
 * depend on the speed of the machine.
 */
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

const SHARD = shardId(0);
const TEAM = teamName("t");
const MACHINE_COUNT = 6;
const WAITING_JOB_COUNT = 3;
const MACHINE_TYPE = {
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

/** A shard with running, waiting and completed one-task jobs, and a few machines that are up. */
class TestShard {
  /** Reads of job specification fields so far. */
  specReads = 0;
  readonly replica = new Replica();
  readonly state: ShardState;
  #rev = 0;

  constructor(runningJobs: number, completedJobs = 0) {
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
    this.#put(keys.types, encodeMachineTypes([MACHINE_TYPE]));
    this.#put(keys.teams, encodeTeams(new Map([[TEAM, SHARD]])));
    this.#addMachines();
    this.#addJobs(runningJobs, completedJobs);
  }

  #put(key: string, value: unknown): Revision {
    const rev = revision(++this.#rev);
    this.replica.apply({ kind: "put", key, value, rev });
    this.replica.advanceTo(rev);
    return rev;
  }

  #addMachines(): void {
    const machineFields = {
      shard: SHARD,
      type: MACHINE_TYPE.name,
      zone: "a",
      spot: true,
      endpoint: "m:1",
    } as const;
    const record = {
      ...machineFields,
      phase: "up",
      rentedAt: wallClockMs(0),
      tokenFloor: revision(1),
    } as const;
    const ids = Array.from({ length: MACHINE_COUNT }, (_, i) => machineId(`m-${i}`));
    this.#writeMachines(ids.map((id) => [id, record]));
    this.state.syncSessions(monotonicMs(0));
    for (const machine of ids) {
      const emptyStatus = {
        epoch: 1,
        sequence: 1,
        token: 9 as never,
        preemptionNoticeS: null,
        tasks: [],
      };
      const report = {
        machine,
        endpoint: "m:1",
        type: MACHINE_TYPE.name,
        zone: "a",
        spot: true,
        ...emptyStatus,
      };
      this.state.stepSession(machine, {
        kind: "status_received",
        status: report,
        via: "heartbeat",
        now: monotonicMs(0),
      });
    }
  }

  #writeMachines(records: readonly (readonly [MachineId, MachineRecord])[]): void {
    this.#put(keys.fleet(SHARD, "1"), encodeMachinePage(records));
  }

  /** Writes the machine's record as the round that decommissions the machine would write it. */
  writeRetired(id: MachineId): void {
    const records = [...this.replica.machines].map(
      ([other, record]) =>
        [other, other === id ? { ...record, phase: "retiring" as const } : record] as const,
    );
    this.#writeMachines(records);
  }

  #addJobs(runningJobs: number, completedJobs: number): void {
    const page = new Map<ReturnType<typeof jobId>, JobProgress>();
    for (let i = 0; i < runningJobs + WAITING_JOB_COUNT + completedJobs; i++) {
      const id = jobId(`wk-${i}`);
      const spec = this.#countingReads(specOf(id));
      const job = { spec, acceptedAt: wallClockMs(i), cancelledAt: null, shard: null };
      this.replica.acceptedJobs.set(id, { value: job, rev: revision(1) });
      // Running tasks are on a machine that has no session and no record.
      const open = [{ index: 0, attempt: attemptNumber(1), machine: machineId("m-99") }];
      if (i < runningJobs) page.set(id, { done: [], open, nextAttempt: 2 });
      if (i >= runningJobs + WAITING_JOB_COUNT)
        page.set(id, { done: [0, 0], open: [], nextAttempt: 2 });
      this.replica.shardJobs(SHARD).jobChanged(id);
    }
    this.#put(keys.work(SHARD, 0), encodeJobPage(page));
    // Reading the jobs refreshes the shard's index, whose reads of specifications don't count.
    this.replica.shardJobs(SHARD).jobs.size;
    this.specReads = 0;
  }

  #countingReads(spec: JobSpec): JobSpec {
    return new Proxy(spec, {
      get: (target, name) => {
        this.specReads++;
        return target[name as keyof JobSpec];
      },
    });
  }

  /** Runs the termination and placement phases of a round; returns its cost and its starts. */
  runRound(): { readonly specReads: number; readonly starts: number; readonly ops: number } {
    const batch = new TransactionBatch(this.replica, LIMITS);
    const round = newShardRound(SHARD, batch, monotonicMs(0));
    terminateAttempts(this.state, round, this.state.sessions.keys());
    if (PlacementPhase.isNeeded(this.state, round))
      new PlacementPhase(this.state, round, new Set()).run();
    return {
      specReads: this.specReads,
      starts: this.state.counters.starts,
      ops: batch.opCount,
    };
  }

  /** Reconciles machine records; returns the number of sessions read and of operations added. */
  reconcileRecords(
    phase: MachineRecordPhase,
    machines: readonly MachineId[],
    atMs = 0,
  ): { readonly sessionReads: number; readonly ops: number } {
    const { sessions } = this.state;
    const get = sessions.get.bind(sessions);
    let sessionReads = 0;
    sessions.get = (id) => {
      sessionReads++;
      return get(id);
    };
    const batch = new TransactionBatch(this.replica, LIMITS);
    phase.reconcile(newShardRound(SHARD, batch, monotonicMs(atMs)), machines);
    sessions.get = get;
    return { sessionReads, ops: batch.opCount };
  }

  newRecordPhase(): MachineRecordPhase {
    return new MachineRecordPhase(this.state);
  }

  /** Finishes completed jobs alone; returns the number of operations in the transaction. */
  finishJobs(): number {
    const batch = new TransactionBatch(this.replica, LIMITS);
    finishCompletedJobs(this.state, newShardRound(SHARD, batch, monotonicMs(0)));
    return batch.opCount;
  }

  /** Reads one field of each live job's specification; returns the number of reads. */
  readAllSpecs(): number {
    for (const job of this.replica.shardJobs(SHARD).jobs.values()) void job.spec.resources;
    return this.specReads;
  }
}

test("the cost of a round does not grow with the number of jobs that have no waiting task", () => {
  const few = new TestShard(50).runRound();
  const many = new TestShard(500).runRound();
  assert.equal(few.starts, WAITING_JOB_COUNT);
  assert.equal(many.starts, WAITING_JOB_COUNT);
  assert.ok(
    few.specReads > 0 && many.specReads <= few.specReads * 1.2,
    `${few.specReads} and ${many.specReads} reads of specifications`,
  );
  // The counter does detect a pass over all live jobs.
  assert.ok(new TestShard(500).readAllSpecs() > 5 * new TestShard(50).readAllSpecs());
});

/**
 * Guards against starved starts: under a burst of one-task jobs the final records of completed
 * jobs, two operations each, filled every transaction, so that hundreds of jobs waited for minutes
 * while machines were idle.
 */
test("final records leave capacity for starts in a round's transaction", () => {
  const burst = new TestShard(0, 200);
  assert.ok(burst.finishJobs() > LIMITS.txnOps - 3, "final records alone fill a transaction");
  const { starts, ops } = burst.runRound();
  assert.equal(starts, WAITING_JOB_COUNT);
  assert.ok(ops > LIMITS.txnOps / 2 && ops < LIMITS.txnOps - 3, `${ops} operations`);
});

/**
 * Guards against rounds that examine the records of all machines of the shard. A round must examine
 * only dirty machines and those whose change has not been written yet.
 */
test("a round examines only machine records that changed or are not written yet", () => {
  const shard = new TestShard(0);
  const phase = shard.newRecordPhase();
  const [first, second] = [machineId("m-0"), machineId("m-1")];
  assert.deepEqual(shard.reconcileRecords(phase, []), { sessionReads: 0, ops: 0 });
  assert.deepEqual(shard.reconcileRecords(phase, [first, second]), { sessionReads: 2, ops: 0 });
  shard.state
    .machineState(first)
    .departure.step({ kind: "decommission_forced", reason: "surplus" });
  assert.deepEqual(shard.reconcileRecords(phase, [second]), { sessionReads: 1, ops: 0 });
  assert.deepEqual(shard.reconcileRecords(phase, [first]), { sessionReads: 1, ops: 1 });
  // The change was not committed, so each round proposes it again until it is.
  assert.deepEqual(shard.reconcileRecords(phase, []), { sessionReads: 1, ops: 1 });
  shard.writeRetired(first);
  assert.deepEqual(shard.reconcileRecords(phase, []), { sessionReads: 1, ops: 0 });
  assert.deepEqual(shard.reconcileRecords(phase, []), { sessionReads: 0, ops: 0 });
});
