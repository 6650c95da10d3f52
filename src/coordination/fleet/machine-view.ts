/**
 * The machines as input of fleet planning.
 *
 * Owns how long each machine has been idle and each attempt open, as observed by this leader. A
 * machine with a pending transfer counts as empty and as part of its destination shard.
 */
import type { JobId, MachineId, MonotonicMs } from "@umberfold/ids";
import type { MachineType } from "../../protocol/cloud.js";
import { priorityOrder } from "../../protocol/jobs.js";
import type { FleetMachine } from "../../scheduling/fleet-plan.js";
import { add, NO_RESOURCES } from "../../scheduling/resources.js";
import type { MachineRecord } from "../../storage/records.js";
import { wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { MachineTypes } from "./machine-types.js";
import type { PendingTransfers } from "./pending-transfers.js";

/**
 * Ranks before the priority of any job (lower numbers rank first): the leader's plan never preempts
 * tasks within a guarantee.
 */
const GUARANTEED_PRIORITY = -1;

type FleetTask = FleetMachine["tasks"][number];

/** All machines that are up or booting, for one plan. */
export interface FleetSnapshot {
  /** Machines that planning may use. */
  readonly machines: readonly FleetMachine[];
  /** Machines that sent no heartbeat within `#maxBootS`; they are to be decommissioned. */
  readonly neverBooted: readonly MachineId[];
}

/** Builds the machine list of a plan from the replica. */
export class MachineView {
  /** When each idle machine was first seen without open attempts. */
  readonly #idleSince = new Map<MachineId, MonotonicMs>();
  /** When each open attempt was first seen in the replica, by the attempt's key. */
  #openSince: ReadonlyMap<string, MonotonicMs> = new Map();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly machineTypes: MachineTypes,
    private readonly pendingTransfers: PendingTransfers,
  ) {}

  /**
   * All machines with their open attempts, for a full plan.
   *
   * @param withinGuarantee jobs whose tasks must not be preempted
   */
  snapshot(now: MonotonicMs, withinGuarantee: ReadonlySet<JobId>): FleetSnapshot {
    const { replica } = this.ctx;
    const openSince = new Map<string, MonotonicMs>();
    const machines: FleetMachine[] = [];
    const neverBooted: MachineId[] = [];
    for (const [id, record] of replica.machines) {
      const type = this.machineTypes.find(record.type);
      if (record.phase !== "up" || type === undefined || replica.isGone(id)) continue;
      const idleS = this.#idleS(id, record, now);
      const destination = this.pendingTransfers.destinationOf(id, record.shard, now);
      const heldS = Math.max(0, (wallClockNow() - record.rentedAt) / 1000);
      if (record.endpoint === "" && heldS > this.#maxBootS(type)) {
        neverBooted.push(id);
        continue;
      }
      const tasks =
        destination === undefined ? this.#tasksOn(id, record, withinGuarantee, openSince, now) : [];
      machines.push({
        id,
        shard: destination ?? record.shard,
        type,
        zone: record.zone,
        spot: record.spot,
        isUp: record.endpoint !== "",
        usedResources: tasks.reduce((sum, task) => add(sum, task.resources), NO_RESOURCES),
        openAttempts: destination === undefined ? this.#openAttempts(id, record).size : 0,
        tasks,
        idleS,
        heldS,
      });
    }
    for (const id of [...this.#idleSince.keys()])
      if (!replica.machines.has(id)) this.#idleSince.delete(id);
    this.#openSince = openSince;
    return { machines, neverBooted };
  }

  /** Machines that are up and have no open attempts, however short a time they have been idle. */
  idleMachines(now: MonotonicMs): readonly FleetMachine[] {
    const { replica } = this.ctx;
    const machines: FleetMachine[] = [];
    for (const [id, record] of replica.machines) {
      if (record.phase !== "up" || record.endpoint === "" || replica.isGone(id)) continue;
      if (this.#openAttempts(id, record).size > 0) continue;
      const type = this.machineTypes.find(record.type);
      if (type === undefined) continue;
      machines.push({
        id,
        shard: this.pendingTransfers.destinationOf(id, record.shard, now) ?? record.shard,
        type,
        zone: record.zone,
        spot: record.spot,
        isUp: true,
        usedResources: NO_RESOURCES,
        openAttempts: 0,
        tasks: [],
        idleS: 0,
        heldS: 0,
      });
    }
    return machines;
  }

  /** Seconds from its rental after which a machine without a heartbeat counts as never booted. */
  #maxBootS(type: MachineType): number {
    const { operators, settings } = this.ctx;
    return type.bootS * operators.bootTimeoutFactor + settings.workers.heartbeatPeriodS;
  }

  #openAttempts(id: MachineId, { shard }: MachineRecord) {
    return this.ctx.replica.shardJobs(shard).openAttemptsOn(id);
  }

  #idleS(id: MachineId, record: MachineRecord, now: MonotonicMs): number {
    if (this.#openAttempts(id, record).size > 0) this.#idleSince.delete(id);
    else if (!this.#idleSince.has(id)) this.#idleSince.set(id, now);
    return (now - (this.#idleSince.get(id) ?? now)) / 1000;
  }

  #tasksOn(
    id: MachineId,
    record: MachineRecord,
    withinGuarantee: ReadonlySet<JobId>,
    openSince: Map<string, MonotonicMs>,
    now: MonotonicMs,
  ): readonly FleetTask[] {
    const { jobs } = this.ctx.replica.shardJobs(record.shard);
    const tasks: FleetTask[] = [];
    for (const { job: jobId, key } of this.#openAttempts(id, record).values()) {
      const job = jobs.get(jobId);
      if (job === undefined) continue;
      const since = this.#openSince.get(key) ?? now;
      openSince.set(key, since);
      // With checkpoints only the save since the last one is lost, otherwise all work so far.
      const { checkpointIntervalS, checkpointSaveS, resources } = job.spec;
      const lostWorkS = checkpointIntervalS > 0 ? checkpointSaveS : (now - since) / 1000;
      const priority = withinGuarantee.has(jobId)
        ? GUARANTEED_PRIORITY
        : priorityOrder(job.spec.priority);
      tasks.push({ priority, resources, lostWorkS });
    }
    return tasks;
  }
}
