/**
 * The phase of a round that reconciles machine records: adds the changes that
 * `machine-record-changes.ts` decides to the batch, page by page, and compacts pages.
 *
 * Owns the set of machines whose changes are not written yet, and the time since which pages with
 * only non-urgent changes have been delayed. A change is decided again in each round until the
 * records show it. No task may start on a machine in a round that transfers it, retires it or
 * raises its token floor.
 */
import type { MachineId, MonotonicMs } from "@umberfold/ids";
import { keys, type MachineRecord } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { compactMachinePages, type KeyedMachinePage } from "./machine-page-compaction.js";
import { type MachineRecordChange, machineRecordChange } from "./machine-record-changes.js";
import type { ShardRound } from "./shard-round.js";

/** The changes to one page, by machine. */
type PageChanges = ReadonlyMap<MachineId, MachineRecordChange>;

/** Reconciles the machine records of one owner. */
export class MachineRecordPhase {
  /** When the delay of each page with only non-urgent changes began, by page key. */
  readonly #pageDelayedSince = new Map<string, MonotonicMs>();
  /** Machines whose records need a change that is not written yet. */
  readonly #unwrittenMachines = new Set<MachineId>();
  /** Makes the names of new pages unique. */
  #pageNameCounter = 0;

  constructor(private readonly state: ShardState) {}

  /**
   * Reconciles the records of these machines, and of those whose changes are not written yet.
   *
   * @returns the machines on which this round may start no task, because it changes their records
   */
  reconcile(round: ShardRound, machines: Iterable<MachineId>): ReadonlySet<MachineId> {
    const { ctx } = this.state;
    const changedMachines = new Set<MachineId>();
    const writtenPages = new Set<string>();
    const pages: KeyedMachinePage[] = [];
    for (const [key, page] of ctx.replica.machinePages)
      if (page.shard === round.shard) pages.push([key, page]);
    for (const key of this.#pageDelayedSince.keys())
      if (!ctx.replica.machinePages.has(key)) this.#pageDelayedSince.delete(key);
    const changesByPage = this.#changesByPage(round, machines);
    for (const [key] of pages) {
      const changes = changesByPage.get(key);
      if (changes === undefined) this.#pageDelayedSince.delete(key);
      else if (!this.#mayBeDelayed(key, changes, round)) {
        if (!this.#writePage(key, changes, round, changedMachines)) continue;
        this.#pageDelayedSince.delete(key);
        writtenPages.add(key);
      }
    }
    compactMachinePages(ctx, round, pages, writtenPages);
    return changedMachines;
  }

  /**
   * Must be called before each commit, so that transfers of the next round go to pages with names
   * that were not used before.
   */
  advancePageNames(): void {
    this.#pageNameCounter++;
  }

  /** The changes that these machines and the unwritten ones need, by page. */
  #changesByPage(
    round: ShardRound,
    machines: Iterable<MachineId>,
  ): ReadonlyMap<string, PageChanges> {
    const { replica } = this.state.ctx;
    const byPage = new Map<string, Map<MachineId, MachineRecordChange>>();
    for (const id of new Set([...machines, ...this.#unwrittenMachines])) {
      const record = replica.machines.get(id);
      // Unwritten machines of another shard are handled when the round reaches that shard.
      if (record !== undefined && record.shard !== round.shard) continue;
      const key = replica.machinePageKeyOf(id);
      const change =
        record === undefined ? undefined : machineRecordChange(this.state, round, id, record);
      if (change === undefined || key === undefined) {
        this.#unwrittenMachines.delete(id);
        continue;
      }
      // The commit may fail or be delayed, so the machine stays in the set until a later round
      // finds that it needs no change.
      this.#unwrittenMachines.add(id);
      const changes = byPage.get(key);
      if (changes === undefined) byPage.set(key, new Map([[id, change]]));
      else changes.set(id, change);
    }
    return byPage;
  }

  /** Whether all changes to the page can be delayed; remembers when the delay began. */
  #mayBeDelayed(key: string, changes: PageChanges, { now }: ShardRound): boolean {
    let maxDelayMs = Number.POSITIVE_INFINITY;
    for (const change of changes.values())
      maxDelayMs = Math.min(maxDelayMs, change.kind === "update" ? change.maxDelayMs : 0);
    if (maxDelayMs <= 0) return false;
    const since = this.#pageDelayedSince.get(key) ?? now;
    this.#pageDelayedSince.set(key, since);
    return now - since < maxDelayMs;
  }

  /** Adds the changes of one page to the batch. Returns false if the page does not fit. */
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
          this.#onRecordUpdated(id, change.record, round);
          break;
      }
    return true;
  }

  /** Adds the machine to a new page of its next shard. Returns false if the page does not fit. */
  #writeTransfer(id: MachineId, record: MachineRecord, round: ShardRound): boolean {
    const ownedSince = this.state.ctx.replica.shardOwners.get(round.shard)?.rev;
    const pageName = `${ownedSince}-${this.#pageNameCounter}`;
    const page = round.batch.addMachinePage(keys.fleet(record.shard, pageName));
    page?.set(id, record);
    return page !== undefined;
  }

  /**
   * Clears the requests in the machine's soft state that the new record satisfies. A machine that
   * is not retiring is called after the commit.
   */
  #onRecordUpdated(id: MachineId, record: MachineRecord, round: ShardRound): void {
    const { tokenRaise, departure } = this.state.machineState(id);
    tokenRaise.clear();
    if (record.phase === "up") round.machinesToCall.add(id);
    else departure.step({ kind: "transfer_ended" });
  }
}
