/**
 * The machine records that the leader creates, and which machines were returned.
 *
 * Owns the recently returned machines and the machines whose records are being written. Each
 * machine is a row of one page only, and a returned machine is never inserted again.
 */
import { KEY_ABSENT, type MachineId, type ShardId } from "@umberfold/ids";
import type { Condition, WriteOperation } from "../../protocol/store.js";
import { encodeMachinePage, MAX_MACHINE_ROW_BYTES } from "../../storage/pages.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import { LeaderRecords } from "./leader-records.js";

/** How many returned machines are remembered, so that a late heartbeat doesn't readopt them. */
const MAX_RETURNED_MACHINES = 10_000;

/** A machine to be inserted. Its token floor is the latest revision known at the insertion. */
export type NewMachine = Omit<MachineRecord, "tokenFloor">;

/** Writes pages of new machines on the condition that this controller still leads. */
export class FleetRecords extends LeaderRecords {
  readonly #recentlyReturned = new Set<MachineId>();
  /** Machines whose records are being written. */
  readonly #inserting = new Set<MachineId>();
  #issuedNameCount = 0;

  /**
   * A record name that is never issued twice: each leadership term has a revision of its own, and
   * the names issued within a term are numbered.
   */
  nextRecordName(): string {
    return `${this.ctx.replica.leader?.rev}-${++this.#issuedNameCount}`;
  }

  /** Whether the machine has a record or one is being written; it must not be inserted again. */
  isKnown(id: MachineId): boolean {
    return this.ctx.replica.machines.has(id) || this.#inserting.has(id);
  }

  /** Whether this controller has returned the machine, or a gone record names it. */
  wasReturned(id: MachineId): boolean {
    return this.#recentlyReturned.has(id) || this.ctx.replica.isGone(id);
  }

  /** Remembers machines whose return the cloud has confirmed; the oldest entries are evicted. */
  recordReturned(ids: readonly MachineId[]): void {
    for (const id of ids) this.#recentlyReturned.add(id);
    for (const id of this.#recentlyReturned) {
      if (this.#recentlyReturned.size <= MAX_RETURNED_MACHINES) break;
      this.#recentlyReturned.delete(id);
    }
  }

  /**
   * Writes new machines, grouped into pages by shard, so that many machines take few writes.
   * `conditions` and `ops` are added to the same transaction. Returns true if it was applied.
   */
  async insertMachines(
    rows: readonly (readonly [MachineId, NewMachine])[],
    conditions: readonly Condition[],
    ops: readonly WriteOperation[],
  ): Promise<boolean> {
    for (const [id] of rows) this.#inserting.add(id);
    const puts = this.#machinePages(rows);
    const absent = puts.map(({ key }) => ({ key, rev: KEY_ABSENT }));
    try {
      return await this.write({ conditions: [...conditions, ...absent], ops: [...puts, ...ops] });
    } finally {
      for (const [id] of rows) this.#inserting.delete(id);
    }
  }

  #machinePages(rows: readonly (readonly [MachineId, NewMachine])[]): readonly WriteOperation[] {
    const { replica, settings } = this.ctx;
    const machinesByShard = new Map<ShardId, [MachineId, MachineRecord][]>();
    for (const [id, machine] of rows) {
      const machines = machinesByShard.get(machine.shard) ?? [];
      machinesByShard.set(machine.shard, machines);
      machines.push([id, { ...machine, tokenFloor: replica.latestSeenRevision }]);
    }
    const maxMachinesPerPage = Math.floor(
      maxPageBytes({ ...settings.state, shardCount: settings.shardCount }) / MAX_MACHINE_ROW_BYTES,
    );
    const puts: WriteOperation[] = [];
    for (const [shard, machines] of machinesByShard)
      for (let i = 0; i < machines.length; i += maxMachinesPerPage) {
        const value = encodeMachinePage(machines.slice(i, i + maxMachinesPerPage));
        puts.push({ kind: "put", key: keys.fleet(shard, this.nextRecordName()), value });
      }
    return puts;
  }
}
