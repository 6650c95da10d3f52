/**
 * Read batching: linearizable reads of jobs (never older than the state store's state at the time
 * of the call) with far fewer requests than lookups.
 *
 * Lookups are collected for `BATCH_DELAY_MS`. Then one read-only transaction, a comparison, checks
 * for many jobs at once that the revisions in the replica are current. A lookup only joins a
 * comparison that is sent after the lookup began: one already in flight could confirm a state older
 * than what another controller has returned to a user in the meantime.
 *
 * A job whose comparison fails is read by itself: first its live record, then its final record.
 * This order is safe because a job's live record is replaced by its final record, never the
 * reverse.
 */
import { type JobId, KEY_ABSENT, type MonotonicMs, type Revision } from "@umberfold/ids";
import type { Condition } from "../protocol/store.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import { BoundedMap } from "./bounded-map.js";
import { type AcceptedJob, type FinalJob, parseAcceptedJob, parseFinalJob } from "./job-records.js";
import { keys } from "./keys.js";
import type { Replica } from "./replica.js";
import type { StateStore } from "./state-store.js";

/**
 * The result of a lookup: the job's state in the state store. `asOf` is when the request that
 * confirmed it was sent: the state is at least as recent as this. A final state needs no time,
 * because it never changes.
 */
export type JobLookup =
  /** Accepted, not finished. */
  | {
      readonly kind: "live";
      readonly job: AcceptedJob;
      readonly rev: Revision;
      readonly asOf: MonotonicMs;
    }
  /** Finished or cancelled; the final record exists. */
  | { readonly kind: "final"; readonly job: FinalJob }
  /** Neither record existed: the job had not been accepted by then. */
  | { readonly kind: "none"; readonly asOf: MonotonicMs }
  /** Unknown: the state store did not answer, or the queue or the request budget was exhausted. */
  | { readonly kind: "unavailable" };

const MAX_CACHED_FINAL_JOBS = 20_000;
/** How long lookups are collected before they are sent as one comparison. */
const BATCH_DELAY_MS = 20;
/** More than one, so that a comparison that gets no answer does not block all other lookups. */
const MAX_IN_FLIGHT_COMPARISONS = 3;
/** How long a read waits for this controller's request budget before it fails. */
const BUDGET_TIMEOUT_MS = 250;
const BUDGET_POLL_INTERVAL_MS = 25;
/** Capacity of the lookup queue in full comparisons; lookups beyond it are refused at once. */
const MAX_QUEUED_BATCHES = 6;
/** A lookup whose comparison failed because of other jobs this many times is read by itself. */
const MAX_COMPARISONS_PER_LOOKUP = 3;

/** A queued lookup of one job, shared by all callers that asked for it since it was queued. */
interface PendingLookup {
  readonly id: JobId;
  readonly resolvers: ((found: JobLookup) => void)[];
  /** Failed comparisons that did not name this job's keys. */
  failedComparisonCount: number;
}

/** The conditions under which the replica's state of a job is current. */
interface RevisionCheck {
  readonly lookup: PendingLookup;
  readonly conditions: readonly Condition[];
  /** The job in the replica; undefined if it has none, and the check is that no record exists. */
  readonly replicated: { readonly job: AcceptedJob; readonly rev: Revision } | undefined;
}

const UNAVAILABLE: JobLookup = { kind: "unavailable" };

/** Looks up jobs in the state store; see the module comment. */
export class JobReader {
  /** Final records never change, so cached ones never become stale. */
  readonly #finalJobs = new BoundedMap<JobId, FinalJob>(MAX_CACHED_FINAL_JOBS);
  readonly #finalReads = new Map<JobId, Promise<JobLookup>>();
  /** Pending lookups by job, oldest first. */
  readonly #queue = new Map<JobId, PendingLookup>();
  #inFlightCount = 0;
  #isBatchScheduled = false;
  /**
   * `compared`: jobs compared; `comparisons`: comparisons sent; `changed`: jobs read by themselves
   * because the replica's state was not confirmed; `refused`: lookups refused because the queue was
   * full or the request budget was exhausted.
   */
  readonly counters = { compared: 0, comparisons: 0, changed: 0, refused: 0 };

  constructor(
    private readonly store: StateStore,
    private readonly replica: Replica,
    /** The state store's limit for the conditions of one transaction. */
    private readonly maxConditions: number,
  ) {}

  /** A final record from the local cache, without a request; undefined if it is not cached. */
  cachedFinalJob(id: JobId): FinalJob | undefined {
    return this.#finalJobs.get(id);
  }

  /** The state of a job in the state store at some time after this call began. */
  async read(id: JobId): Promise<JobLookup> {
    const cached = this.#finalJobs.get(id);
    if (cached !== undefined) return { kind: "final", job: cached };
    if (!this.replica.acceptedJobs.has(id)) {
      const final = await this.#readFinalShared(id);
      if (final.kind !== "none") return final;
    }
    return this.#enqueue(id);
  }

  /**
   * Reads a final record; concurrent callers share one request. This is safe because a final record
   * never changes, and the caller confirms an absent one by a comparison.
   */
  #readFinalShared(id: JobId): Promise<JobLookup> {
    const pending = this.#finalReads.get(id);
    if (pending !== undefined) return pending;
    const read = this.#readFinal(id).finally(() => this.#finalReads.delete(id));
    this.#finalReads.set(id, read);
    return read;
  }

  /** Reads the final record. `asOf`: when the job's absence was known otherwise, if it was. */
  async #readFinal(id: JobId, asOf = monotonicNow()): Promise<JobLookup> {
    if (!(await this.#waitForBudget())) return UNAVAILABLE;
    const read = await this.store.get(keys.final(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return { kind: "none", asOf };
    const job = parseFinalJob(read.item.value);
    if (job === undefined) return UNAVAILABLE;
    this.#finalJobs.set(id, job);
    return { kind: "final", job };
  }

  /**
   * Reads the live record, then the final one. In this order a job that finishes in between is
   * still found, so the job was never accepted if both are absent.
   */
  async #readLiveThenFinal(id: JobId): Promise<JobLookup> {
    if (!(await this.#waitForBudget())) return UNAVAILABLE;
    const asOf = monotonicNow();
    const read = await this.store.get(keys.live(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return this.#readFinal(id, asOf);
    this.replica.apply({ kind: "put", ...read.item });
    const job = parseAcceptedJob(id, read.item.value);
    if (job === undefined) return UNAVAILABLE;
    return { kind: "live", job, rev: read.item.rev, asOf };
  }

  /** Waits for the request budget and takes one request; false if the wait timed out. */
  async #waitForBudget(): Promise<boolean> {
    const deadline = monotonicNow() + BUDGET_TIMEOUT_MS;
    while (!this.store.tryTakeRequestBudget()) {
      if (monotonicNow() >= deadline) return false;
      await sleep(BUDGET_POLL_INTERVAL_MS);
    }
    return true;
  }

  #enqueue(id: JobId): Promise<JobLookup> {
    const lookup = this.#queue.get(id) ?? { id, resolvers: [], failedComparisonCount: 0 };
    if (lookup.resolvers.length === 0 && this.#isQueueFull()) {
      this.counters.refused++;
      return Promise.resolve(UNAVAILABLE);
    }
    this.#queue.set(id, lookup);
    void this.#scheduleBatch();
    return new Promise((resolve) => lookup.resolvers.push(resolve));
  }

  #isQueueFull(): boolean {
    return this.#queue.size >= MAX_QUEUED_BATCHES * this.maxConditions;
  }

  /**
   * Sends the next comparison after the batch delay. Does nothing if one is scheduled already or
   * the maximum number is in flight; the end of a comparison schedules the next one.
   */
  async #scheduleBatch(): Promise<void> {
    if (this.#isBatchScheduled || this.#inFlightCount >= MAX_IN_FLIGHT_COMPARISONS) return;
    this.#isBatchScheduled = true;
    await sleep(BATCH_DELAY_MS);
    const hasBudget = await this.#waitForBudget();
    this.#isBatchScheduled = false;
    const checks = this.#takeBatch();
    if (checks.length === 0) return;
    if (!hasBudget) {
      this.counters.refused += checks.length;
      for (const { lookup } of checks) resolveAll(lookup, UNAVAILABLE);
    } else {
      this.#inFlightCount++;
      // Not awaited: `#compare` resolves each lookup itself.
      void this.#compare(checks).finally(() => {
        this.#inFlightCount--;
        if (this.#queue.size > 0) void this.#scheduleBatch();
      });
    }
    if (this.#queue.size > 0) void this.#scheduleBatch();
  }

  /** Removes from the queue as many lookups as fit into one transaction, oldest first. */
  #takeBatch(): readonly RevisionCheck[] {
    const checks: RevisionCheck[] = [];
    let conditions = 0;
    for (const lookup of this.#queue.values()) {
      const check = this.#checkOf(lookup);
      if (conditions + check.conditions.length > this.maxConditions) break;
      conditions += check.conditions.length;
      checks.push(check);
    }
    for (const { lookup } of checks) this.#queue.delete(lookup.id);
    return checks;
  }

  #checkOf(lookup: PendingLookup): RevisionCheck {
    const { id } = lookup;
    const accepted = this.replica.acceptedJobs.get(id);
    if (accepted === undefined) {
      const absent = [keys.live(id), keys.final(id)].map((key) => ({ key, rev: KEY_ABSENT }));
      return { lookup, conditions: absent, replicated: undefined };
    }
    const { value: job, rev } = accepted;
    return { lookup, conditions: [{ key: keys.live(id), rev }], replicated: { job, rev } };
  }

  async #compare(checks: readonly RevisionCheck[]): Promise<void> {
    const asOf = monotonicNow();
    this.counters.comparisons++;
    this.counters.compared += checks.length;
    const conditionByKey = new Map(
      checks.flatMap((check) => check.conditions.map((each) => [each.key, each] as const)),
    );
    const result = await this.store.compare([...conditionByKey.values()]);
    const failedKeys = new Set(result.kind === "conflict" ? result.failed : []);
    for (const { lookup, replicated, conditions } of checks) {
      if (result.kind === "current")
        resolveAll(
          lookup,
          replicated === undefined ? { kind: "none", asOf } : { kind: "live", ...replicated, asOf },
        );
      else if (result.kind === "unavailable") resolveAll(lookup, UNAVAILABLE);
      else if (conditions.some((each) => failedKeys.has(each.key))) this.#readRecords(lookup);
      else this.#requeue(lookup);
    }
  }

  /** Reads the job's records, because the replica's state of it could not be confirmed. */
  #readRecords(lookup: PendingLookup): void {
    this.counters.changed++;
    this.#readLiveThenFinal(lookup.id).then(
      (found) => resolveAll(lookup, found),
      () => resolveAll(lookup, UNAVAILABLE),
    );
  }

  /**
   * Queues a lookup for the next comparison: this one failed and did not name the job's keys, but
   * the state store need not name all failed keys, so nothing is known about this job.
   */
  #requeue(lookup: PendingLookup): void {
    lookup.failedComparisonCount++;
    if (lookup.failedComparisonCount >= MAX_COMPARISONS_PER_LOOKUP) {
      this.#readRecords(lookup);
      return;
    }
    // Merge with a lookup queued since then: the next comparison is recent enough for both.
    const newer = this.#queue.get(lookup.id);
    if (newer === undefined) this.#queue.set(lookup.id, lookup);
    else newer.resolvers.push(...lookup.resolvers);
    void this.#scheduleBatch();
  }
}

const resolveAll = (lookup: PendingLookup, found: JobLookup): void => {
  for (const resolve of lookup.resolvers) resolve(found);
};
