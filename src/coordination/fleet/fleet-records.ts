/**
 * The leader's records of machines: their names, and which machines were returned.
 *
 * Owns the machines returned lately and those whose records are being written. What must hold: a
 * machine stands in one page only, and one that was returned is never entered again.
 */
import { KEY_ABSENT, type MachineId, type ShardId } from "@umberfold/ids";
import type { Condition, WriteOperation } from "../../protocol/store.js";
import { encodeMachinePage, MAX_MACHINE_ROW_BYTES } from "../../storage/pages.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import { LeaderRecords } from "./leader-records.js";

/** Machines returned lately, whose late heartbeats must not have them adopted again. */
const MAX_RETURNED_KEPT = 10_000;

/** A machine that is about to be entered; its token floor follows from when it is. */
export type NewMachine = Omit<MachineRecord, "tokenFloor">;

/** Writes the pages of new machines under the leader's term. */
export class FleetRecords extends LeaderRecords {
  readonly #returned = new Set<MachineId>();
  /** Machines whose records are being written. */
  readonly #entering = new Set<MachineId>();
  #namesGiven = 0;

  /** Named by this term of leadership: no two terms have the same revision, no term a number. */
  nextName(): string {
    return `${this.ctx.replica.leader?.rev}-${++this.#namesGiven}`;
  }

  /** In the records, or on its way there: a machine must not stand in two pages. */
  isKnown(id: MachineId): boolean {
    return this.ctx.replica.machines.has(id) || this.#entering.has(id);
  }

  /** Returned by this controller, or by any leader, as the records say. */
  wasReturned(id: MachineId): boolean {
    return this.#returned.has(id) || this.ctx.replica.isGone(id);
  }

  /** Remembers machines that the cloud has taken back; the oldest are forgotten. */
  recordReturned(ids: readonly MachineId[]): void {
    for (const id of ids) this.#returned.add(id);
    for (const id of this.#returned) {
      if (this.#returned.size <= MAX_RETURNED_KEPT) break;
      this.#returned.delete(id);
    }
  }

  /**
   * Writes new machines, a page for each shard: few writes however many they are. `conditions` and
   * `ops` go into the same transaction. True if it was applied.
   */
  async enter(
    rows: readonly (readonly [MachineId, NewMachine])[],
    conditions: readonly Condition[],
    ops: readonly WriteOperation[],
  ): Promise<boolean> {
    for (const [id] of rows) this.#entering.add(id);
    const puts = this.#pages(rows);
    const absent = puts.map(({ key }) => ({ key, rev: KEY_ABSENT }));
    try {
      return await this.write({ conditions: [...conditions, ...absent], ops: [...puts, ...ops] });
    } finally {
      for (const [id] of rows) this.#entering.delete(id);
    }
  }

  #pages(rows: readonly (readonly [MachineId, NewMachine])[]): readonly WriteOperation[] {
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
        puts.push({ kind: "put", key: keys.fleet(shard, this.nextName()), value });
      }
    return puts;
  }
}
