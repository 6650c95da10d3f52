import { type JobId, type MachineId, type Mono, mono, type ShardId } from "@umberfold/ids";
import { MAX_RENT } from "../../protocol/cloud.js";
import { rankOrder } from "../../protocol/jobs.js";
import type { MoveRequest } from "../../protocol/peer.js";
import { demandOf } from "../../scheduling/demand.js";
import {
  type DemandGroup,
  type FleetMachine,
  type FleetPlan,
  idleMoves,
  planFleet,
} from "../../scheduling/fleet-plan.js";
import { NOTHING, plus } from "../../scheduling/resources.js";
import { type MachineRecord, waitingCount } from "../../storage/records.js";
import { steadyNow, timeOfDay } from "../../transport/clock.js";
import type { Context } from "../context.js";
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
  readonly until: Mono;
}

/** Sizes the fleet to the demand of all shards, and moves free machines to shards whose tasks wait. */
export class FleetPlanner {
  readonly #idleSince = new Map<MachineId, Mono>();
  /** When each open attempt was first seen in the records. */
  #openSince: ReadonlyMap<string, Mono> = new Map();
  /** Machines asked to be moved: they count as their new shard's until that has failed. */
  readonly #transfers = new Map<MachineId, Transfer>();
  #levels: ReadonlyMap<string, number> = new Map();
  #plannedAt: Mono = steadyNow();

  constructor(
    private readonly ctx: Context,
    private readonly records: FleetRecords,
    private readonly types: MachineTypes,
    private readonly rentals: Rentals,
    private readonly owners: OwnerRequests,
    private readonly failing: FailingJobs,
    private readonly owner: ShardOwner,
  ) {}

  async plan(): Promise<void> {
    const { replica, operators, settings } = this.ctx;
    if (!this.records.writable || replica.types === undefined) return;
    if (replica.teams === undefined) return;
    const now = steadyNow();
    const dtS = (now - this.#plannedAt) / 1000;
    this.#plannedAt = now;
    const { machines, late } = this.#machines(now);
    this.owners.retire(late, "never booted");
    const plan = planFleet({
      types: this.types.all(),
      machines,
      demand: this.#demand(dtS),
      refused: this.rentals.refusedOffers(now),
      idleReturnS: operators.idleReturnS,
      maxRents: MAX_RENT * Math.max(1, Math.floor(settings.cloud.rps)),
      lifeS: operators.lifeS,
      size: settings.size,
      overloaded: overloadedShards(this.ctx.replica, this.ctx.settings.workers.reportS),
    });
    if (this.ctx.log.enabled("debug")) this.#logPlan(machines, plan);
    this.#noteTransfers(plan.moves, now);
    this.owners.move(plan.moves, plan.returns);
    await this.rentals.intend(plan.rents);
  }

  /**
   * Between two plans: idle machines go to shards whose tasks wait, for an array that arrives at
   * one shard may want more than its part of what is idle. Looks at idle machines only; what its
   * own machines have room for a shard's owner has placed by then.
   */
  async rebalance(): Promise<void> {
    if (!this.records.writable || this.ctx.replica.types === undefined) return;
    if (!this.#someWait()) return;
    const now = steadyNow();
    const machines = this.#idleMachines(now);
    if (machines.length === 0) return;
    const { size } = this.ctx.settings;
    const overloaded = overloadedShards(this.ctx.replica, this.ctx.settings.workers.reportS);
    const demand = this.#demand(0);
    const input = { types: this.types.all(), machines, demand, size, overloaded };
    const moves = idleMoves(input);
    this.#noteTransfers(moves, now);
    this.owners.move(moves);
  }

  /** Moves that others decided on: they count as planned here. */
  requestMoves(moves: readonly MoveRequest[]): void {
    this.#noteTransfers(moves, steadyNow());
    this.owners.move(moves);
  }

  /** Whether a task waits that its shard's owner must have laid over its own machines by now. */
  #someWait(): boolean {
    const at = timeOfDay();
    for (const [, work] of this.ctx.replica.works())
      for (const job of work.index.waiting.values())
        if (at - job.acceptedAt > SETTLE_MS) return true;
    return false;
  }

  #idleMachines(now: Mono): readonly FleetMachine[] {
    const { replica } = this.ctx;
    const machines: FleetMachine[] = [];
    for (const [id, m] of replica.machines) {
      if (m.stage !== "up" || m.endpoint === "" || replica.isGone(id)) continue;
      if (replica.work(m.shard).openOn(id).size > 0) continue;
      const type = this.types.find(m.type);
      if (type === undefined) continue;
      const shard = this.#transferOf(id, m, now)?.to ?? m.shard;
      const { zone, spot } = m;
      const row = { id, shard, type, zone, spot, up: true, use: NOTHING, open: 0, tasks: [] };
      machines.push({ ...row, idleS: 0, heldS: 0 });
    }
    return machines;
  }

  /** The machines as planning sees them, and those that should long have come up. */
  #machines(now: Mono): {
    readonly machines: readonly FleetMachine[];
    readonly late: readonly MachineId[];
  } {
    const { replica, operators, settings } = this.ctx;
    const withinGuarantee = this.#withinGuarantee();
    const openSince = new Map<string, Mono>();
    const machines: FleetMachine[] = [];
    const late: MachineId[] = [];
    for (const [id, m] of replica.machines) {
      const type = this.types.find(m.type);
      if (m.stage !== "up" || type === undefined || replica.isGone(id)) continue;
      const idleS = this.#idleS(id, m, now);
      const transfer = this.#transferOf(id, m, now);
      const heldS = Math.max(0, (timeOfDay() - m.rentedAt) / 1000);
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
        use: tasks.reduce((sum, task) => plus(sum, task.needs), NOTHING),
        open: transfer === undefined ? replica.work(m.shard).openOn(id).size : 0,
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

  #idleS(id: MachineId, m: MachineRecord, now: Mono): number {
    if (this.ctx.replica.work(m.shard).openOn(id).size > 0) this.#idleSince.delete(id);
    else if (!this.#idleSince.has(id)) this.#idleSince.set(id, now);
    return (now - (this.#idleSince.get(id) ?? now)) / 1000;
  }

  #tasksOn(
    id: MachineId,
    m: MachineRecord,
    withinGuarantee: ReadonlySet<JobId>,
    openSince: Map<string, Mono>,
    now: Mono,
  ): FleetMachine["tasks"] {
    const work = this.ctx.replica.work(m.shard);
    const tasks: FleetMachine["tasks"][number][] = [];
    for (const o of work.openOn(id).values()) {
      const job = work.jobs.get(o.job);
      if (job === undefined) continue;
      const { key } = o;
      const since = this.#openSince.get(key) ?? now;
      openSince.set(key, since);
      const { checkpointS, saveS, needs } = job.spec;
      const lossS = checkpointS > 0 ? saveS : (now - since) / 1000;
      const rank = withinGuarantee.has(o.job) ? GUARANTEED_RANK : rankOrder(job.spec.rank);
      tasks.push({ rank, needs, lossS });
    }
    return tasks;
  }

  #transferOf(id: MachineId, m: MachineRecord, now: Mono): Transfer | undefined {
    const transfer = this.#transfers.get(id);
    if (transfer === undefined) return undefined;
    if (transfer.until > now && m.shard !== transfer.to) return transfer;
    this.#transfers.delete(id);
    return undefined;
  }

  #noteTransfers(moves: readonly MoveRequest[], now: Mono): void {
    for (const m of moves) {
      const until = mono(now + (m.drain ? DRAIN_MS : TRANSFER_MS));
      this.#transfers.set(m.machine, { to: m.to, until });
    }
  }

  /** Jobs within their team's guarantee; of one that fails everywhere only the tasks it wants. */
  #withinGuarantee(): ReadonlySet<JobId> {
    const { replica, quotas } = this.ctx;
    const out = new Set<JobId>();
    for (const [shard, { index }] of replica.works())
      for (const id of index.withinGuarantee(quotas.teamsOf(shard).values(), (job, spec) =>
        this.failing.tasksWanted(job, spec),
      ))
        out.add(id);
    return out;
  }

  #demand(dtS: number): readonly DemandGroup[] {
    const { replica, settings, operators, teams } = this.ctx;
    const types = this.types.all();
    const demand = demandOf({
      jobs: this.failing.wanting(),
      shardOf: (id) => replica.shardOf(id),
      teams,
      withinGuarantee: this.#withinGuarantee(),
      objectives: settings.objectives,
      runS: (job) => this.owner.owned.runS(job.spec),
      types,
      bootS: Math.min(...types.map((t) => t.bootS)),
      headroom: operators.headroom,
      patience: operators.patience,
      lastPatience: operators.lastPatience,
      riseS: operators.riseS,
      fallS: operators.fallS,
      margin: operators.margin,
      dtS,
      now: timeOfDay(),
      levels: this.#levels,
    });
    this.#levels = demand.levels;
    return demand.groups;
  }

  #logPlan(machines: readonly FleetMachine[], plan: FleetPlan): void {
    const { replica, log } = this.ctx;
    const cpus = (some: readonly FleetMachine[]): number =>
      some.reduce((n, m) => n + m.type.capacity.cpus, 0);
    for (const shard of replica.shards.keys()) {
      const own = machines.filter((m) => m.shard === shard);
      const waiting = [...replica.work(shard).index.waiting.values()];
      log.debug("plan", {
        shard,
        upCpus: cpus(own.filter((m) => m.up)),
        bootingCpus: cpus(own.filter((m) => !m.up)),
        usedCpus: own.reduce((n, m) => n + m.use.cpus, 0),
        emptyCpus: cpus(own.filter((m) => m.up && m.open === 0)),
        waitingCpus: waiting.reduce((n, j) => n + waitingCount(j) * j.spec.needs.cpus, 0),
        levels: [...this.#levels].map(
          ([key, n]) => `${key.split("|")[0]}.${key.split("|").pop()}=${n.toFixed(1)}`,
        ),
        moves: plan.moves.filter((m) => m.to === shard).length,
        rents: plan.rents.flatMap((r) => r.shards).filter((n) => n === shard).length,
      });
    }
  }
}
