/**
 * One transaction in the making, by which an owner commits a round (or the leader its machines).
 *
 * What several tasks change in one page is one change. The batch keeps within the limits of the
 * state store (changes, conditions, bytes): whatever no longer fits is refused, changes nothing and
 * waits for the next round. Each page and job is written on the condition that it is still as the
 * replica has it, and that its shard still has the same owner. Which page a job's progress goes to
 * is decided in `job-page-drafts.ts`.
 */
import {
  type JobId,
  KEY_ABSENT,
  type MachineId,
  type Revision,
  type ShardId,
} from "@umberfold/ids";
import {
  CONDITION_LIMIT_RATIO,
  type Condition,
  type Transaction,
  type WriteOperation,
} from "../protocol/store.js";
import {
  type JobPageDraft,
  JobPageDrafts,
  type OpenedDraft,
  PAGE_BASE_BYTES,
  progressGrowth,
  putProgress,
} from "./job-page-drafts.js";
import { encodeFinalJob, type FinalJob, type JobProgress } from "./job-records.js";
import { keys } from "./keys.js";
import type { MachineRecord } from "./machine-records.js";
import { encodeJobPage, encodeMachinePage, MACHINE_BYTES, progressBytes } from "./pages.js";
import type { Replica } from "./replica.js";

/** Bytes of a transaction; the rest of the store's limit is left for keys, revisions and names. */
const MAX_TRANSACTION_BYTES = 58 * 1024;
/** Bytes of the store's limit of one value that a page leaves free. */
const VALUE_MARGIN_BYTES = 512;
/** What a final record takes at the most. */
const FINAL_RECORD_BYTES = 160;
/** A page takes at most this part of a transaction, so that several go into one. */
const PAGES_PER_TRANSACTION = 4;

interface MachinePageDraft {
  readonly rev: Revision;
  readonly machines: Map<MachineId, MachineRecord>;
}

/** The limits of one transaction. */
export interface BatchLimits {
  /** Changes that a transaction takes. */
  readonly txnOps: number;
  /** What a value may take, in KiB. */
  readonly valueKb: number;
  /** A condition is left free for each shard. */
  readonly shardCount: number;
}

/** The most bytes that one page may take. */
export const maxPageBytes = (limits: BatchLimits): number =>
  Math.min(
    limits.valueKb * 1024 - VALUE_MARGIN_BYTES,
    Math.floor(MAX_TRANSACTION_BYTES / PAGES_PER_TRANSACTION),
  );

/** See the module's head. */
export class TransactionBatch {
  readonly #jobPages: JobPageDrafts;
  readonly #machinePages = new Map<string, MachinePageDraft>();
  readonly #finals = new Map<JobId, FinalJob>();
  readonly #conditions = new Map<string, Revision>();
  #bytes = 0;
  #ops = 0;
  /** Something in it is waited for: a start, a job's end, a machine's record. */
  urgent = false;

  constructor(
    private readonly replica: Replica,
    private readonly limits: BatchLimits,
  ) {
    this.#jobPages = new JobPageDrafts(replica, maxPageBytes(limits));
  }

  /** Whether it changes nothing. */
  get empty(): boolean {
    return this.#ops === 0;
  }

  /** How many changes it makes. */
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
      this.#bytes + bytes <= MAX_TRANSACTION_BYTES &&
      this.#conditions.size + conditions + shardCount <= txnOps * CONDITION_LIMIT_RATIO
    );
  }

  #require(key: string, rev: Revision): void {
    this.#conditions.set(key, rev);
  }

  /** The shard must still have the same owner when this is applied. */
  #requireOwner(shard: ShardId): void {
    this.#require(keys.shard(shard), this.replica.revisionOf(keys.shard(shard)));
  }

  /** Makes a page part of the transaction, if it isn't yet. */
  #include(draft: JobPageDraft): void {
    if (!this.#jobPages.add(draft)) return;
    this.#ops++;
    this.#bytes += draft.bytes;
    this.#require(draft.key, draft.rev);
    this.#requireOwner(draft.shard);
  }

  #putProgress(draft: JobPageDraft, id: JobId, progress: JobProgress | null): void {
    this.#include(draft);
    this.#bytes += putProgress(draft, id, progress);
  }

  /** Writes a job's progress, or with null takes it out. False if it has to wait. */
  putJob(shard: ShardId, id: JobId, progress: JobProgress | null): boolean {
    const key = this.#jobPages.pageOf(shard, id);
    if (key === undefined)
      return progress === null || this.#putInAnotherPage(shard, id, progress, undefined);
    const current = this.#jobPages.open(shard, key);
    const growth = progressGrowth(current.draft, id, progress);
    if (progress !== null && !this.#jobPages.isWithinPage(current.draft.bytes + growth))
      return this.#putInAnotherPage(shard, id, progress, current);
    const bytes = bytesToInclude(current) + growth;
    if (!this.#admits(opsToInclude(current), bytes, 2)) return false;
    this.#putProgress(current.draft, id, progress);
    return true;
  }

  /** Moves a job out of the page that it is in, if any, into one with room. */
  #putInAnotherPage(
    shard: ShardId,
    id: JobId,
    progress: JobProgress,
    current: OpenedDraft | undefined,
  ): boolean {
    const size = progressBytes(progress);
    const key = this.#jobPages.pageWithRoom(shard, size, current?.draft.key);
    const next = this.#jobPages.open(shard, key);
    const ops = opsToInclude(next) + opsToInclude(current);
    const bytes = size + bytesToInclude(next) + bytesToInclude(current);
    if (!this.#admits(ops, bytes, 3)) return false;
    if (current !== undefined) this.#putProgress(current.draft, id, null);
    this.#putProgress(next.draft, id, progress);
    this.#jobPages.moved(id, key);
    return true;
  }

  /** A start is valid only while its job's record is as it was read: not cancelled meanwhile. */
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
    if (!this.#admits(3, FINAL_RECORD_BYTES, 4)) return false;
    if (!this.putJob(shard, id, null)) return false;
    this.urgent = true;
    this.#finals.set(id, final);
    this.#ops += 2;
    this.#bytes += FINAL_RECORD_BYTES;
    this.#require(keys.live(id), rev);
    this.#require(keys.final(id), KEY_ABSENT);
    this.#requireOwner(shard);
    return true;
  }

  /**
   * The machines of a page, to be changed by the caller as they are to be written; undefined if
   * there is no room, or no such page.
   */
  editMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    this.urgent = true;
    const draft = this.#machinePages.get(key);
    if (draft !== undefined) return draft.machines;
    const page = this.replica.machinePages.get(key);
    if (page === undefined) return undefined;
    const bytes = PAGE_BASE_BYTES + page.machines.size * MACHINE_BYTES;
    if (!this.#admits(1, bytes, 2)) return undefined;
    const machines = new Map(page.machines);
    this.#includeMachinePage(key, { rev: page.rev, machines }, bytes);
    this.#requireOwner(page.shard);
    return machines;
  }

  /** The machines of a new page, which must not exist yet; undefined if there is no room. */
  newMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    const draft = this.#machinePages.get(key);
    if (draft !== undefined) return draft.machines;
    const bytes = PAGE_BASE_BYTES + MACHINE_BYTES;
    if (!this.#admits(1, bytes, 1)) return undefined;
    const machines = new Map<MachineId, MachineRecord>();
    this.#includeMachinePage(key, { rev: KEY_ABSENT, machines }, bytes);
    return machines;
  }

  #includeMachinePage(key: string, draft: MachinePageDraft, bytes: number): void {
    this.#machinePages.set(key, draft);
    this.#ops++;
    this.#bytes += bytes;
    this.#require(key, draft.rev);
  }

  /** The transaction as it is now. A machine page without machines is deleted. */
  transaction(): Transaction {
    const ops: WriteOperation[] = [];
    for (const { key, entries } of this.#jobPages.values())
      ops.push({ kind: "put", key, value: encodeJobPage(entries) });
    for (const [id, final] of this.#finals) {
      ops.push({ kind: "delete", key: keys.live(id) });
      ops.push({ kind: "put", key: keys.final(id), value: encodeFinalJob(final) });
    }
    for (const [key, { machines }] of this.#machinePages)
      ops.push(
        machines.size === 0
          ? { kind: "delete", key }
          : { kind: "put", key, value: encodeMachinePage(machines) },
      );
    const conditions: Condition[] = [...this.#conditions].map(([key, rev]) => ({ key, rev }));
    return { conditions, ops };
  }
}

const opsToInclude = (opened: OpenedDraft | undefined): number => (opened?.isNew === true ? 1 : 0);

const bytesToInclude = (opened: OpenedDraft | undefined): number =>
  opened?.isNew === true ? opened.draft.bytes : 0;
