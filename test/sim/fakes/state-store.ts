/**
 * A fake of the state store, following its published protocol: revisions, transactions, leases and
 * the change log that replicas follow.
 *
 * Owns all keys and leases. Invariants: revisions only increase, transactions are atomic, and the
 * keys attached to a lease are deleted when it expires or is revoked.
 */
import type { TimeSource } from "../clock.js";
import type { Body, FakeResponse } from "./message.js";

/**
 * How often a blocked `/follow` request checks for expired leases: they delete keys without any
 * request that would wake it.
 */
const LEASE_CHECK_INTERVAL_MS = 250;

interface StoredValue {
  readonly v: unknown;
  readonly mark: number;
  readonly lease: number | undefined;
}

interface LoggedChange {
  readonly key: string;
  readonly v?: unknown;
  readonly mark: number;
  readonly drop: boolean;
}

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** One put or delete of a transaction, with the field names on the wire. */
interface Operation {
  readonly write?: string;
  readonly v?: unknown;
  readonly drop?: string;
  readonly tenure?: number;
}

/** The state store of one simulation or loopback cluster. */
export class FakeStateStore {
  /** The revision of the last change. */
  revision = 0;
  /** During an outage every request gets status 503. */
  isDown = false;
  /** The stored values by key, each with its revision and its lease. */
  readonly keys = new Map<string, StoredValue>();
  /** Number of puts and deletes requested so far, including those of refused transactions. */
  writeCount = 0;
  /** If false, transactions are applied even if their conditions fail. */
  checksConditions = true;
  /** Rate limit (token bucket of one second's requests); requests above it get status 429. */
  maxRequestsPerSecond = Number.POSITIVE_INFINITY;
  /** Called with each changed key, after the change. */
  onChange: (key: string) => void = () => undefined;
  readonly #leases = new Map<number, Lease>();
  readonly #log: LoggedChange[] = [];
  #blockedFollows: (() => void)[] = [];
  #leaseCount = 0;
  #rateLimit: { readonly tokens: number; readonly at: number } = { tokens: 0, at: 0 };

  constructor(private readonly clock: TimeSource) {}

  /** Refuses all requests for `ms`; afterwards all leases are renewed. */
  startOutage(ms: number): void {
    this.isDown = true;
    this.clock.after(ms, () => {
      this.isDown = false;
      for (const lease of this.#leases.values()) lease.expiresAt = this.clock.now + lease.ttlMs;
    });
  }

  /** Handles one request; `path` includes the query string. */
  handle(method: string, path: string, body: Body | undefined): Promise<FakeResponse> {
    if (this.isDown) return Promise.resolve({ status: 503 });
    if (!this.#takeRateLimitToken()) return Promise.resolve({ status: 429 });
    this.#expireLeases();
    const url = new URL(`http://s${path}`);
    if (url.pathname === "/follow") return this.#follow(url.searchParams);
    return Promise.resolve(this.#answer(method, url, body ?? {}));
  }

  #answer(method: string, url: URL, body: Body): FakeResponse {
    if (url.pathname === "/txn") return this.#transact(body);
    if (url.pathname === "/grants") return this.#grantLease(Number(body.ttlMs));
    const revoked = /^\/grants\/(\d+)$/.exec(url.pathname);
    if (revoked && method === "DELETE") return this.#revokeLease(Number(revoked[1]));
    const renewed = /^\/grants\/(\d+)\/touch$/.exec(url.pathname);
    if (renewed) return this.#renewLease(Number(renewed[1]));
    if (url.pathname === "/store") return this.#list(url.searchParams.get("starts") ?? "");
    return this.#read(method, url.pathname.slice("/store/".length));
  }

  #takeRateLimitToken(): boolean {
    if (this.maxRequestsPerSecond === Number.POSITIVE_INFINITY) return true;
    const { now } = this.clock;
    const { tokens, at } = this.#rateLimit;
    const filled = Math.min(
      this.maxRequestsPerSecond,
      tokens + ((now - at) / 1000) * this.maxRequestsPerSecond,
    );
    this.#rateLimit = { tokens: filled >= 1 ? filled - 1 : filled, at: now };
    return filled >= 1;
  }

  #grantLease(ttlMs: number): FakeResponse {
    this.#leases.set(++this.#leaseCount, { ttlMs, expiresAt: this.clock.now + ttlMs });
    return { status: 200, body: { tenure: this.#leaseCount } };
  }

  #renewLease(id: number): FakeResponse {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { status: 404 };
    lease.expiresAt = this.clock.now + lease.ttlMs;
    return { status: 200, body: {} };
  }

  #revokeLease(id: number): FakeResponse {
    const lease = this.#leases.get(id);
    if (lease !== undefined) lease.expiresAt = this.clock.now;
    this.#expireLeases();
    return { status: 200, body: {} };
  }

  #expireLeases(): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt > this.clock.now) continue;
      this.#leases.delete(id);
      for (const [key, stored] of [...this.keys])
        if (stored.lease === id) this.#change(++this.revision, { drop: key });
    }
  }

  #change(revision: number, { write, v, drop, tenure }: Operation): void {
    const key = write ?? drop ?? "";
    const isDelete = write === undefined;
    if (isDelete) this.keys.delete(key);
    else this.keys.set(key, { v, mark: revision, lease: tenure });
    this.#log.push({ key, v, mark: revision, drop: isDelete });
    const waiting = this.#blockedFollows;
    this.#blockedFollows = [];
    for (const wake of waiting) wake();
    this.onChange(key);
  }

  /** Returns the changes after a revision by binary search: the log is sorted by revision. */
  #changesAfter(revision: number): readonly LoggedChange[] {
    let low = 0;
    let high = this.#log.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#log[middle]?.mark ?? 0) <= revision) low = middle + 1;
      else high = middle;
    }
    return this.#log.slice(low);
  }

  async #follow(query: URLSearchParams): Promise<FakeResponse> {
    const prefix = query.get("starts") ?? "";
    const from = Number(query.get("from"));
    const blockUntil = this.clock.now + Number(query.get("blockMs"));
    for (;;) {
      const changes = this.#changesAfter(from).filter(({ key }) => key.startsWith(prefix));
      if (changes.length > 0 || this.clock.now >= blockUntil) {
        const log = changes.map(({ key, v, mark, drop }) =>
          drop ? { drop: key, mark } : { write: key, v, mark },
        );
        return { status: 200, body: { ledger: this.revision, log } };
      }
      await new Promise<void>((resolve) => {
        this.#blockedFollows.push(resolve);
        this.clock.after(LEASE_CHECK_INTERVAL_MS, () => {
          this.#expireLeases();
          resolve();
        });
      });
    }
  }

  #list(prefix: string): FakeResponse {
    const items = [...this.keys]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, { v, mark }]) => ({ path: key, v, mark }));
    return { status: 200, body: { items, hasNext: false, ledger: this.revision } };
  }

  #read(method: string, key: string): FakeResponse {
    const stored = this.keys.get(key);
    if (stored === undefined) return { status: 404, body: { ledger: this.revision } };
    const { v, mark } = stored;
    return { status: method === "GET" ? 200 : 405, body: { path: key, v, mark } };
  }

  #transact(body: Body): FakeResponse {
    const conditions = body.if as { path: string; mark: number }[];
    const failed = conditions.filter(({ path, mark }) => (this.keys.get(path)?.mark ?? 0) !== mark);
    this.writeCount += (body.apply as unknown[] | undefined)?.length ?? 0;
    if (failed.length > 0 && this.checksConditions)
      return {
        status: 409,
        body: { failed: failed.map(({ path }) => path), ledger: this.revision },
      };
    if (body.apply === undefined) return { status: 200, body: { ledger: this.revision } };
    const operations = body.apply as Operation[];
    if (operations.some(({ tenure }) => tenure !== undefined && !this.#leases.has(tenure)))
      return { status: 400, body: { error: "no such lease" } };
    const revision = ++this.revision;
    for (const operation of operations) this.#change(revision, operation);
    return { status: 200, body: { ledger: revision } };
  }
}
