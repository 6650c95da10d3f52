/**
 * The client of the state store: its calls, its limits, and the evidence of its availability.
 *
 * It owns this controller's part of the store's limits (`request-budget.ts`) and the times of the
 * last answers, from which store availability is judged. What an answer proves is classified in
 * `store-results.ts`. Nothing here is retried but in `commitUntilDecided` and `transactWithRetry`,
 * and no method throws for want of an answer.
 */
import { type LeaseId, type MonotonicMs, monotonicMs, type Revision } from "@umberfold/ids";
import {
  type Condition,
  compareBody,
  type KeyValue,
  leaseRequestBody,
  parseLease,
  parseScanPage,
  storePaths,
  type Transaction,
  transactionBody,
} from "../protocol/store.js";
import type { CallResult, HttpClient } from "../transport/client.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import { RequestBudget, type StoreLimits } from "./request-budget.js";
import {
  type CompareResult,
  classifyComparison,
  classifyRead,
  classifyTransaction,
  classifyWatch,
  type ReadResult,
  type TransactionResult,
  type WatchResult,
} from "./store-results.js";

export type { CompareResult, ReadResult, TransactionResult, WatchResult } from "./store-results.js";

/** All items under a prefix, and a revision from which watching misses nothing. */
export interface ScanSnapshot {
  readonly items: readonly KeyValue[];
  readonly rev: Revision;
}

const CALL_TIMEOUT_MS = 1500;
const SCAN_PAGE_TIMEOUT_MS = 4 * CALL_TIMEOUT_MS;
/** How much longer than the watch itself its answer may take. */
const WATCH_GRACE_MS = 5000;
const SCAN_PAGE_ITEMS = 1000;
/** Within a tenth of a second the limits let a few more changes through. */
const MAX_THROTTLED_ATTEMPTS = 4;
const THROTTLED_RETRY_MS = 35;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;

/** The state store, as this controller calls it. */
export class StateStore {
  readonly #budget: RequestBudget;
  /** Requests sent, and those refused for the limits (429). */
  readonly counters = { requests: 0, refused: 0 };
  /** When the last answer other than 503 came. */
  answeredAt = monotonicNow();
  /** When the last 503 came. */
  refusedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  /** When the last call ended without any answer of the store's side. */
  unansweredAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** `members` is how many controllers share the limits at first. */
  constructor(
    private readonly address: string,
    limits: StoreLimits,
    private readonly calls: HttpClient,
    members: number,
  ) {
    this.#budget = new RequestBudget(limits, members);
  }

  /** See `RequestBudget.updateShares`. */
  updateShares(members: number, othersWrites: number): void {
    this.#budget.updateShares(members, othersWrites);
  }

  /** Whether a read may be sent now; takes it from the budget if so. */
  mayRead(): boolean {
    return this.#budget.tryTakeRequest();
  }

  /** Whether changes that a user waits for may be sent now; takes them from the budget if so. */
  mayWriteNow(changes: number): boolean {
    return this.#budget.tryTakeUrgentWrites(changes);
  }

  /** Whether a batch may be sent once `minChanges` are there; takes `changes` if so. */
  mayWriteBatch(changes: number, minChanges: number): boolean {
    return this.#budget.tryTakeBatchWrites(changes, minChanges);
  }

  /** Milliseconds until this many changes may be written. */
  writeWaitMs(changes: number): number {
    return this.#budget.writeWaitMs(changes);
  }

  /** How full the budget of changes is, from 0 to 1. */
  writeLevel(): number {
    return this.#budget.writeFillFraction();
  }

  /** The newest call was refused (503) or got no answer. */
  isFailing(): boolean {
    return Math.max(this.refusedAt, this.unansweredAt) > this.answeredAt;
  }

  async #call(
    method: string,
    path: string,
    body: unknown,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<CallResult> {
    this.counters.requests++;
    const outcome = await this.calls.call(this.address, method, path, body, timeoutMs);
    this.#recordEvidence(outcome);
    return outcome;
  }

  /** Keeps what an outcome says of the store's availability and of its limits. */
  #recordEvidence(outcome: CallResult): void {
    if (outcome.kind !== "answer") {
      // For want of a socket or of processor time here: that says nothing of the store.
      if (outcome.kind !== "unsent" || outcome.isLocal !== true) this.unansweredAt = monotonicNow();
      return;
    }
    if (outcome.status === 429) {
      this.counters.refused++;
      this.#budget.onThrottled();
    }
    if (outcome.status === 503) this.refusedAt = monotonicNow();
    else this.answeredAt = monotonicNow();
  }

  /** Sends a transaction once. */
  async transact(transaction: Transaction): Promise<TransactionResult> {
    return classifyTransaction(
      await this.#call("POST", storePaths.transaction, transactionBody(transaction)),
    );
  }

  /**
   * Repeats one transaction until it is decided or `giveUp` answers true. The same conditions make
   * that safe: applied at most once, and a definite 409 means no earlier copy can be applied any
   * more, for the revisions they named have passed. (A key once created under an `absent` condition
   * leaves a final record or is never created under the same name again.)
   */
  async commitUntilDecided(
    transaction: Transaction,
    giveUp: () => boolean,
  ): Promise<TransactionResult> {
    for (let backoffMs = MIN_BACKOFF_MS; ; backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)) {
      const result = await this.transact(transaction);
      if (result.kind !== "unknown" && result.kind !== "unavailable") return result;
      if (giveUp()) return result;
      await sleep(backoffMs);
    }
  }

  /** For what a user waits for: tries a few times more if only the limits stood in the way. */
  async transactWithRetry(transaction: Transaction): Promise<TransactionResult> {
    for (let attempt = 1; ; attempt++) {
      const result = await this.transact(transaction);
      const throttled = result.kind === "unavailable" && result.throttled === true;
      if (!throttled || attempt >= MAX_THROTTLED_ATTEMPTS) return result;
      await sleep(THROTTLED_RETRY_MS);
    }
  }

  /** One request, and no write, that proves many revisions current. */
  async compare(conditions: readonly Condition[]): Promise<CompareResult> {
    return classifyComparison(
      await this.#call("POST", storePaths.transaction, compareBody(conditions)),
    );
  }

  /** Reads one key. */
  async get(key: string): Promise<ReadResult> {
    return classifyRead(await this.#call("GET", storePaths.key(key), undefined));
  }

  /** Reads all items under a prefix, page by page; undefined if a page could not be had. */
  async scan(prefix: string): Promise<ScanSnapshot | undefined> {
    const items: KeyValue[] = [];
    let firstRev: Revision | undefined;
    let afterKey: string | undefined;
    for (;;) {
      const path = storePaths.scan(prefix, afterKey, SCAN_PAGE_ITEMS);
      const outcome = await this.#call("GET", path, undefined, SCAN_PAGE_TIMEOUT_MS);
      if (outcome.kind !== "answer" || outcome.status !== 200) return undefined;
      const page = parseScanPage(outcome.body);
      if (page === undefined) return undefined;
      // Later pages are newer; changes since the first page come again through the watch.
      firstRev ??= page.rev;
      items.push(...page.items);
      if (!page.hasMore || page.items.length === 0) return { items, rev: firstRev };
      afterKey = page.items[page.items.length - 1]?.key;
    }
  }

  /** Waits up to `waitMs` for changes under a prefix after a revision. */
  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult> {
    const path = storePaths.watch(prefix, after, waitMs);
    return classifyWatch(await this.#call("GET", path, undefined, waitMs + WATCH_GRACE_MS));
  }

  /** Asks for a new lease; undefined if none was granted, or the answer did not come. */
  async grant(ttlMs: number): Promise<LeaseId | undefined> {
    const outcome = await this.#call("POST", storePaths.leases, leaseRequestBody(ttlMs));
    return outcome.kind === "answer" && outcome.status === 200
      ? parseLease(outcome.body)
      : undefined;
  }

  /** Renews a lease. `lapsed`: it has expired, and its keys are gone. */
  async renew(lease: LeaseId): Promise<"renewed" | "lapsed" | "unavailable"> {
    const outcome = await this.#call("POST", storePaths.renewLease(lease), {});
    if (outcome.kind !== "answer") return "unavailable";
    if (outcome.status === 404) return "lapsed";
    return outcome.status === 200 ? "renewed" : "unavailable";
  }

  /** Gives a lease back, and with it its keys; without an answer it expires by itself. */
  async release(lease: LeaseId): Promise<void> {
    await this.#call("DELETE", storePaths.lease(lease), undefined);
  }

  /** Closes the connections. */
  close(): void {
    this.calls.close();
  }
}
