/**
 * The live jobs of one shard with their progress, and the attempts that are open on each machine.
 *
 * Changes are only marked when they come; the views are brought up to date when somebody reads one
 * (`#refresh`). So a controller that neither owns the shard nor leads never parses its pages.
 *
 * What must hold after a refresh: a job is in at most one page's view (`#pageKeyOf`), and
 * `#openByMachine` has exactly the open attempts of all pages.
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

/** An attempt that the records say is open on a machine. */
export interface IndexedAttempt {
  readonly job: JobId;
  /** The task's number within its job. */
  readonly index: number;
  readonly attempt: AttemptNumber;
  /** See `attemptKey`: computed once, for each round looks at all that is open. */
  readonly key: string;
}

/** A job page as it was last read. */
export interface JobPage {
  readonly rev: Revision;
  readonly entries: ReadonlyMap<JobId, JobProgress>;
}

/** What is known of a page: `value` is its stored form until it is parsed into `entries`. */
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

/** The jobs of one shard; changed by the replica alone. */
export class ShardJobs {
  readonly #jobs = new Map<JobId, LiveJob>();
  readonly #index = new JobIndex();
  readonly #pages = new Map<string, PageState>();
  readonly #pageKeyOf = new Map<JobId, string>();
  readonly #openByMachine = new Map<MachineId, Map<TaskId, IndexedAttempt>>();
  readonly #openVersions = new Map<MachineId, number>();
  readonly #dirtyPages = new Set<string>();
  readonly #dirtyJobs = new Set<JobId>();

  /** `accepted` answers the record of a live job; undefined if there is none. */
  constructor(private readonly accepted: (id: JobId) => AcceptedJob | undefined) {}

  /** Accepted jobs that are not over, by id. */
  get jobs(): ReadonlyMap<JobId, LiveJob> {
    this.#refresh();
    return this.#jobs;
  }

  /** Views of these jobs that are kept up to date with each change. */
  get index(): JobIndex {
    this.#refresh();
    return this.#index;
  }

  /** Job pages by key; a deleted page stays, without entries and with revision `KEY_ABSENT`. */
  get pages(): ReadonlyMap<string, JobPage> {
    this.#refresh();
    return this.#pages;
  }

  /** The key of the page that a job's progress is in; undefined for a job without progress. */
  pageKeyOf(id: JobId): string | undefined {
    this.#refresh();
    return this.#pageKeyOf.get(id);
  }

  /** The attempts that are open on a machine, by task. */
  openAttemptsOn(id: MachineId): ReadonlyMap<TaskId, IndexedAttempt> {
    this.#refresh();
    return this.#openByMachine.get(id) ?? NO_ATTEMPTS;
  }

  /** The same number as before means: the same is open on the machine, with the same resources. */
  openAttemptsVersionOn(id: MachineId): number {
    this.#refresh();
    return this.#openVersions.get(id) ?? 0;
  }

  /** A job's record was written or deleted, or its shard has changed. */
  jobChanged(id: JobId): void {
    this.#dirtyJobs.add(id);
  }

  /** A job page was written: `value` is its stored form. */
  pageChanged(key: string, value: unknown, rev: Revision): void {
    const page = this.#pages.get(key);
    if (page === undefined) this.#pages.set(key, { rev, value, entries: NO_ENTRIES });
    else {
      page.rev = rev;
      page.value = value;
    }
    this.#dirtyPages.add(key);
  }

  /** Brings all views up to date with the changes marked since the last time. */
  #refresh(): void {
    if (this.#dirtyPages.size > 0) this.#parsePages();
    if (this.#dirtyJobs.size === 0) return;
    for (const id of this.#dirtyJobs) {
      const accepted = this.accepted(id);
      const before = this.#jobs.get(id);
      const after = accepted === undefined ? undefined : { ...accepted, ...this.#progressOf(id) };
      if (after === undefined) this.#jobs.delete(id);
      else this.#jobs.set(id, after);
      this.#index.replace(id, before, after);
      // The resources of its open attempts are known, or not known, from now on.
      if ((before === undefined) !== (after === undefined))
        for (const { machine } of (after ?? before)?.open ?? []) this.#openChangedOn(machine);
    }
    this.#dirtyJobs.clear();
  }

  /** All leave the index before any enters it: a job may have moved from one page to another. */
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

  /** Takes what a page no longer says out of the index, and adds what is new to `toIndex`. */
  #parsePage(key: string, page: PageState, toIndex: (readonly [JobId, JobProgress])[]): void {
    // An unreadable page leaves what was last known of its jobs.
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

  #openChangedOn(id: MachineId): void {
    this.#openVersions.set(id, (this.#openVersions.get(id) ?? 0) + 1);
  }

  #unindexAttempts(id: JobId, progress: JobProgress): void {
    for (const { index, attempt, machine } of progress.open) {
      const openHere = this.#openByMachine.get(machine);
      const task = taskId(id, index);
      // A job that changed its page may be indexed from the new one already.
      if (openHere?.get(task)?.attempt !== attempt) continue;
      openHere.delete(task);
      this.#openChangedOn(machine);
      if (openHere.size === 0) this.#openByMachine.delete(machine);
    }
  }

  #indexAttempts(id: JobId, progress: JobProgress): void {
    for (const { index, attempt, machine } of progress.open) {
      let openHere = this.#openByMachine.get(machine);
      if (openHere === undefined) {
        openHere = new Map();
        this.#openByMachine.set(machine, openHere);
      }
      const task = taskId(id, index);
      openHere.set(task, { job: id, index, attempt, key: attemptKey(task, attempt) });
      this.#openChangedOn(machine);
    }
  }
}
