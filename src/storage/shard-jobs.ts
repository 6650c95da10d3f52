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
import { parseJobPage } from "./pages.js";
import { type AcceptedJob, type JobProgress, type LiveJob, NO_PROGRESS } from "./records.js";

export interface IndexedAttempt {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: AttemptNumber;
  /** See `attemptKey`: worked out once, for each round looks at all that is open. */
  readonly key: string;
}

interface Page {
  rev: Revision;
  value: unknown;
  entries: ReadonlyMap<JobId, JobProgress>;
}

const NO_ENTRIES: ReadonlyMap<JobId, JobProgress> = new Map();
const NONE: ReadonlyMap<TaskId, IndexedAttempt> = new Map();

const sameOpen = (a: JobProgress, b: JobProgress): boolean => {
  if (a.open.length !== b.open.length) return false;
  for (let i = 0; i < a.open.length; i++) {
    const x = a.open[i];
    const y = b.open[i];
    if (x?.index !== y?.index || x?.attempt !== y?.attempt || x?.machine !== y?.machine)
      return false;
  }
  return true;
};

/**
 * The work of one shard: its jobs with their progress. Pages are read when somebody asks, not
 * when they change: a controller that neither holds the shard nor leads never reads them.
 */
export class ShardJobs {
  readonly #jobs = new Map<JobId, LiveJob>();
  readonly #index = new JobIndex();
  readonly #pages = new Map<string, Page>();
  readonly #pageOf = new Map<JobId, string>();
  readonly #openOn = new Map<MachineId, Map<TaskId, IndexedAttempt>>();
  /** Rises whenever something changes in what is open on a machine. */
  readonly #changesOn = new Map<MachineId, number>();
  readonly #dirtyPages = new Set<string>();
  readonly #dirtyJobs = new Set<JobId>();

  constructor(private readonly accepted: (id: JobId) => AcceptedJob | undefined) {}

  /** Accepted jobs that are not over, by id. */
  get jobs(): ReadonlyMap<JobId, LiveJob> {
    this.#settle();
    return this.#jobs;
  }

  /** Views of these jobs that are kept up to date with each change. */
  get index(): JobIndex {
    this.#settle();
    return this.#index;
  }

  get pages(): ReadonlyMap<
    string,
    { readonly rev: Revision; readonly entries: ReadonlyMap<JobId, JobProgress> }
  > {
    this.#settle();
    return this.#pages;
  }

  pageOf(id: JobId): string | undefined {
    this.#settle();
    return this.#pageOf.get(id);
  }

  openAttemptsOn(id: MachineId): ReadonlyMap<TaskId, IndexedAttempt> {
    this.#settle();
    return this.#openOn.get(id) ?? NONE;
  }

  /** The same number as before means that the same is open on the machine, with the same needs. */
  openVersionOn(id: MachineId): number {
    this.#settle();
    return this.#changesOn.get(id) ?? 0;
  }

  #bump(id: MachineId): void {
    this.#changesOn.set(id, (this.#changesOn.get(id) ?? 0) + 1);
  }

  jobChanged(id: JobId): void {
    this.#dirtyJobs.add(id);
  }

  pageChanged(key: string, value: unknown, rev: Revision): void {
    const p = this.#pages.get(key);
    if (p === undefined) this.#pages.set(key, { rev, value, entries: NO_ENTRIES });
    else {
      p.rev = rev;
      p.value = value;
    }
    this.#dirtyPages.add(key);
  }

  #settle(): void {
    if (this.#dirtyPages.size > 0) this.#readPages();
    if (this.#dirtyJobs.size === 0) return;
    for (const id of this.#dirtyJobs) {
      const accepted = this.accepted(id);
      const before = this.#jobs.get(id);
      const after = accepted === undefined ? undefined : { ...accepted, ...this.#progress(id) };
      if (after === undefined) this.#jobs.delete(id);
      else this.#jobs.set(id, after);
      this.#index.replace(id, before, after);
      // What the needs of its open attempts are is known, or not known, from now on.
      if ((before === undefined) !== (after === undefined))
        for (const o of (after ?? before)?.open ?? []) this.#bump(o.machine);
    }
    this.#dirtyJobs.clear();
  }

  /** All leave the index before any enters it: a job may have moved from one page to another. */
  #readPages(): void {
    const enter: (readonly [JobId, JobProgress])[] = [];
    for (const key of this.#dirtyPages) {
      const p = this.#pages.get(key);
      if (p === undefined) continue;
      // An unreadable page leaves what was last known of its jobs.
      const next = parseJobPage(p.value) ?? p.entries;
      for (const [id, was] of p.entries) {
        const is = next.get(id);
        if (is !== undefined && sameOpen(was, is)) continue;
        this.#unindexAttempts(id, was);
        if (is === undefined && this.#pageOf.get(id) === key) this.#pageOf.delete(id);
        this.#dirtyJobs.add(id);
      }
      for (const [id, is] of next) {
        const was = p.entries.get(id);
        if (was === undefined || !sameOpen(was, is)) enter.push([id, is]);
        this.#dirtyJobs.add(id);
      }
      p.entries = next;
      p.value = undefined;
    }
    for (const key of this.#dirtyPages)
      for (const id of this.#pages.get(key)?.entries.keys() ?? []) this.#pageOf.set(id, key);
    for (const [id, p] of enter) this.#indexAttempts(id, p);
    this.#dirtyPages.clear();
  }

  #progress(id: JobId): JobProgress {
    const key = this.#pageOf.get(id);
    return (key === undefined ? undefined : this.#pages.get(key)?.entries.get(id)) ?? NO_PROGRESS;
  }

  #unindexAttempts(id: JobId, p: JobProgress): void {
    for (const o of p.open) {
      const on = this.#openOn.get(o.machine);
      const task = taskId(id, o.index);
      // A job that changed its page may stand in the new one already.
      if (on?.get(task)?.attempt !== o.attempt) continue;
      on.delete(task);
      this.#bump(o.machine);
      if (on.size === 0) this.#openOn.delete(o.machine);
    }
  }

  #indexAttempts(id: JobId, p: JobProgress): void {
    for (const o of p.open) {
      let on = this.#openOn.get(o.machine);
      if (on === undefined) {
        on = new Map();
        this.#openOn.set(o.machine, on);
      }
      const task = taskId(id, o.index);
      const { index, attempt } = o;
      on.set(task, { job: id, index, attempt, key: attemptKey(task, attempt) });
      this.#bump(o.machine);
    }
  }
}
