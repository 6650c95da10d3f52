import {
  type JobId,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type ShardId,
} from "@umberfold/ids";
import { MAX_RENTALS_PER_CALL } from "../../protocol/cloud.js";
import { priorityOrder } from "../../protocol/jobs.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import { computeDemand } from "../../scheduling/demand.js";
import {
  type DemandGroup,
  type FleetMachine,
  type FleetPlan,
  planFleet,
  planIdleTransfers,
} from "../../scheduling/fleet-plan.js";
import { add, NO_RESOURCES } from "../../scheduling/resources.js";
import { type MachineRecord, waitingTaskCount } from "../../storage/records.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { ShardOwner } from "../rounds/shard-owner.js";
import type { FailingJobs } from "./failing-jobs.js";
import type { FleetRecords } from "./fleet-records.js";
import type { MachineTypes } from "./machine-types.js";
import { overloadedShards } from "./overloaded-shards.js";
import type { OwnerRequests } from "./owner-requests.js";
import type { Rentals } from "./rentals.js";

/** How long a machine may take to be drained before another is asked for. */
const DRAIN_MS = 6000;
/** The same for a machine that is idle. */
const TRANSFER_MS = 3000;
/** A job is this old before its owner must have laid it over its own machines. */
const SETTLE_MS = 150;
/** Ranks before every job's: what runs within a guarantee is not the leader's to take away. */
const GUARANTEED_RANK = -1;

interface Transfer {
  readonly to: ShardId;
  readonly until: MonotonicMs;
}

/** Sizes the fleet to the demand of all shards, and moves free machines to shards whose tasks wait. */
export class FleetPlanner {
  readonly #idleSince = new Map<MachineId, MonotonicMs>();
  /** When each open attempt was first seen in the records. */
  #openSince: ReadonlyMap<string, MonotonicMs> = new Map();
  /** Machines asked to be moved: they count as their new shard's until that has failed. */
  readonly #transfers = new Map<MachineId, Transfer>();
  #levels: ReadonlyMap<string, number> = new Map();
  #plannedAt: MonotonicMs = monotonicNow();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly types: MachineTypes,
    private readonly rentals: Rentals,
    private readonly owners: OwnerRequests,
    private readonly failing: FailingJobs,
    private readonly owner: ShardOwner,
  ) {}

  async plan(): Promise<void> {
    const { replica, operators, settings } = this.ctx;
    if (!this.records.writable || replica.machineTypes === undefined) return;
    if (replica.teams === undefined) return;
    const now = monotonicNow();
    const dtS = (now - this.#plannedAt) / 1000;
    this.#plannedAt = now;
    const { machines, late } = this.#machines(now);
    this.owners.requestDecommission(late, "never booted");
    const plan = planFleet({
      types: this.types.all(),
      machines,
      demand: this.#demand(dtS),
      refusedOffers: this.rentals.refusedOffers(now),
      idleReturnS: operators.idleReturnS,
      maxRentals: MAX_RENTALS_PER_CALL * Math.max(1, Math.floor(settings.cloud.rps)),
      machineLifeS: operators.lifeS,
      shardCount: settings.shardCount,
      overloaded: overloadedShards(this.ctx.replica, this.ctx.settings.workers.reportS),
    });
    if (this.ctx.log.enabled("debug")) this.#logPlan(machines, plan);
    this.#noteTransfers(plan.transfers, now);
    this.owners.requestTransfers(plan.transfers, plan.returns);
    await this.rentals.intend(plan.rentals);
  }

  /**
   * Between two plans: idle machines go to shards whose tasks wait, for an array that arrives at
   * one shard may want more than its part of what is idle. Looks at idle machines only; what its
   * own machines have room for a shard's owner has placed by then.
   */
  async rebalance(): Promise<void> {
    if (!this.records.writable || this.ctx.replica.machineTypes === undefined) return;
    if (!this.#someWait()) return;
    const now = monotonicNow();
    const machines = this.#idleMachines(now);
    if (machines.length === 0) return;
    const { shardCount } = this.ctx.settings;
    const overloaded = overloadedShards(this.ctx.replica, this.ctx.settings.workers.reportS);
    const demand = this.#demand(0);
    const input = { types: this.types.all(), machines, demand, shardCount, overloaded };
    const moves = planIdleTransfers(input);
    this.#noteTransfers(moves, now);
    this.owners.requestTransfers(moves);
  }

  /** Moves that others decided on: they count as planned here. */
  requestMoves(moves: readonly MachineTransferRequest[]): void {
    this.#noteTransfers(moves, monotonicNow());
    this.owners.requestTransfers(moves);
  }

  /** Whether a task waits that its shard's owner must have laid over its own machines by now. */
  #someWait(): boolean {
    const at = wallClockNow();
    for (const [, work] of this.ctx.replica.allShardJobs())
      for (const job of work.index.waiting.values())
        if (at - job.acceptedAt > SETTLE_MS) return true;
    return false;
  }

  #idleMachines(now: MonotonicMs): readonly FleetMachine[] {
    const { replica } = this.ctx;
    const machines: FleetMachine[] = [];
    for (const [id, m] of replica.machines) {
      if (m.phase !== "up" || m.endpoint === "" || replica.isGone(id)) continue;
      if (replica.shardJobs(m.shard).openAttemptsOn(id).size > 0) continue;
      const type = this.types.find(m.type);
      if (type === undefined) continue;
      const shard = this.#transferOf(id, m, now)?.to ?? m.shard;
      const { zone, spot } = m;
      const row = {
        id,
        shard,
        type,
        zone,
        spot,
        up: true,
        use: NO_RESOURCES,
        openAttempts: 0,
        tasks: [],
      };
      machines.push({ ...row, idleS: 0, heldS: 0 });
    }
    return machines;
  }

  /** The machines as planning sees them, and those that should long have come up. */
  #machines(now: MonotonicMs): {
    readonly machines: readonly FleetMachine[];
    readonly late: readonly MachineId[];
  } {
    const { replica, operators, settings } = this.ctx;
    const withinGuarantee = this.#withinGuarantee();
    const openSince = new Map<string, MonotonicMs>();
    const machines: FleetMachine[] = [];
    const late: MachineId[] = [];
    for (const [id, m] of replica.machines) {
      const type = this.types.find(m.type);
      if (m.phase !== "up" || type === undefined || replica.isGone(id)) continue;
      const idleS = this.#idleS(id, m, now);
      const transfer = this.#transferOf(id, m, now);
      const heldS = Math.max(0, (wallClockNow() - m.rentedAt) / 1000);
      const up = m.endpoint !== "";
      if (!up && heldS > type.bootS * operators.bootPatience + settings.workers.reportS) {
        late.push(id);
        continue;
      }
      const tasks =
        transfer === undefined ? this.#tasksOn(id, m, withinGuarantee, openSince, now) : [];
      machines.push({
        id,
        shard: transfer?.to ?? m.shard,
        type,
        zone: m.zone,
        spot: m.spot,
        up,
        use: tasks.reduce((sum, task) => add(sum, task.resources), NO_RESOURCES),
        openAttempts:
          transfer === undefined ? replica.shardJobs(m.shard).openAttemptsOn(id).size : 0,
        tasks,
        idleS,
        heldS,
      });
    }
    for (const id of [...this.#idleSince.keys()])
      if (!replica.machines.has(id)) this.#idleSince.delete(id);
    this.#openSince = openSince;
    return { machines, late };
  }

  #idleS(id: MachineId, m: MachineRecord, now: MonotonicMs): number {
    if (this.ctx.replica.shardJobs(m.shard).openAttemptsOn(id).size > 0) this.#idleSince.delete(id);
    else if (!this.#idleSince.has(id)) this.#idleSince.set(id, now);
    return (now - (this.#idleSince.get(id) ?? now)) / 1000;
  }

  #tasksOn(
    id: MachineId,
    m: MachineRecord,
    withinGuarantee: ReadonlySet<JobId>,
    openSince: Map<string, MonotonicMs>,
    now: MonotonicMs,
  ): FleetMachine["tasks"] {
    const work = this.ctx.replica.shardJobs(m.shard);
    const tasks: FleetMachine["tasks"][number][] = [];
    for (const o of work.openAttemptsOn(id).values()) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const { key } = o;
      const since = this.#openSince.get(key) ?? now;
      openSince.set(key, since);
      const { checkpointIntervalS, checkpointSaveS, resources } = job.spec;
      const lossS = checkpointIntervalS > 0 ? checkpointSaveS : (now - since) / 1000;
      const priority = withinGuarantee.has(o.job)
        ? GUARANTEED_RANK
        : priorityOrder(job.spec.priority);
      tasks.push({ priority, resources: resources, lossS });
    }
    return tasks;
  }

  #transferOf(id: MachineId, m: MachineRecord, now: MonotonicMs): Transfer | undefined {
    const transfer = this.#transfers.get(id);
    if (transfer === undefined) return undefined;
    if (transfer.until > now && m.shard !== transfer.to) return transfer;
    this.#transfers.delete(id);
    return undefined;
  }

  #noteTransfers(moves: readonly MachineTransferRequest[], now: MonotonicMs): void {
    for (const m of moves) {
      const until = monotonicMs(now + (m.drain ? DRAIN_MS : TRANSFER_MS));
      this.#transfers.set(m.machine, { to: m.to, until });
    }
  }

  /** Jobs within their team's guarantee; of one that fails everywhere only the tasks it wants. */
  #withinGuarantee(): ReadonlySet<JobId> {
    const { replica, quotas } = this.ctx;
    const out = new Set<JobId>();
    for (const [shard, { index }] of replica.allShardJobs())
      for (const id of index.withinGuarantee(quotas.teamsIn(shard).values(), (job, spec) =>
        this.failing.desiredTaskCount(job, spec),
      ))
        out.add(id);
    return out;
  }

  #demand(dtS: number): readonly DemandGroup[] {
    const { replica, settings, operators, teams } = this.ctx;
    const types = this.types.all();
    const demand = computeDemand({
      jobs: this.failing.jobsWithDesiredTasks(),
      shardOf: (id) => replica.shardOf(id),
      teams,
      withinGuarantee: this.#withinGuarantee(),
      objectives: settings.objectives,
      runS: (job) => this.owner.state.expectedRunS(job.spec),
      types,
      bootS: Math.min(...types.map((t) => t.bootS)),
      headroom: operators.headroom,
      patience: operators.patience,
      lastPatience: operators.lastPatience,
      riseS: operators.riseS,
      fallS: operators.fallS,
      margin: operators.margin,
      dtS,
      now: wallClockNow(),
      levels: this.#levels,
    });
    this.#levels = demand.levels;
    return demand.groups;
  }

  #logPlan(machines: readonly FleetMachine[], plan: FleetPlan): void {
    const { replica, log } = this.ctx;
    const cpus = (some: readonly FleetMachine[]): number =>
      some.reduce((n, m) => n + m.type.capacity.cpus, 0);
    for (const shard of replica.shardOwners.keys()) {
      const own = machines.filter((m) => m.shard === shard);
      const waiting = [...replica.shardJobs(shard).index.waiting.values()];
      log.debug("plan", {
        shard,
        upCpus: cpus(own.filter((m) => m.up)),
        bootingCpus: cpus(own.filter((m) => !m.up)),
        usedCpus: own.reduce((n, m) => n + m.use.cpus, 0),
        emptyCpus: cpus(own.filter((m) => m.up && m.openAttempts === 0)),
        waitingCpus: waiting.reduce((n, j) => n + waitingTaskCount(j) * j.spec.resources.cpus, 0),
        levels: [...this.#levels].map(
          ([key, n]) => `${key.split("|")[0]}.${key.split("|").pop()}=${n.toFixed(1)}`,
        ),
        moves: plan.transfers.filter((m) => m.to === shard).length,
        rents: plan.rentals.flatMap((r) => r.shards).filter((n) => n === shard).length,
      });
    }
  }
}
