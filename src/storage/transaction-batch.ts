import {
  type JobId,
  KEY_ABSENT,
  type MachineId,
  type Revision,
  type ShardId,
} from "@umberfold/ids";
import {
  CONDITIONS_PER_OP,
  type Condition,
  type Transaction,
  type WriteOperation,
} from "../protocol/store.js";
import { encodeJobPage, encodeMachinePage, MACHINE_BYTES, progressBytes } from "./pages.js";
import {
  encodeFinalJob,
  type FinalJob,
  type JobProgress,
  keys,
  type MachineRecord,
} from "./records.js";
import type { Replica } from "./replica.js";

/** Bytes of a transaction that are left for keys, versions and names. */
const TXN_BYTES = 58 * 1024;
const VALUE_MARGIN = 512;
const PAGE_BYTES = 64;
const FINAL_BYTES = 160;
/** A page takes at most this part of a transaction, so that several go into one. */
const PAGES_PER_TXN = 4;

interface WorkPage {
  readonly shard: ShardId;
  readonly rev: Revision;
  readonly entries: Map<JobId, JobProgress>;
  bytes: number;
}

interface FleetEdit {
  readonly rev: Revision;
  readonly machines: Map<MachineId, MachineRecord>;
}

export interface BatchLimits {
  readonly txnOps: number;
  readonly valueKb: number;
  readonly shardCount: number;
}

/** The most that one page may take. */
export const maxPageBytes = (l: BatchLimits): number =>
  Math.min(l.valueKb * 1024 - VALUE_MARGIN, Math.floor(TXN_BYTES / PAGES_PER_TXN));

/**
 * One transaction in the making. What several tasks change in one page is one change; whatever no
 * longer fits is refused and waits for the next round.
 */
export class TransactionBatch {
  readonly #work = new Map<string, WorkPage>();
  readonly #homes = new Map<JobId, string>();
  readonly #fleet = new Map<string, FleetEdit>();
  readonly #finals = new Map<JobId, FinalJob>();
  readonly #conditions = new Map<string, Revision>();
  #bytes = 0;
  #ops = 0;
  /** Something in it is waited for: a start, a job's end, a machine's record. */
  urgent = false;

  constructor(
    private readonly replica: Replica,
    private readonly limits: BatchLimits,
  ) {}

  get empty(): boolean {
    return this.#ops === 0;
  }

  get ops(): number {
    return this.#ops;
  }

  /** The most changes that a transaction takes. */
  get maxOps(): number {
    return this.limits.txnOps;
  }

  #admits(ops: number, bytes: number, conditions: number): boolean {
    const { txnOps, shardCount } = this.limits;
    return (
      this.#ops + ops <= txnOps &&
      this.#bytes + bytes <= TXN_BYTES &&
      this.#conditions.size + conditions + shardCount <= txnOps * CONDITIONS_PER_OP
    );
  }

  #require(key: string, rev: Revision): void {
    this.#conditions.set(key, rev);
  }

  /** The shard must still be held when this is applied. */
  #guard(shard: ShardId): void {
    this.#require(keys.shard(shard), this.replica.revisionOf(keys.shard(shard)));
  }

  #untouched(shard: ShardId, key: string): WorkPage {
    const page = this.replica.shardJobs(shard).pages.get(key);
    const entries = new Map(page?.entries ?? []);
    let bytes = PAGE_BYTES;
    for (const p of entries.values()) bytes += progressBytes(p);
    return { shard, rev: page?.rev ?? KEY_ABSENT, entries, bytes };
  }

  #page(shard: ShardId, key: string): { readonly page: WorkPage; readonly fresh: boolean } {
    const page = this.#work.get(key);
    return page === undefined
      ? { page: this.#untouched(shard, key), fresh: true }
      : { page, fresh: false };
  }

  #touch(key: string, page: WorkPage): void {
    if (this.#work.has(key)) return;
    this.#work.set(key, page);
    this.#ops++;
    this.#bytes += page.bytes;
    this.#require(key, page.rev);
    this.#guard(page.shard);
  }

  #set(page: WorkPage, id: JobId, p: JobProgress | null): void {
    const old = page.entries.get(id);
    const change =
      (p === null ? 0 : progressBytes(p)) - (old === undefined ? 0 : progressBytes(old));
    page.bytes += change;
    this.#bytes += change;
    if (p === null) page.entries.delete(id);
    else page.entries.set(id, p);
  }

  /** A page of the shard with room: one that is written anyway, else the first, else a new one. */
  #roomy(shard: ShardId, bytes: number, not: string | undefined): string {
    const limit = maxPageBytes(this.limits);
    for (const [key, page] of this.#work)
      if (page.shard === shard && key !== not && page.bytes + bytes <= limit) return key;
    const { pages } = this.replica.shardJobs(shard);
    for (let n = 0; ; n++) {
      const key = keys.work(shard, n);
      if (key === not || this.#work.has(key)) continue;
      if (!pages.has(key) || this.#untouched(shard, key).bytes + bytes <= limit) return key;
    }
  }

  /** Writes a job's progress, or with null takes it out. False if it has to wait. */
  putJob(shard: ShardId, id: JobId, p: JobProgress | null): boolean {
    const bytes = p === null ? 0 : progressBytes(p);
    const at = this.#homes.get(id) ?? this.replica.shardJobs(shard).pageOf(id);
    if (at === undefined && p === null) return true;
    const home = at === undefined ? undefined : this.#page(shard, at);
    if (at !== undefined && home !== undefined) {
      const old = home.page.entries.get(id);
      const after = home.page.bytes + bytes - (old === undefined ? 0 : progressBytes(old));
      if (after <= maxPageBytes(this.limits) || p === null) {
        const more = home.fresh ? after : after - home.page.bytes;
        if (!this.#admits(home.fresh ? 1 : 0, more, 2)) return false;
        this.#touch(at, home.page);
        this.#set(home.page, id, p);
        return true;
      }
    }
    const to = this.#roomy(shard, bytes, at);
    const next = this.#page(shard, to);
    const ops = (next.fresh ? 1 : 0) + (home?.fresh === true ? 1 : 0);
    const more =
      bytes + (next.fresh ? next.page.bytes : 0) + (home?.fresh === true ? home.page.bytes : 0);
    if (!this.#admits(ops, more, 3)) return false;
    if (at !== undefined && home !== undefined) {
      this.#touch(at, home.page);
      this.#set(home.page, id, null);
    }
    this.#touch(to, next.page);
    this.#set(next.page, id, p);
    this.#homes.set(id, to);
    return true;
  }

  /** A start stands only while its job is as it was read: not cancelled meanwhile. */
  requireJob(id: JobId, rev: Revision): boolean {
    const key = keys.live(id);
    this.urgent = true;
    if (this.#conditions.has(key)) return true;
    if (!this.#admits(0, 0, 1)) return false;
    this.#require(key, rev);
    return true;
  }

  /** Ends a job: its final record is written once, in the same transaction that drops the rest. */
  finishJob(shard: ShardId, id: JobId, rev: Revision, final: FinalJob): boolean {
    if (!this.#admits(3, FINAL_BYTES, 4)) return false;
    if (!this.putJob(shard, id, null)) return false;
    this.urgent = true;
    this.#finals.set(id, final);
    this.#ops += 2;
    this.#bytes += FINAL_BYTES;
    this.#require(keys.live(id), rev);
    this.#require(keys.final(id), KEY_ABSENT);
    this.#guard(shard);
    return true;
  }

  /** The machines of a page as they are to be written, or undefined if there is no room. */
  editMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    this.urgent = true;
    const known = this.#fleet.get(key);
    if (known !== undefined) return known.machines;
    const page = this.replica.machinePages.get(key);
    if (page === undefined) return undefined;
    const bytes = PAGE_BYTES + page.machines.size * MACHINE_BYTES;
    if (!this.#admits(1, bytes, 2)) return undefined;
    const machines = new Map(page.machines);
    this.#fleet.set(key, { rev: page.rev, machines });
    this.#ops++;
    this.#bytes += bytes;
    this.#require(key, page.rev);
    this.#guard(page.shard);
    return machines;
  }

  /** A new page, which must not exist yet. */
  newMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    const known = this.#fleet.get(key);
    if (known !== undefined) return known.machines;
    if (!this.#admits(1, PAGE_BYTES + MACHINE_BYTES, 1)) return undefined;
    const machines = new Map<MachineId, MachineRecord>();
    this.#fleet.set(key, { rev: KEY_ABSENT, machines });
    this.#ops++;
    this.#bytes += PAGE_BYTES + MACHINE_BYTES;
    this.#require(key, KEY_ABSENT);
    return machines;
  }

  transaction(): Transaction {
    const ops: WriteOperation[] = [];
    for (const [key, page] of this.#work)
      ops.push({ kind: "put", key, value: encodeJobPage(page.entries) });
    for (const [id, final] of this.#finals) {
      ops.push({ kind: "delete", key: keys.live(id) });
      ops.push({ kind: "put", key: keys.final(id), value: encodeFinalJob(final) });
    }
    for (const [key, edit] of this.#fleet)
      ops.push(
        edit.machines.size === 0
          ? { kind: "delete", key }
          : { kind: "put", key, value: encodeMachinePage(edit.machines) },
      );
    const conditions: Condition[] = [...this.#conditions].map(([key, rev]) => ({ key, rev }));
    return { conditions, ops };
  }
}
