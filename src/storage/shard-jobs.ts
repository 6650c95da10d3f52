/**
 * The live jobs of one shard with their progress, and the open attempts on each machine.
 *
 * Updates are lazy: a change only marks its job or page as dirty, and the next read of a view
 * processes all dirty ones (`#refresh`). So a controller that is neither owner of the shard nor
 * leader never parses the shard's pages.
 *
 * Invariants after a refresh: `#pageKeyOf` maps each job to at most one page, and
 * `#attemptsByMachine` holds exactly the open attempts of all pages.
 */
import {
  type AttemptNumber,
  attemptKey,
  type JobId,
  type MachineId,
  type Revision,
  type TaskId,
  taskId,
} from "@umberfold/ids";
import { JobIndex } from "./job-index.js";
import { type AcceptedJob, type JobProgress, type LiveJob, NO_PROGRESS } from "./job-records.js";
import { parseJobPage } from "./pages.js";

/** An attempt that is open on a machine according to the records. */
export interface IndexedAttempt {
  readonly job: JobId;
  /** The task's number within its job. */
  readonly index: number;
  readonly attempt: AttemptNumber;
  /** The result of `attemptKey`, stored because each round reads the keys of all open attempts. */
  readonly key: string;
}

/** A job page: its revision and the progress of the jobs in it. */
export interface JobPage {
  readonly rev: Revision;
  readonly entries: ReadonlyMap<JobId, JobProgress>;
}

/** A page with its latest stored form in `value`, until `#parsePage` parses it into `entries`. */
interface PageState {
  rev: Revision;
  value: unknown;
  entries: ReadonlyMap<JobId, JobProgress>;
}

const NO_ENTRIES: ReadonlyMap<JobId, JobProgress> = new Map();
const NO_ATTEMPTS: ReadonlyMap<TaskId, IndexedAttempt> = new Map();

const sameOpenAttempts = (a: JobProgress, b: JobProgress): boolean => {
  if (a.open.length !== b.open.length) return false;
  for (let i = 0; i < a.open.length; i++) {
    const left = a.open[i];
    const right = b.open[i];
    if (left?.index !== right?.index || left?.attempt !== right?.attempt) return false;
    if (left?.machine !== right?.machine) return false;
  }
  return true;
};

/** The jobs of one shard. Only the replica changes them. */
export class ShardJobs {
  readonly #jobs = new Map<JobId, LiveJob>();
  readonly #index = new JobIndex();
  readonly #pages = new Map<string, PageState>();
  readonly #pageKeyOf = new Map<JobId, string>();
  readonly #attemptsByMachine = new Map<MachineId, Map<TaskId, IndexedAttempt>>();
  readonly #attemptsVersions = new Map<MachineId, number>();
  readonly #dirtyPages = new Set<string>();
  readonly #dirtyJobs = new Set<JobId>();

  /** `acceptedJob` returns the record of a live job; undefined if there is none. */
  constructor(private readonly acceptedJob: (id: JobId) => AcceptedJob | undefined) {}

  /** The live jobs (accepted, not finished), by id. */
  get jobs(): ReadonlyMap<JobId, LiveJob> {
    this.#refresh();
    return this.#jobs;
  }

  /** Indexes over these jobs, for scheduling rounds. */
  get index(): JobIndex {
    this.#refresh();
    return this.#index;
  }

  /** Job pages by key. A deleted page stays, without entries and with revision `KEY_ABSENT`. */
  get pages(): ReadonlyMap<string, JobPage> {
    this.#refresh();
    return this.#pages;
  }

  /** The key of the page that holds a job's progress; undefined for a job without progress. */
  pageKeyOf(id: JobId): string | undefined {
    this.#refresh();
    return this.#pageKeyOf.get(id);
  }

  /** The open attempts on a machine, by task. */
  openAttemptsOn(id: MachineId): ReadonlyMap<TaskId, IndexedAttempt> {
    this.#refresh();
    return this.#attemptsByMachine.get(id) ?? NO_ATTEMPTS;
  }

  /**
   * A version that rises with each change of the machine's open attempts or of their resources. As
   * long as it is unchanged, results computed from them remain valid.
   */
  openAttemptsVersionOn(id: MachineId): number {
    this.#refresh();
    return this.#attemptsVersions.get(id) ?? 0;
  }

  /** Marks a job as dirty: its record was written or deleted, or its shard has changed. */
  jobChanged(id: JobId): void {
    this.#dirtyJobs.add(id);
  }

  /** Marks a job page as dirty: it was written with the stored form `value`. */
  pageChanged(key: string, value: unknown, rev: Revision): void {
    const page = this.#pages.get(key);
    if (page === undefined) this.#pages.set(key, { rev, value, entries: NO_ENTRIES });
    else {
      page.rev = rev;
      page.value = value;
    }
    this.#dirtyPages.add(key);
  }

  /** Processes all dirty pages and jobs. */
  #refresh(): void {
    if (this.#dirtyPages.size > 0) this.#parsePages();
    if (this.#dirtyJobs.size === 0) return;
    for (const id of this.#dirtyJobs) {
      const accepted = this.acceptedJob(id);
      const before = this.#jobs.get(id);
      const after = accepted === undefined ? undefined : { ...accepted, ...this.#progressOf(id) };
      if (after === undefined) this.#jobs.delete(id);
      else this.#jobs.set(id, after);
      this.#index.replace(id, before, after);
      // With the job's record, the resources of its open attempts become known or unknown.
      if ((before === undefined) !== (after === undefined))
        for (const { machine } of (after ?? before)?.open ?? []) this.#attemptsChangedOn(machine);
    }
    this.#dirtyJobs.clear();
  }

  /**
   * Parses the dirty pages and updates the indexes. All outdated entries are removed before any new
   * one is added, because a job may have moved from one page to another.
   */
  #parsePages(): void {
    const toIndex: (readonly [JobId, JobProgress])[] = [];
    for (const key of this.#dirtyPages) {
      const page = this.#pages.get(key);
      if (page !== undefined) this.#parsePage(key, page, toIndex);
    }
    for (const key of this.#dirtyPages)
      for (const id of this.#pages.get(key)?.entries.keys() ?? []) this.#pageKeyOf.set(id, key);
    for (const [id, progress] of toIndex) this.#indexAttempts(id, progress);
    this.#dirtyPages.clear();
  }

  /**
   * Parses one page, removes outdated attempts from the index, and adds those to be indexed to
   * `toIndex`.
   */
  #parsePage(key: string, page: PageState, toIndex: (readonly [JobId, JobProgress])[]): void {
    // The jobs of an unreadable page keep their last known progress.
    const next = parseJobPage(page.value) ?? page.entries;
    for (const [id, before] of page.entries) {
      const after = next.get(id);
      if (after !== undefined && sameOpenAttempts(before, after)) continue;
      this.#unindexAttempts(id, before);
      if (after === undefined && this.#pageKeyOf.get(id) === key) this.#pageKeyOf.delete(id);
      this.#dirtyJobs.add(id);
    }
    for (const [id, after] of next) {
      const before = page.entries.get(id);
      if (before === undefined || !sameOpenAttempts(before, after)) toIndex.push([id, after]);
      this.#dirtyJobs.add(id);
    }
    page.entries = next;
    page.value = undefined;
  }

  #progressOf(id: JobId): JobProgress {
    const key = this.#pageKeyOf.get(id);
    return (key === undefined ? undefined : this.#pages.get(key)?.entries.get(id)) ?? NO_PROGRESS;
  }

  #attemptsChangedOn(id: MachineId): void {
    this.#attemptsVersions.set(id, (this.#attemptsVersions.get(id) ?? 0) + 1);
  }

  #unindexAttempts(id: JobId, progress: JobProgress): void {
    for (const { index, attempt, machine } of progress.open) {
      const attempts = this.#attemptsByMachine.get(machine);
      const task = taskId(id, index);
      // The task may be indexed already with another attempt, from the page its job moved to.
      if (attempts?.get(task)?.attempt !== attempt) continue;
      attempts.delete(task);
      this.#attemptsChangedOn(machine);
      if (attempts.size === 0) this.#attemptsByMachine.delete(machine);
    }
  }

  #indexAttempts(id: JobId, progress: JobProgress): void {
    for (const { index, attempt, machine } of progress.open) {
      let attempts = this.#attemptsByMachine.get(machine);
      if (attempts === undefined) {
        attempts = new Map();
        this.#attemptsByMachine.set(machine, attempts);
      }
      const task = taskId(id, index);
      attempts.set(task, { job: id, index, attempt, key: attemptKey(task, attempt) });
      this.#attemptsChangedOn(machine);
    }
  }
}
