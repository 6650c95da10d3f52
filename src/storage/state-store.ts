/**
 * Client of the state store.
 *
 * It owns this controller's share of the store's rate limits (`request-budget.ts`) and the times of
 * the last answers and failures, from which the availability of the store is derived. The outcomes
 * of calls are classified in `store-results.ts`. Only `commitUntilDecided` and `transactWithRetry`
 * retry. A call without an answer is reported in the result; no method throws because of it.
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

/** All items under a prefix, and the revision from which a watch misses no later change. */
export interface ScanSnapshot {
  readonly items: readonly KeyValue[];
  readonly rev: Revision;
}

/** How long a call waits for its answer; after that its result is unknown. */
export const CALL_TIMEOUT_MS = 1500;
const SCAN_PAGE_TIMEOUT_MS = 4 * CALL_TIMEOUT_MS;
/** Added to the duration of a watch to get the timeout of its call. */
const WATCH_EXTRA_TIMEOUT_MS = 5000;
const MAX_SCAN_PAGE_ITEMS = 1000;
/** The three retries take about 0.1 s, in which the rate limits admit a few more changes. */
const MAX_THROTTLED_ATTEMPTS = 4;
const THROTTLED_RETRY_DELAY_MS = 35;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;

/** Calls the state store and records its answers as evidence of its availability. */
export class StateStore {
  readonly #budget: RequestBudget;
  /** `requests`: requests sent; `refused`: those refused with 429 because of the rate limits. */
  readonly counters = { requests: 0, refused: 0 };
  /** When the last answer other than 503 arrived. */
  answeredAt = monotonicNow();
  /** When the last answer with status 503 arrived. */
  refusedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  /** When the last call ended without an answer, except for calls that failed on this side. */
  unansweredAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  /** `controllerCount` is the number of controllers that initially share the rate limits. */
  constructor(
    private readonly address: string,
    limits: StoreLimits,
    private readonly client: HttpClient,
    controllerCount: number,
  ) {
    this.#budget = new RequestBudget(limits, controllerCount);
  }

  /** See `RequestBudget.updateShares`. */
  updateShares(controllerCount: number, peerWritesPerS: number): void {
    this.#budget.updateShares(controllerCount, peerWritesPerS);
  }

  /** Takes one request from the budget, for a read; false if none is left. */
  tryTakeRequestBudget(): boolean {
    return this.#budget.tryTakeRequestBudget();
  }

  /** Takes budget for changes that a user waits for; false if too little is left. */
  tryTakeUrgentWriteBudget(changes: number): boolean {
    return this.#budget.tryTakeUrgentWriteBudget(changes);
  }

  /**
   * Takes the changes of a batch if the budget has at least `minChanges`; false if it has fewer. A
   * batch larger than the budget leaves a debt, which delays the next batch.
   */
  tryTakeBatchWriteBudget(changes: number, minChanges: number): boolean {
    return this.#budget.tryTakeBatchWriteBudget(changes, minChanges);
  }

  /** Time until the budget holds this many changes, in milliseconds. */
  writeWaitMs(changes: number): number {
    return this.#budget.writeWaitMs(changes);
  }

  /** The available fraction of the budget for changes, from 0 to 1. */
  writeBudgetFraction(): number {
    return this.#budget.writeBudgetFraction();
  }

  /** Whether the latest call was refused with 503 or got no answer. */
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
    const outcome = await this.client.call(this.address, method, path, body, timeoutMs);
    this.#recordEvidence(outcome);
    return outcome;
  }

  /** Records what an outcome shows about the store's availability and rate limits. */
  #recordEvidence(outcome: CallResult): void {
    if (outcome.kind !== "answer") {
      // A call that failed on this side (no free socket, or not sent within its timeout because
      // this process was busy) is no evidence that the store is unavailable.
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
    const sentAt = monotonicNow();
    const outcome = await this.#call("POST", storePaths.transaction, transactionBody(transaction));
    return classifyTransaction(outcome, sentAt);
  }

  /**
   * Repeats a transaction, with exponential backoff, until its result is definite or `shouldGiveUp`
   * returns true. Repeating is safe because the conditions are the same each time. The transaction
   * is applied at most once. After a conflict (409) no earlier copy can be applied any more,
   * because the revisions in the conditions are no longer current. (A key created under the
   * condition that it is absent cannot be created twice either: when it is deleted, a final record
   * remains that the conditions name, or the same name is never used again.)
   */
  async commitUntilDecided(
    transaction: Transaction,
    shouldGiveUp: () => boolean,
  ): Promise<TransactionResult> {
    for (let backoffMs = MIN_BACKOFF_MS; ; backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)) {
      const result = await this.transact(transaction);
      if (result.kind !== "unknown" && result.kind !== "unavailable") return result;
      if (shouldGiveUp()) return result;
      await sleep(backoffMs);
    }
  }

  /** For writes that a user waits for: retries a few times if only the rate limit was exceeded. */
  async transactWithRetry(transaction: Transaction): Promise<TransactionResult> {
    for (let attempt = 1; ; attempt++) {
      const result = await this.transact(transaction);
      const throttled = result.kind === "unavailable" && result.throttled === true;
      if (!throttled || attempt >= MAX_THROTTLED_ATTEMPTS) return result;
      await sleep(THROTTLED_RETRY_DELAY_MS);
    }
  }

  /** Checks in one request, without a write, that many revisions are current. */
  async compare(conditions: readonly Condition[]): Promise<CompareResult> {
    return classifyComparison(
      await this.#call("POST", storePaths.transaction, compareBody(conditions)),
    );
  }

  /** Reads one key. */
  async get(key: string): Promise<ReadResult> {
    return classifyRead(await this.#call("GET", storePaths.key(key), undefined));
  }

  /** Reads all items under a prefix, page by page; undefined if reading a page failed. */
  async scan(prefix: string): Promise<ScanSnapshot | undefined> {
    const items: KeyValue[] = [];
    let firstRev: Revision | undefined;
    let afterKey: string | undefined;
    for (;;) {
      const path = storePaths.scan(prefix, afterKey, MAX_SCAN_PAGE_ITEMS);
      const outcome = await this.#call("GET", path, undefined, SCAN_PAGE_TIMEOUT_MS);
      if (outcome.kind !== "answer" || outcome.status !== 200) return undefined;
      const page = parseScanPage(outcome.body);
      if (page === undefined) return undefined;
      // Later pages are newer; the watch reports all changes since the first page again.
      firstRev ??= page.rev;
      items.push(...page.items);
      if (!page.hasMore || page.items.length === 0) return { items, rev: firstRev };
      afterKey = page.items[page.items.length - 1]?.key;
    }
  }

  /** Waits up to `waitMs` for changes under a prefix after a revision. */
  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult> {
    const path = storePaths.watch(prefix, after, waitMs);
    return classifyWatch(await this.#call("GET", path, undefined, waitMs + WATCH_EXTRA_TIMEOUT_MS));
  }

  /** Requests a new lease; undefined if none was granted or no answer arrived. */
  async grant(ttlMs: number): Promise<LeaseId | undefined> {
    const outcome = await this.#call("POST", storePaths.leases, leaseRequestBody(ttlMs));
    return outcome.kind === "answer" && outcome.status === 200
      ? parseLease(outcome.body)
      : undefined;
  }

  /** Renews a lease. `lapsed`: the lease has expired and its keys are deleted. */
  async renew(lease: LeaseId): Promise<"renewed" | "lapsed" | "unavailable"> {
    const outcome = await this.#call("POST", storePaths.renewLease(lease), {});
    if (outcome.kind !== "answer") return "unavailable";
    if (outcome.status === 404) return "lapsed";
    return outcome.status === 200 ? "renewed" : "unavailable";
  }

  /** Releases a lease, which deletes its keys; if the request fails, the lease expires later. */
  async release(lease: LeaseId): Promise<void> {
    await this.#call("DELETE", storePaths.lease(lease), undefined);
  }

  /** Closes all connections to the state store. */
  close(): void {
    this.client.close();
  }
}
