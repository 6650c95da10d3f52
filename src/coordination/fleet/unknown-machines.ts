/**
 * Machines that no record knows: from before this service's time, or from a rental that was carried
 * out late. They are entered into the records, to be used or returned.
 *
 * Owns which machines are being asked and which have shown themselves. What must hold: a machine is
 * entered only after it has answered itself or the cloud has listed it, and only once the replica is
 * synced up to where the records were when it was seen.
 */
import {
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type Revision,
  type ShardId,
  shardId,
} from "@umberfold/ids";
import { type ListedMachine, listPath, parseMachineList } from "../../protocol/cloud.js";
import { parseWorkerStatus, type WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import { monotonicNow, wallClockNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { CLOUD_CALL_TIMEOUT_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords, NewMachine } from "./fleet-records.js";
import type { MachineTypes } from "./machine-types.js";

const LIST_INTERVAL_MS = 15_000;
/** Machines asked at a time, and how long they have to answer. */
const MAX_CONCURRENT_STATUS_CALLS = 64;
const STATUS_CALL_TIMEOUT_MS = 2000;

/** A machine that was seen while no record knew it, and up to where the records were known then. */
type ConfirmedMachine = Omit<NewMachine, "shard"> & { readonly seenAt: Revision };

/** What a machine says of itself, or the cloud of it. */
interface MachineDescription {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Finds and adopts machines without a record. */
export class UnknownMachines {
  readonly #asking = new Set<MachineId>();
  readonly #seen = new Map<MachineId, ConfirmedMachine>();
  #listedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  /** Machines adopted since the start. */
  readonly counters = { adopted: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly types: MachineTypes,
    private readonly cloud: CloudClient,
    private readonly workers: HttpClient,
  ) {}

  /**
   * Takes in a heartbeat of an unknown machine. It may be a late copy from one that was returned
   * long ago, under whatever leader: the machine is adopted once it has itself answered a question.
   */
  recordHeartbeat(status: WorkerStatus): void {
    const { machine } = status;
    if (this.#asking.has(machine) || this.records.isKnown(machine)) return;
    if (this.records.wasReturned(machine) || this.#asking.size >= MAX_CONCURRENT_STATUS_CALLS) return;
    this.#asking.add(machine);
    // Not awaited: a heartbeat's answer doesn't wait for it.
    void this.#askMachine(status).finally(() => this.#asking.delete(machine));
  }

  async #askMachine({ machine, endpoint }: WorkerStatus): Promise<void> {
    const reply = await this.workers.call(endpoint, "GET", "/status", undefined, STATUS_CALL_TIMEOUT_MS);
    const answered = reply.kind === "answer" ? parseWorkerStatus(reply.body) : undefined;
    if (answered?.machine === machine) this.#recordSeen(machine, answered, answered.endpoint);
  }

  #recordSeen(id: MachineId, { type, zone, spot }: MachineDescription, endpoint: string): void {
    const seenAt = this.ctx.replica.latestSeenRevision;
    this.#seen.set(id, {
      type,
      zone,
      spot,
      endpoint,
      phase: "up",
      rentedAt: wallClockNow(),
      seenAt,
    });
  }

  /** Enters machines that have shown themselves, many in one write. */
  async adoptConfirmed(): Promise<void> {
    if (this.#seen.size === 0 || !this.records.canWrite) return;
    const { replica, log } = this.ctx;
    const nextShard = this.#shardsByLoad();
    const rows: (readonly [MachineId, NewMachine])[] = [];
    for (const [id, { seenAt, ...machine }] of this.#seen) {
      // Unknown when it was seen, perhaps only because its page was not known here yet.
      if (replica.syncedRevision < seenAt) continue;
      this.#seen.delete(id);
      if (!this.records.isKnown(id) && !this.records.wasReturned(id))
        rows.push([id, { ...machine, shard: nextShard(machine.type) }]);
    }
    if (rows.length === 0 || !(await this.records.insertMachines(rows, [], []))) return;
    this.counters.adopted += rows.length;
    log.info("machines adopted", { machines: rows.map(([id]) => id) });
  }

  /** Gives out shards, each time the one with the fewest processors. */
  #shardsByLoad(): (type: string) => ShardId {
    const cpusByShard = Array.from({ length: this.ctx.settings.shardCount }, () => 0);
    const addMachine = (shard: ShardId, type: string): void => {
      const cpus = this.types.find(type)?.capacity.cpus ?? 1;
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
   * Reads the cloud's list, seldom: for machines that send no heartbeat. Returns those with a record
   * that the cloud calls failed; of a list that breaks off, those on the pages before.
   */
  async scanCloudList(): Promise<readonly MachineId[]> {
    const now = monotonicNow();
    if (now - this.#listedAt < LIST_INTERVAL_MS) return [];
    this.#listedAt = now;
    const failed: MachineId[] = [];
    let after: string | undefined;
    for (;;) {
      const answer = await this.cloud.call("GET", listPath(after));
      const page = answer?.status === 200 ? parseMachineList(answer.body) : undefined;
      if (page === undefined) return failed;
      failed.push(...this.#takePage(page.machines));
      if (!page.more || page.machines.length === 0) return failed;
      after = page.machines[page.machines.length - 1]?.id;
    }
  }

  /** Takes in one page of the list; returns the machines with a record that have failed. */
  #takePage(machines: readonly ListedMachine[]): readonly MachineId[] {
    const failed: MachineId[] = [];
    for (const machine of machines) {
      if (!this.records.isKnown(machine.id)) this.#recordListed(machine);
      else if (machine.phase === "failed") failed.push(machine.id);
    }
    return failed;
  }

  /** A machine that is young may only not be in the records yet. */
  #recordListed(machine: ListedMachine): void {
    const minAgeS = 2 * this.ctx.settings.cloud.listLagS + CLOUD_CALL_TIMEOUT_MS / 1000;
    if (machine.ageS <= minAgeS || machine.phase === "failed") return;
    if (this.records.wasReturned(machine.id)) return;
    this.#recordSeen(machine.id, machine, machine.phase === "running" ? machine.endpoint : "");
  }
}
