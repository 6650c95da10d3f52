/**
 * Page selection: which job page a job's progress is written to, and the pages that a transaction
 * in the making rewrites.
 *
 * A draft is a page as it is to be written. Progress stays in the page that it is in while that has
 * room; otherwise the job moves to another page of its shard. What a transaction may hold is judged
 * by `TransactionBatch`, which owns the drafts: nothing here refuses anything.
 */
import { type JobId, KEY_ABSENT, type Revision, type ShardId } from "@umberfold/ids";
import type { JobProgress } from "./job-records.js";
import { keys } from "./keys.js";
import { progressBytes } from "./pages.js";
import type { Replica } from "./replica.js";

/** What a page takes beside its rows. */
export const PAGE_BASE_BYTES = 64;

/** A page as it is to be written. */
export interface JobPageDraft {
  readonly key: string;
  readonly shard: ShardId;
  /** The revision of the page that it was made from, on which its write is conditional. */
  readonly rev: Revision;
  readonly entries: Map<JobId, JobProgress>;
  /** An upper bound of what it takes, kept up to date by `putProgress`. */
  bytes: number;
}

/** A draft, and whether it is yet to be added to the transaction. */
export interface OpenedDraft {
  readonly draft: JobPageDraft;
  readonly isNew: boolean;
}

/** Writes a job's progress into a draft, or with null takes it out; answers the growth in bytes. */
export const putProgress = (
  draft: JobPageDraft,
  id: JobId,
  progress: JobProgress | null,
): number => {
  const growth = progressGrowth(draft, id, progress);
  draft.bytes += growth;
  if (progress === null) draft.entries.delete(id);
  else draft.entries.set(id, progress);
  return growth;
};

/** By how many bytes a draft would grow. */
export const progressGrowth = (
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
  /** The page of each job that this transaction moves to another. */
  readonly #movedTo = new Map<JobId, string>();

  /** `maxPageBytes` is what one page may take. */
  constructor(
    private readonly replica: Replica,
    private readonly maxPageBytes: number,
  ) {}

  /** The drafts in the order in which they were added. */
  values(): Iterable<JobPageDraft> {
    return this.#drafts.values();
  }

  /** The key of the page that a job's progress is in, or is to be in; undefined for none. */
  pageOf(shard: ShardId, id: JobId): string | undefined {
    return this.#movedTo.get(id) ?? this.replica.shardJobs(shard).pageKeyOf(id);
  }

  /** The draft of a page. A new one is no part of the transaction until it is added. */
  open(shard: ShardId, key: string): OpenedDraft {
    const draft = this.#drafts.get(key);
    return draft === undefined
      ? { draft: this.#fromReplica(shard, key), isNew: true }
      : { draft, isNew: false };
  }

  /** Adds a draft to the transaction; false if it is part of it already. */
  add(draft: JobPageDraft): boolean {
    if (this.#drafts.has(draft.key)) return false;
    this.#drafts.set(draft.key, draft);
    return true;
  }

  /** Whether a draft of this size would still be a page. */
  isWithinPage(bytes: number): boolean {
    return bytes <= this.maxPageBytes;
  }

  /** Remembers that a job is in another page from now on. */
  moved(id: JobId, key: string): void {
    this.#movedTo.set(id, key);
  }

  /**
   * The key of a page of the shard with room for so many bytes: one that is written anyway, else
   * the first that has room, else a new one; never `except`.
   */
  pageWithRoom(shard: ShardId, bytes: number, except: string | undefined): string {
    for (const [key, draft] of this.#drafts)
      if (draft.shard === shard && key !== except && this.isWithinPage(draft.bytes + bytes))
        return key;
    const { pages } = this.replica.shardJobs(shard);
    for (let page = 0; ; page++) {
      const key = keys.work(shard, page);
      if (key === except || this.#drafts.has(key)) continue;
      if (!pages.has(key)) return key;
      if (this.isWithinPage(this.#fromReplica(shard, key).bytes + bytes)) return key;
    }
  }

  #fromReplica(shard: ShardId, key: string): JobPageDraft {
    const page = this.replica.shardJobs(shard).pages.get(key);
    const entries = new Map(page?.entries ?? []);
    let bytes = PAGE_BASE_BYTES;
    for (const progress of entries.values()) bytes += progressBytes(progress);
    return { key, shard, rev: page?.rev ?? KEY_ABSENT, entries, bytes };
  }
}
