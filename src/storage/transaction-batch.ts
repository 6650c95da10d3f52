/**
 * Builds the transaction by which a shard owner commits a round.
 *
 * All changes to the same page are one change of the transaction. The batch stays within the limits
 * of the state store (changes, conditions, bytes): an addition that would exceed one of them is
 * rejected without effect, and the caller retries it in the next round. Each page and job is
 * written on the condition that its revision is still the one in the replica, and that its shard
 * still has the same owner. `job-page-drafts.ts` chooses the page for a job's progress.
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
  PAGE_OVERHEAD_BYTES,
  progressGrowthBytes,
  putProgress,
} from "./job-page-drafts.js";
import { encodeFinalJob, type FinalJob, type JobProgress } from "./job-records.js";
import { keys } from "./keys.js";
import type { MachineRecord } from "./machine-records.js";
import { encodeJobPage, encodeMachinePage, MAX_MACHINE_ROW_BYTES, progressBytes } from "./pages.js";
import type { Replica } from "./replica.js";

/** Maximum size of the values; the rest of the store's limit is for keys, revisions and names. */
const MAX_TRANSACTION_BYTES = 58 * 1024;
/** Safety margin between the maximum size of a page and the store's limit of one value. */
const VALUE_MARGIN_BYTES = 512;
/** Upper bound of the encoded size of a final record. */
const MAX_FINAL_RECORD_BYTES = 160;
/** The size of a page is limited so that at least this many pages fit into one transaction. */
const MIN_PAGES_PER_TRANSACTION = 4;

interface MachinePageDraft {
  readonly rev: Revision;
  readonly machines: Map<MachineId, MachineRecord>;
}

/** The limits of one transaction. */
export interface BatchLimits {
  /** Maximum number of changes in a transaction. */
  readonly txnOps: number;
  /** Maximum size of one value in KiB. */
  readonly valueKb: number;
  /** Number of shards; one condition is reserved for the owner of each. */
  readonly shardCount: number;
}

/** The maximum encoded size of one page. */
export const maxPageBytes = (limits: BatchLimits): number =>
  Math.min(
    limits.valueKb * 1024 - VALUE_MARGIN_BYTES,
    Math.floor(MAX_TRANSACTION_BYTES / MIN_PAGES_PER_TRANSACTION),
  );

/** A transaction under construction, kept within the limits of the state store. */
export class TransactionBatch {
  readonly #jobPages: JobPageDrafts;
  readonly #machinePages = new Map<string, MachinePageDraft>();
  readonly #finals = new Map<JobId, FinalJob>();
  readonly #conditions = new Map<string, Revision>();
  #bytes = 0;
  #ops = 0;
  /** Whether it has a change that must not be delayed: a start, a job's end or a machine record. */
  isUrgent = false;

  constructor(
    private readonly replica: Replica,
    private readonly limits: BatchLimits,
  ) {
    this.#jobPages = new JobPageDrafts(replica, maxPageBytes(limits));
  }

  /** Whether it has no changes. */
  get isEmpty(): boolean {
    return this.#ops === 0;
  }

  /** The number of its changes. */
  get opCount(): number {
    return this.#ops;
  }

  /** The maximum number of changes in a transaction. */
  get maxOpCount(): number {
    return this.limits.txnOps;
  }

  /** Whether these additions stay within all limits of the transaction. */
  #hasCapacity(ops: number, bytes: number, conditions: number): boolean {
    const { txnOps, shardCount } = this.limits;
    return (
      this.#ops + ops <= txnOps &&
      this.#bytes + bytes <= MAX_TRANSACTION_BYTES &&
      this.#conditions.size + conditions + shardCount <= txnOps * CONDITION_LIMIT_RATIO
    );
  }

  #addCondition(key: string, rev: Revision): void {
    this.#conditions.set(key, rev);
  }

  /** Adds the condition that the shard still has the owner known to the replica. */
  #addOwnerCondition(shard: ShardId): void {
    this.#addCondition(keys.shard(shard), this.replica.revisionOf(keys.shard(shard)));
  }

  /** Adds a job page to the transaction unless it has been added before. */
  #includeJobPage(draft: JobPageDraft): void {
    if (!this.#jobPages.add(draft)) return;
    this.#ops++;
    this.#bytes += draft.bytes;
    this.#addCondition(draft.key, draft.rev);
    this.#addOwnerCondition(draft.shard);
  }

  #putProgress(draft: JobPageDraft, id: JobId, progress: JobProgress | null): void {
    this.#includeJobPage(draft);
    this.#bytes += putProgress(draft, id, progress);
  }

  /** Writes a job's progress; null removes it. Returns false if it exceeds the limits. */
  putJob(shard: ShardId, id: JobId, progress: JobProgress | null): boolean {
    const key = this.#jobPages.pageKeyOf(shard, id);
    if (key === undefined)
      return progress === null || this.#putInAnotherPage(shard, id, progress, undefined);
    const current = this.#jobPages.openDraft(shard, key);
    const growthBytes = progressGrowthBytes(current.draft, id, progress);
    if (progress !== null && !this.#jobPages.fitsInPage(current.draft.bytes + growthBytes))
      return this.#putInAnotherPage(shard, id, progress, current);
    const bytes = bytesToInclude(current) + growthBytes;
    if (!this.#hasCapacity(opCountToInclude(current), bytes, 2)) return false;
    this.#putProgress(current.draft, id, progress);
    return true;
  }

  /** Moves a job's progress from its current page, if any, to a page with enough free capacity. */
  #putInAnotherPage(
    shard: ShardId,
    id: JobId,
    progress: JobProgress,
    current: OpenedDraft | undefined,
  ): boolean {
    const progressSizeBytes = progressBytes(progress);
    const key = this.#jobPages.pageKeyWithCapacity(shard, progressSizeBytes, current?.draft.key);
    const next = this.#jobPages.openDraft(shard, key);
    const ops = opCountToInclude(next) + opCountToInclude(current);
    const bytes = progressSizeBytes + bytesToInclude(next) + bytesToInclude(current);
    if (!this.#hasCapacity(ops, bytes, 3)) return false;
    if (current !== undefined) this.#putProgress(current.draft, id, null);
    this.#putProgress(next.draft, id, progress);
    this.#jobPages.recordMove(id, key);
    return true;
  }

  /**
   * Adds the condition that a job's record still has the revision `rev`, so that no task of a job
   * that was cancelled meanwhile is started. Returns false if it exceeds the limits.
   */
  requireUnchangedJob(id: JobId, rev: Revision): boolean {
    const key = keys.live(id);
    this.isUrgent = true;
    if (this.#conditions.has(key)) return true;
    if (!this.#hasCapacity(0, 0, 1)) return false;
    this.#addCondition(key, rev);
    return true;
  }

  /**
   * Ends a job: writes its final record, and deletes its accepted record and its progress in the
   * same transaction. Returns false if this exceeds the limits.
   */
  finishJob(shard: ShardId, id: JobId, rev: Revision, final: FinalJob): boolean {
    if (!this.#hasCapacity(3, MAX_FINAL_RECORD_BYTES, 4)) return false;
    if (!this.putJob(shard, id, null)) return false;
    this.isUrgent = true;
    this.#finals.set(id, final);
    this.#ops += 2;
    this.#bytes += MAX_FINAL_RECORD_BYTES;
    this.#addCondition(keys.live(id), rev);
    this.#addCondition(keys.final(id), KEY_ABSENT);
    this.#addOwnerCondition(shard);
    return true;
  }

  /**
   * Adds an existing machine page to the transaction and returns its machines, which the caller
   * modifies. Returns undefined if the page doesn't exist or exceeds the limits.
   */
  editMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    this.isUrgent = true;
    const draft = this.#machinePages.get(key);
    if (draft !== undefined) return draft.machines;
    const page = this.replica.machinePages.get(key);
    if (page === undefined) return undefined;
    const bytes = PAGE_OVERHEAD_BYTES + page.machines.size * MAX_MACHINE_ROW_BYTES;
    if (!this.#hasCapacity(1, bytes, 2)) return undefined;
    const machines = new Map(page.machines);
    this.#includeMachinePage(key, { rev: page.rev, machines }, bytes);
    this.#addOwnerCondition(page.shard);
    return machines;
  }

  /**
   * Adds a new machine page to the transaction and returns its map of machines, which the caller
   * fills. The transaction fails if the page already exists. Returns undefined if it exceeds the
   * limits.
   */
  addMachinePage(key: string): Map<MachineId, MachineRecord> | undefined {
    const draft = this.#machinePages.get(key);
    if (draft !== undefined) return draft.machines;
    const bytes = PAGE_OVERHEAD_BYTES + MAX_MACHINE_ROW_BYTES;
    if (!this.#hasCapacity(1, bytes, 1)) return undefined;
    const machines = new Map<MachineId, MachineRecord>();
    this.#includeMachinePage(key, { rev: KEY_ABSENT, machines }, bytes);
    return machines;
  }

  #includeMachinePage(key: string, draft: MachinePageDraft, bytes: number): void {
    this.#machinePages.set(key, draft);
    this.#ops++;
    this.#bytes += bytes;
    this.#addCondition(key, draft.rev);
  }

  /** Returns the transaction built so far. Machine pages without machines are deleted. */
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

const opCountToInclude = (opened: OpenedDraft | undefined): number =>
  opened?.isNew === true ? 1 : 0;

const bytesToInclude = (opened: OpenedDraft | undefined): number =>
  opened?.isNew === true ? opened.draft.bytes : 0;
