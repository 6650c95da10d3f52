import { type LeaseId, type MonotonicMs, monotonicMs, type Revision } from "@umberfold/ids";
import {
  type Condition,
  compareBody,
  grantBody,
  type KeyValue,
  parseChanges,
  parseFailedKeys,
  parseKeyValue,
  parseLease,
  parseRevision,
  parseScanPage,
  type StoreChange,
  storePaths,
  type Transaction,
  transactionBody,
} from "../protocol/store.js";
import type { CallResult, HttpClient } from "../transport/client.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import { TokenBucket } from "./token-bucket.js";

export type TransactionResult =
  | { readonly kind: "applied"; readonly rev: Revision }
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  /** Our lease has lapsed, or the request is malformed: it never will be applied. */
  | { readonly kind: "refused" }
  /** Not executed; `throttled`: only because the limits were reached at this moment. */
  | { readonly kind: "unavailable"; readonly throttled?: boolean }
  /** May have been applied, or may yet be. */
  | { readonly kind: "unknown" };

export type CompareResult =
  /** All conditions held at one moment after the call. */
  | { readonly kind: "current" }
  | { readonly kind: "conflict"; readonly failed: readonly string[] }
  | { readonly kind: "unavailable" };

export type ReadResult =
  | { readonly kind: "found"; readonly item: KeyValue }
  | { readonly kind: "absent"; readonly rev: Revision }
  | { readonly kind: "unavailable" };

export type WatchResult =
  | { readonly kind: "changes"; readonly rev: Revision; readonly changes: readonly StoreChange[] }
  | { readonly kind: "too_old" }
  | { readonly kind: "unavailable" };

const CALL_MS = 1500;
const SCAN_LIMIT = 1000;
/** Within a tenth of a second the limits let a few more changes through. */
const SOON_TRIES = 4;
const SOON_MS = 35;
/** What part of the write limit all may use together, and how many equal parts one may use. */
const USABLE = 0.9;
const MOST_PARTS = 2.5;

/** The state service's client: its calls, its limits, and what an answer does and doesn't prove. */
export class StateStore {
  readonly #requests: TokenBucket;
  readonly #writes: TokenBucket;
  /** What users wait for: apart, or a wide batch would leave accepts a second without any. */
  readonly #urgent: TokenBucket;
  readonly counters = { requests: 0, refused: 0 };
  /** Steady time of the last answer other than 503, and of the last call without any answer. */
  answeredAt = monotonicNow();
  refusedAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);
  unansweredAt: MonotonicMs = monotonicMs(Number.NEGATIVE_INFINITY);

  constructor(
    private readonly address: string,
    private readonly limits: { readonly rps: number; readonly writeRps: number },
    private readonly calls: HttpClient,
    members: number,
  ) {
    this.#requests = new TokenBucket(limits.rps / members, limits.rps / members, monotonicNow());
    this.#writes = new TokenBucket(
      limits.writeRps / members,
      limits.writeRps / members,
      monotonicNow(),
    );
    this.#urgent = new TokenBucket(
      limits.writeRps / members,
      limits.writeRps / members,
      monotonicNow(),
    );
  }

  /**
   * The limits hold for all controllers together. Each live one is sure of an equal part; what the
   * watch shows the others not to use may be used as well, up to a few equal parts.
   */
  updateShares(members: number, othersWrites: number): void {
    const now = monotonicNow();
    const requests = this.limits.rps / members;
    this.#requests.set(requests, requests, now);
    const equal = (this.limits.writeRps * USABLE) / members;
    const unused = this.limits.writeRps * USABLE - othersWrites;
    // Bursts stay an equal part: those of all together must fit into the service's own second.
    this.#urgent.set(this.limits.writeRps / members, this.limits.writeRps / members, now);
    this.#writes.set(Math.max(equal, Math.min(unused, equal * MOST_PARTS)), equal, now);
  }

  /** The newest call was refused or came to nothing. */
  isFailing(): boolean {
    return Math.max(this.refusedAt, this.unansweredAt) > this.answeredAt;
  }

  mayRead(reserve = 0): boolean {
    return this.#requests.take(1, monotonicNow(), reserve);
  }

  mayWrite(ops: number, reserve = 0): boolean {
    return this.#writes.take(ops, monotonicNow(), reserve);
  }

  /** For what can't wait: an equal part of the limit at the most, which all others pay off first. */
  mayWriteNow(ops: number): boolean {
    const now = monotonicNow();
    if (!this.#urgent.take(ops, now)) return false;
    this.#writes.owe(ops, now);
    return true;
  }

  /** For batches: lets one through once a little is there, and makes the next wait for it. */
  mayWriteBatch(ops: number, least: number): boolean {
    return this.#writes.spend(ops, least, monotonicNow());
  }

  /** Milliseconds until this many changes may be written, and how full the budget is. */
  writeWaitMs(ops: number): number {
    return this.#writes.waitMs(ops, monotonicNow());
  }

  writeLevel(): number {
    return this.#writes.level(monotonicNow());
  }

  async #call(method: string, path: string, body: unknown, ms = CALL_MS): Promise<CallResult> {
    this.counters.requests++;
    const r = await this.calls.call(this.address, method, path, body, ms);
    if (r.kind === "answer" && r.status === 429) {
      this.counters.refused++;
      this.#requests.drain(monotonicNow());
      this.#writes.drain(monotonicNow());
    }
    if (r.kind !== "answer") {
      // For want of a socket or a turn of our own: that says nothing of the service.
      if (r.kind !== "unsent" || r.own !== true) this.unansweredAt = monotonicNow();
    } else if (r.status === 503) this.refusedAt = monotonicNow();
    else this.answeredAt = monotonicNow();
    return r;
  }

  async transact(t: Transaction): Promise<TransactionResult> {
    const r = await this.#call("POST", storePaths.txn, transactionBody(t));
    if (r.kind === "unsent") return { kind: "unavailable" };
    if (r.kind === "lost") return { kind: "unknown" };
    if (r.status === 200) {
      const rev = parseRevision(r.body);
      return rev === undefined ? { kind: "unknown" } : { kind: "applied", rev };
    }
    if (r.status === 409) return { kind: "conflict", failed: parseFailedKeys(r.body) };
    if (r.status === 400) return { kind: "refused" };
    if (r.status === 429) return { kind: "unavailable", throttled: true };
    if (r.status === 503) return { kind: "unavailable" };
    return { kind: "unknown" };
  }

  /**
   * Repeats one transaction until its fate is known. The same conditions make that safe: applied
   * at most once, and a definite 409 means no earlier copy can be applied any more, for the
   * revisions they named have passed. (A key once created under an `absent` condition leaves a
   * final record or is never created under the same name again.)
   */
  async commitUntilDecided(t: Transaction, giveUp: () => boolean): Promise<TransactionResult> {
    for (let wait = 50; ; wait = Math.min(500, wait * 2)) {
      const r = await this.transact(t);
      if (r.kind !== "unknown" && r.kind !== "unavailable") return r;
      if (giveUp()) return r;
      await sleep(wait);
    }
  }

  /** For what a user waits for: asks a few times more if only the limits stood in the way. */
  async transactWithRetry(t: Transaction): Promise<TransactionResult> {
    for (let tries = 1; ; tries++) {
      const r = await this.transact(t);
      if (r.kind !== "unavailable" || r.throttled !== true || tries >= SOON_TRIES) return r;
      await sleep(SOON_MS);
    }
  }

  /** One request, and no write, that proves many revisions current. */
  async compare(conditions: readonly Condition[]): Promise<CompareResult> {
    const r = await this.#call("POST", storePaths.txn, compareBody(conditions));
    if (r.kind === "answer" && r.status === 200) return { kind: "current" };
    if (r.kind === "answer" && r.status === 409)
      return { kind: "conflict", failed: parseFailedKeys(r.body) };
    return { kind: "unavailable" };
  }

  async get(key: string): Promise<ReadResult> {
    const r = await this.#call("GET", storePaths.key(key), undefined);
    if (r.kind !== "answer") return { kind: "unavailable" };
    if (r.status === 200) {
      const item = parseKeyValue(r.body);
      return item === undefined ? { kind: "unavailable" } : { kind: "found", item };
    }
    const rev = r.status === 404 ? parseRevision(r.body) : undefined;
    return rev === undefined ? { kind: "unavailable" } : { kind: "absent", rev };
  }

  /** All items under a prefix, and a revision from which watching misses nothing. */
  async scan(
    prefix: string,
  ): Promise<{ readonly items: readonly KeyValue[]; readonly rev: Revision } | undefined> {
    const items: KeyValue[] = [];
    let first: Revision | undefined;
    let after: string | undefined;
    for (;;) {
      const r = await this.#call(
        "GET",
        storePaths.scan(prefix, after, SCAN_LIMIT),
        undefined,
        4 * CALL_MS,
      );
      if (r.kind !== "answer" || r.status !== 200) return undefined;
      const page = parseScanPage(r.body);
      if (page === undefined) return undefined;
      // Later pages are newer; changes since the first page come again through the watch.
      first ??= page.rev;
      items.push(...page.items);
      if (!page.more || page.items.length === 0) return { items, rev: first };
      after = page.items[page.items.length - 1]?.key;
    }
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult> {
    const r = await this.#call(
      "GET",
      storePaths.watch(prefix, after, waitMs),
      undefined,
      waitMs + 5000,
    );
    if (r.kind !== "answer") return { kind: "unavailable" };
    if (r.status === 410) return { kind: "too_old" };
    if (r.status !== 200) return { kind: "unavailable" };
    const parsed = parseChanges(r.body);
    return parsed === undefined ? { kind: "too_old" } : { kind: "changes", ...parsed };
  }

  async grant(ttlMs: number): Promise<LeaseId | undefined> {
    const r = await this.#call("POST", storePaths.grants, grantBody(ttlMs));
    return r.kind === "answer" && r.status === 200 ? parseLease(r.body) : undefined;
  }

  async renew(lease: LeaseId): Promise<"renewed" | "lapsed" | "unavailable"> {
    const r = await this.#call("POST", storePaths.renew(lease), {});
    if (r.kind !== "answer") return "unavailable";
    if (r.status === 404) return "lapsed";
    return r.status === 200 ? "renewed" : "unavailable";
  }

  async release(lease: LeaseId): Promise<void> {
    await this.#call("DELETE", storePaths.lease(lease), undefined);
  }

  close(): void {
    this.calls.close();
  }
}
