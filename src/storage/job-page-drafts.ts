/**
 * Chooses the job page that a job's progress is written to, and holds the pages that a transaction
 * under construction rewrites.
 *
 * A draft is the new content of a page. A job's progress stays in its current page while it fits
 * there; otherwise the job moves to another page of its shard. The limits of the transaction are
 * enforced by `TransactionBatch`, which owns the drafts, and not in this module.
 */
import { type JobId, KEY_ABSENT, type Revision, type ShardId } from "@umberfold/ids";
import type { JobProgress } from "./job-records.js";
import { keys } from "./keys.js";
import { progressBytes } from "./pages.js";
import type { Replica } from "./replica.js";

/** Encoded size allowed for the parts of a page other than its rows. */
export const PAGE_OVERHEAD_BYTES = 64;

/** The new content of a job page. */
export interface JobPageDraft {
  readonly key: string;
  readonly shard: ShardId;
  /** The revision of the page that the draft was copied from; the write is conditional on it. */
  readonly rev: Revision;
  readonly entries: Map<JobId, JobProgress>;
  /** Upper bound of the encoded size; `putProgress` keeps it up to date. */
  bytes: number;
}

/** A draft, and whether it still has to be added to the transaction. */
export interface OpenedDraft {
  readonly draft: JobPageDraft;
  readonly isNew: boolean;
}

/**
 * Sets a job's progress in a draft; null removes the job. Returns the growth of the draft in bytes,
 * which is negative if it shrinks.
 */
export const putProgress = (
  draft: JobPageDraft,
  id: JobId,
  progress: JobProgress | null,
): number => {
  const growthBytes = progressGrowthBytes(draft, id, progress);
  draft.bytes += growthBytes;
  if (progress === null) draft.entries.delete(id);
  else draft.entries.set(id, progress);
  return growthBytes;
};

/** By how many bytes `putProgress` would make a draft grow. */
export const progressGrowthBytes = (
  draft: JobPageDraft,
  id: JobId,
  progress: JobProgress | null,
): number => {
  const before = draft.entries.get(id);
  return (
    (progress === null ? 0 : progressBytes(progress)) -
    (before === undefined ? 0 : progressBytes(before))
  );
};

/** The job pages that one transaction rewrites. */
export class JobPageDrafts {
  readonly #drafts = new Map<string, JobPageDraft>();
  /** The new page of each job that this transaction moves to another page. */
  readonly #newPageKeyOf = new Map<JobId, string>();

  /** `maxPageBytes` is the maximum encoded size of one page. */
  constructor(
    private readonly replica: Replica,
    private readonly maxPageBytes: number,
  ) {}

  /** The drafts of the transaction, in the order in which they were added. */
  values(): Iterable<JobPageDraft> {
    return this.#drafts.values();
  }

  /**
   * The key of the page that holds a job's progress, with the moves of this transaction applied;
   * undefined if no page holds it.
   */
  pageKeyOf(shard: ShardId, id: JobId): string | undefined {
    return this.#newPageKeyOf.get(id) ?? this.replica.shardJobs(shard).pageKeyOf(id);
  }

  /**
   * Returns the draft of a page, or a new copy of the page if the transaction has no draft of it.
   * A new draft isn't part of the transaction until `add` is called with it.
   */
  openDraft(shard: ShardId, key: string): OpenedDraft {
    const draft = this.#drafts.get(key);
    return draft === undefined
      ? { draft: this.#fromReplica(shard, key), isNew: true }
      : { draft, isNew: false };
  }

  /** Adds a draft to the transaction. Returns false if it has been added before. */
  add(draft: JobPageDraft): boolean {
    if (this.#drafts.has(draft.key)) return false;
    this.#drafts.set(draft.key, draft);
    return true;
  }

  /** Whether a draft of this size is within the maximum size of a page. */
  fitsInPage(bytes: number): boolean {
    return bytes <= this.maxPageBytes;
  }

  /** Records that this transaction moves a job to another page. */
  recordMove(id: JobId, key: string): void {
    this.#newPageKeyOf.set(id, key);
  }

  /**
   * Returns the key of a page of the shard to which this many bytes can be added: preferably a page
   * that the transaction already rewrites, else the first existing page with enough free capacity,
   * else a new page. Never returns `excludedKey`.
   */
  pageKeyWithCapacity(shard: ShardId, bytes: number, excludedKey: string | undefined): string {
    for (const [key, draft] of this.#drafts)
      if (draft.shard === shard && key !== excludedKey && this.fitsInPage(draft.bytes + bytes))
        return key;
    const { pages } = this.replica.shardJobs(shard);
    for (let page = 0; ; page++) {
      const key = keys.work(shard, page);
      if (key === excludedKey || this.#drafts.has(key)) continue;
      if (!pages.has(key)) return key;
      if (this.fitsInPage(this.#fromReplica(shard, key).bytes + bytes)) return key;
    }
  }

  #fromReplica(shard: ShardId, key: string): JobPageDraft {
    const page = this.replica.shardJobs(shard).pages.get(key);
    const entries = new Map(page?.entries ?? []);
    let bytes = PAGE_OVERHEAD_BYTES;
    for (const progress of entries.values()) bytes += progressBytes(progress);
    return { key, shard, rev: page?.rev ?? KEY_ABSENT, entries, bytes };
  }
}
