/**
 * Adopts machines without a record. They date from before this service was in use, or from a rental
 * that was executed late. Once they have a record they are used or returned like any other.
 *
 * Owns the status calls in flight and the confirmed machines. A machine is adopted only after it
 * has answered a status call or appeared in the cloud's list, and only once the replica is synced
 * up to the latest revision known when that happened, so that no record of the machine is
 * overlooked.
 */
import {
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type Revision,
  type ShardId,
  shardId,
} from "@umberfold/ids";
import { type ListedMachine, machineListPath, parseMachineList } from "../../protocol/cloud.js";
import { parseWorkerStatus, type WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { CLOUD_CALL_TIMEOUT_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords, NewMachine } from "./fleet-records.js";
import type { MachineTypes } from "./machine-types.js";

/** Minimum interval between two reads of the cloud's list of machines. */
const LIST_INTERVAL_MS = 15_000;
const MAX_CONCURRENT_STATUS_CALLS = 64;
const STATUS_CALL_TIMEOUT_MS = 2000;
/**
 * A machine is adopted from the cloud's list only if it is older than this many times the list's
 * lag, plus the timeout of a call to the cloud.
 */
const LIST_LAG_FACTOR = 2;

/** A confirmed machine without a record, and the latest revision known when it was confirmed. */
type ConfirmedMachine = Omit<NewMachine, "shard"> & { readonly confirmedAtRevision: Revision };

/** A machine as described by its own status or by the cloud's list. */
interface MachineDescription {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Finds and adopts machines without a record. */
export class UnknownMachines {
  readonly #statusCallsInFlight = new Set<MachineId>();
  readonly #confirmed = new Map<MachineId, ConfirmedMachine>();
  #lastListedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  /** Machines adopted since the process started. */
  readonly counters = { adopted: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly machineTypes: MachineTypes,
    private readonly cloud: CloudClient,
    private readonly workers: HttpClient,
  ) {}

  /**
   * Records a heartbeat of an unknown machine and sends the machine a status call. The heartbeat
   * alone does not confirm it: it may be a delayed copy from a machine that any leader returned
   * long ago.
   */
  recordHeartbeat(status: WorkerStatus): void {
    const { machine } = status;
    if (this.#statusCallsInFlight.has(machine) || this.records.isKnown(machine)) return;
    if (
      this.records.wasReturned(machine) ||
      this.#statusCallsInFlight.size >= MAX_CONCURRENT_STATUS_CALLS
    )
      return;
    this.#statusCallsInFlight.add(machine);
    // Not awaited: the response to the heartbeat must not wait for this call.
    void this.#confirmByStatusCall(status).finally(() => this.#statusCallsInFlight.delete(machine));
  }

  async #confirmByStatusCall({ machine, endpoint }: WorkerStatus): Promise<void> {
    const result = await this.workers.call(
      endpoint,
      "GET",
      "/status",
      undefined,
      STATUS_CALL_TIMEOUT_MS,
    );
    const status = result.kind === "answer" ? parseWorkerStatus(result.body) : undefined;
    if (status?.machine === machine) this.#recordConfirmed(machine, status, status.endpoint);
  }

  #recordConfirmed(
    id: MachineId,
    { type, zone, spot }: MachineDescription,
    endpoint: string,
  ): void {
    const confirmedAtRevision = this.ctx.replica.latestSeenRevision;
    this.#confirmed.set(id, {
      type,
      zone,
      spot,
      endpoint,
      phase: "up",
      rentedAt: wallClockNow(),
      confirmedAtRevision,
    });
  }

  /** Writes records for the confirmed machines, in one transaction. */
  async adoptConfirmed(): Promise<void> {
    if (this.#confirmed.size === 0 || !this.records.canWrite) return;
    const { replica, log } = this.ctx;
    const pickShard = this.#leastLoadedShardPicker();
    const rows: (readonly [MachineId, NewMachine])[] = [];
    for (const [id, { confirmedAtRevision, ...machine }] of this.#confirmed) {
      // Its page may exist and not have reached the replica yet.
      if (replica.syncedRevision < confirmedAtRevision) continue;
      this.#confirmed.delete(id);
      if (!this.records.isKnown(id) && !this.records.wasReturned(id))
        rows.push([id, { ...machine, shard: pickShard(machine.type) }]);
    }
    if (rows.length === 0 || !(await this.records.insertMachines(rows, [], []))) return;
    this.counters.adopted += rows.length;
    log.info("machines adopted", { machines: rows.map(([id]) => id) });
  }

  /** Returns a function that assigns each machine to the shard with the fewest processors. */
  #leastLoadedShardPicker(): (type: string) => ShardId {
    const cpusByShard = Array.from({ length: this.ctx.settings.shardCount }, () => 0);
    const addMachine = (shard: ShardId, type: string): void => {
      const cpus = this.machineTypes.find(type)?.capacity.cpus ?? 1;
      cpusByShard[shard] = (cpusByShard[shard] ?? 0) + cpus;
    };
    for (const { shard, type } of this.ctx.replica.machines.values()) addMachine(shard, type);
    return (type) => {
      const shard = shardId(cpusByShard.indexOf(Math.min(...cpusByShard)));
      addMachine(shard, type);
      return shard;
    };
  }

  /**
   * Reads the cloud's list at a long interval, to find unknown machines that send no heartbeat.
   * Returns the machines with a record that the cloud reports as failed. If a page can't be read,
   * returns those of the pages before it.
   */
  async scanCloudList(): Promise<readonly MachineId[]> {
    const now = monotonicNow();
    if (now - this.#lastListedAt < LIST_INTERVAL_MS) return [];
    this.#lastListedAt = now;
    const failed: MachineId[] = [];
    let after: string | undefined;
    for (;;) {
      const response = await this.cloud.call("GET", machineListPath(after));
      const page = response?.status === 200 ? parseMachineList(response.body) : undefined;
      if (page === undefined) return failed;
      failed.push(...this.#scanPage(page.machines));
      if (!page.hasMore || page.machines.length === 0) return failed;
      after = page.machines[page.machines.length - 1]?.id;
    }
  }

  /** Processes one page of the list and returns its failed machines that have a record. */
  #scanPage(machines: readonly ListedMachine[]): readonly MachineId[] {
    const failed: MachineId[] = [];
    for (const machine of machines) {
      if (!this.records.isKnown(machine.id)) this.#recordListedMachine(machine);
      else if (machine.phase === "failed") failed.push(machine.id);
    }
    return failed;
  }

  /**
   * Records a listed machine without a record as confirmed, unless it has failed, was returned, or
   * is so young that its record may not have been written yet.
   */
  #recordListedMachine(machine: ListedMachine): void {
    const minAgeS =
      LIST_LAG_FACTOR * this.ctx.settings.cloud.listLagS + CLOUD_CALL_TIMEOUT_MS / 1000;
    if (machine.ageS <= minAgeS || machine.phase === "failed") return;
    if (this.records.wasReturned(machine.id)) return;
    this.#recordConfirmed(machine.id, machine, machine.phase === "running" ? machine.endpoint : "");
  }
}
