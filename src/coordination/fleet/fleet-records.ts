import { KEY_ABSENT, type MachineId, type ShardId } from "@umberfold/ids";
import type { Condition, WriteOperation } from "../../protocol/store.js";
import { encodeMachinePage, MACHINE_BYTES } from "../../storage/pages.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import { LeaderRecords } from "./leader-records.js";

/** Machines returned lately, whose late reports must not have them adopted again. */
const RETURNED_KEPT = 10_000;

export type NewMachine = Omit<MachineRecord, "tokenFloor">;

/** The leader's records of machines: their names, and which machines were returned. */
export class FleetRecords extends LeaderRecords {
  readonly #returned = new Set<MachineId>();
  /** Machines whose records are being written. */
  readonly #entering = new Set<MachineId>();
  #names = 0;

  /** Named by this term of leadership: no two terms have the same revision, no term a number. */
  nextName(): string {
    return `${this.ctx.replica.leader?.rev}-${++this.#names}`;
  }

  /** In the records, or on its way there: a machine must not stand in two pages. */
  known(id: MachineId): boolean {
    return this.ctx.replica.machines.has(id) || this.#entering.has(id);
  }

  /** Returned by this controller, or by any leader, as the records say. */
  returned(id: MachineId): boolean {
    return this.#returned.has(id) || this.ctx.replica.isGone(id);
  }

  noteReturned(ids: readonly MachineId[]): void {
    for (const id of ids) this.#returned.add(id);
    for (const id of this.#returned) {
      if (this.#returned.size <= RETURNED_KEPT) break;
      this.#returned.delete(id);
    }
  }

  /** Writes new machines, a page for each shard: few writes however many they are. */
  async enter(
    rows: readonly (readonly [MachineId, NewMachine])[],
    conditions: readonly Condition[],
    ops: readonly WriteOperation[],
  ): Promise<boolean> {
    for (const [id] of rows) this.#entering.add(id);
    const puts = this.#pages(rows);
    const absent = puts.map((p) => ({ key: p.key, rev: KEY_ABSENT }));
    try {
      return await this.write({ conditions: [...conditions, ...absent], ops: [...puts, ...ops] });
    } finally {
      for (const [id] of rows) this.#entering.delete(id);
    }
  }

  #pages(rows: readonly (readonly [MachineId, NewMachine])[]): readonly WriteOperation[] {
    const { replica, settings } = this.ctx;
    const byShard = new Map<ShardId, [MachineId, MachineRecord][]>();
    for (const [id, machine] of rows) {
      const page = byShard.get(machine.shard) ?? [];
      byShard.set(machine.shard, page);
      page.push([id, { ...machine, tokenFloor: replica.latestSeenRevision }]);
    }
    const most = Math.floor(
      maxPageBytes({ ...settings.state, shardCount: settings.shardCount }) / MACHINE_BYTES,
    );
    const puts: WriteOperation[] = [];
    for (const [shard, machines] of byShard)
      for (let i = 0; i < machines.length; i += most) {
        const value = encodeMachinePage(machines.slice(i, i + most));
        puts.push({ kind: "put", key: keys.fleet(shard, this.nextName()), value });
      }
    return puts;
  }
}
