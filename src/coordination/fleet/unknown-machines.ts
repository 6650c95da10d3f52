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
import { CLOUD_CALL_MS, type CloudClient } from "./cloud-client.js";
import type { FleetRecords, NewMachine } from "./fleet-records.js";
import type { MachineTypes } from "./machine-types.js";

const LIST_EVERY_MS = 15_000;
/** Machines asked at a time, and how long they have to answer. */
const MOST_ASKED = 64;
const STATUS_MS = 2000;

/** A machine that was seen while no record knew it, and up to where the records were known then. */
type Seen = Omit<NewMachine, "shard"> & { readonly seenAt: Revision };

/**
 * Machines that no record knows: from before this service's time, or from a rental that was carried
 * out late. They are entered into the records, to be used or returned.
 */
export class UnknownMachines {
  readonly #asking = new Set<MachineId>();
  readonly #seen = new Map<MachineId, Seen>();
  #listedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  readonly counters = { adopted: 0 };

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly types: MachineTypes,
    private readonly cloud: CloudClient,
    private readonly workers: HttpClient,
  ) {}

  /**
   * Its report may be a late copy from one that was returned long ago, under whatever leader: it is
   * taken in once it has itself answered a question.
   */
  recordStatus(r: WorkerStatus): void {
    if (this.#asking.has(r.machine) || this.records.known(r.machine)) return;
    if (this.records.returned(r.machine) || this.#asking.size >= MOST_ASKED) return;
    this.#asking.add(r.machine);
    void this.#ask(r).finally(() => this.#asking.delete(r.machine));
  }

  async #ask(r: WorkerStatus): Promise<void> {
    const reply = await this.workers.call(r.endpoint, "GET", "/status", undefined, STATUS_MS);
    const own = reply.kind === "answer" ? parseWorkerStatus(reply.body) : undefined;
    if (own?.machine === r.machine) this.#note(r.machine, own, own.endpoint);
  }

  #note(
    id: MachineId,
    m: { readonly type: string; readonly zone: string; readonly spot: boolean },
    endpoint: string,
  ): void {
    const { type, zone, spot } = m;
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

  /** Enters what has shown itself, many machines in one write. */
  async adopt(): Promise<void> {
    if (this.#seen.size === 0 || !this.records.writable) return;
    const { replica, log } = this.ctx;
    const nextShard = this.#shardsByLoad();
    const rows: (readonly [MachineId, NewMachine])[] = [];
    for (const [id, { seenAt, ...machine }] of this.#seen) {
      // Unknown when it was seen, perhaps only because its page was not known here yet.
      if (replica.syncedRevision < seenAt) continue;
      this.#seen.delete(id);
      if (!this.records.known(id) && !this.records.returned(id))
        rows.push([id, { ...machine, shard: nextShard(machine.type) }]);
    }
    if (rows.length === 0 || !(await this.records.enter(rows, [], []))) return;
    this.counters.adopted += rows.length;
    log.info("machines adopted", { machines: rows.map(([id]) => id) });
  }

  /** Gives out shards, each time the one with the fewest processors. */
  #shardsByLoad(): (type: string) => ShardId {
    const load = Array.from({ length: this.ctx.settings.shardCount }, () => 0);
    const add = (shard: ShardId, type: string): void => {
      load[shard] = (load[shard] ?? 0) + (this.types.find(type)?.capacity.cpus ?? 1);
    };
    for (const m of this.ctx.replica.machines.values()) add(m.shard, m.type);
    return (type) => {
      const shard = shardId(load.indexOf(Math.min(...load)));
      add(shard, type);
      return shard;
    };
  }

  /** Seldom: for machines that nobody reports. Returns those known that have failed. */
  async list(): Promise<readonly MachineId[]> {
    const now = monotonicNow();
    if (now - this.#listedAt < LIST_EVERY_MS) return [];
    this.#listedAt = now;
    const failed: MachineId[] = [];
    let after: string | undefined;
    for (;;) {
      const answer = await this.cloud.call("GET", listPath(after));
      const page = answer?.status === 200 ? parseMachineList(answer.body) : undefined;
      if (page === undefined) return failed;
      for (const m of page.machines) {
        if (!this.records.known(m.id)) this.#listed(m);
        else if (m.phase === "failed") failed.push(m.id);
      }
      if (!page.more || page.machines.length === 0) return failed;
      after = page.machines[page.machines.length - 1]?.id;
    }
  }

  /** One that is young may only not be in the records yet. */
  #listed(m: ListedMachine): void {
    const old = m.ageS > 2 * this.ctx.settings.cloud.listLagS + CLOUD_CALL_MS / 1000;
    if (!old || m.phase === "failed" || this.records.returned(m.id)) return;
    this.#note(m.id, m, m.phase === "running" ? m.endpoint : "");
  }
}
