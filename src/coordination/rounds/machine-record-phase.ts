/**
 * The phase of a round that reconciles machine records: writes what `machine-record-changes.ts` finds
 * to be changed, page by page, and compacts pages.
 *
 * Owns which machines' changes are not written yet, and since when pages with changes that are not
 * urgent wait for others. A change comes up in each round until it is in the records. Nothing may be
 * started in a round on a machine whose record it changes.
 */
import type { MachineId, MonotonicMs } from "@umberfold/ids";
import { keys, type MachineRecord } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { compactMachinePages, type KeyedMachinePage } from "./machine-page-compaction.js";
import { type MachineRecordChange, machineRecordChange } from "./machine-record-changes.js";
import type { ShardRound } from "./shard-round.js";

/** Changes of the machines of one page. */
type PageChanges = ReadonlyMap<MachineId, MachineRecordChange>;

/** Reconciles the machine records of one owner. */
export class MachineRecordPhase {
  /** Pages with changes that may wait, and since when they do. */
  readonly #delayedSince = new Map<string, MonotonicMs>();
  /** Machines whose records are to change and have not been written yet. */
  readonly #unwritten = new Set<MachineId>();
  /** Makes the names of new pages unique. */
  #pageNameCounter = 0;

  constructor(private readonly state: ShardState) {}

  /**
   * Examines these machines, and those whose changes are not written yet.
   *
   * @returns the machines whose records this round changes: nothing may be started on them
   */
  reconcile(round: ShardRound, machines: Iterable<MachineId>): ReadonlySet<MachineId> {
    const { ctx } = this.state;
    const changedMachines = new Set<MachineId>();
    const writtenPages = new Set<string>();
    const pages: KeyedMachinePage[] = [];
    for (const [key, page] of ctx.replica.machinePages)
      if (page.shard === round.shard) pages.push([key, page]);
    for (const key of this.#delayedSince.keys())
      if (!ctx.replica.machinePages.has(key)) this.#delayedSince.delete(key);
    const changesByPage = this.#changesByPage(round, machines);
    for (const [key] of pages) {
      const changes = changesByPage.get(key);
      if (changes === undefined) this.#delayedSince.delete(key);
      else if (!this.#mayWait(key, changes, round)) {
        if (!this.#writePage(key, changes, round, changedMachines)) continue;
        this.#delayedSince.delete(key);
        writtenPages.add(key);
      }
    }
    compactMachinePages(ctx, round, pages, writtenPages);
    return changedMachines;
  }

  /** To be called before the commit: the next round's transfers go to pages with new names. */
  nextPageNames(): void {
    this.#pageNameCounter++;
  }

  /** Needed changes of these machines and of those that are unwritten, by page. */
  #changesByPage(
    round: ShardRound,
    machines: Iterable<MachineId>,
  ): ReadonlyMap<string, PageChanges> {
    const { replica } = this.state.ctx;
    const byPage = new Map<string, Map<MachineId, MachineRecordChange>>();
    for (const id of new Set([...machines, ...this.#unwritten])) {
      const record = replica.machines.get(id);
      // Unwritten ones of another shard are examined in that shard's part of the round.
      if (record !== undefined && record.shard !== round.shard) continue;
      const key = replica.machinePageOf(id);
      const change =
        record === undefined ? undefined : machineRecordChange(this.state, round, id, record);
      if (change === undefined || key === undefined) {
        this.#unwritten.delete(id);
        continue;
      }
      // Until a round in which it needs no change any more: the commit may fail, or have to wait.
      this.#unwritten.add(id);
      const changes = byPage.get(key);
      if (changes === undefined) byPage.set(key, new Map([[id, change]]));
      else changes.set(id, change);
    }
    return byPage;
  }

  /** Whether all changes of the page can wait for others; remembers since when they do. */
  #mayWait(key: string, changes: PageChanges, { now }: ShardRound): boolean {
    let maxDelayMs = Number.POSITIVE_INFINITY;
    for (const change of changes.values())
      maxDelayMs = Math.min(maxDelayMs, change.kind === "update" ? change.maxDelayMs : 0);
    if (maxDelayMs <= 0) return false;
    const since = this.#delayedSince.get(key) ?? now;
    this.#delayedSince.set(key, since);
    return now - since < maxDelayMs;
  }

  /** Adds the changes to the batch. Returns false if it has no room for the page. */
  #writePage(
    key: string,
    changes: PageChanges,
    round: ShardRound,
    changedMachines: Set<MachineId>,
  ): boolean {
    const records = round.batch.editMachinePage(key);
    if (records === undefined) return false;
    for (const [id, change] of changes)
      switch (change.kind) {
        case "remove":
          records.delete(id);
          break;
        case "transfer":
          if (!this.#writeTransfer(id, change.record, round)) break;
          records.delete(id);
          changedMachines.add(id);
          break;
        case "update":
          if (change.maxDelayMs === 0 || change.record.tokenFloor !== records.get(id)?.tokenFloor)
            changedMachines.add(id);
          records.set(id, change.record);
          this.#recordUpdate(id, change.record, round);
          break;
      }
    return true;
  }

  /** Adds the machine to a new page of its next shard. Returns false if the batch has no room. */
  #writeTransfer(id: MachineId, record: MachineRecord, round: ShardRound): boolean {
    const ownedSince = this.state.ctx.replica.shardOwners.get(round.shard)?.rev;
    const pageName = `${ownedSince}-${this.#pageNameCounter}`;
    const page = round.batch.newMachinePage(keys.fleet(record.shard, pageName));
    page?.set(id, record);
    return page !== undefined;
  }

  /** Clears in the soft state what the new record satisfies. */
  #recordUpdate(id: MachineId, record: MachineRecord, round: ShardRound): void {
    const { tokenRaise, departure } = this.state.machineState(id);
    tokenRaise.clear();
    if (record.phase === "up") round.machinesToCall.add(id);
    else departure.step({ kind: "transfer_ended" });
  }
}
