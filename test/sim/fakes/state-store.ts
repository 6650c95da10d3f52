/**
 * A stand-in for the state store, after its published protocol: revisions, transactions, leases and
 * the log that replicas follow.
 *
 * Owns all keys and leases. What holds: revisions only rise, a transaction is applied whole or not
 * at all, and keys of a lease go with it.
 */
import type { TimeSource } from "../clock.js";
import type { Body, Out } from "./message.js";

/** A followed change is looked for again at least this often, since leases expire unasked. */
const FOLLOW_LOOK_MS = 250;

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

/** One change of a transaction, in the wire's words. */
interface Operation {
  readonly write?: string;
  readonly v?: unknown;
  readonly drop?: string;
  readonly tenure?: number;
}

/** The state store of one simulation or loopback cluster. */
export class FakeStateStore {
  /** The revision of the last change. */
  rev = 0;
  /** In an outage every request is refused. */
  down = false;
  /** What is stored, by key: the value, its revision and its lease. */
  readonly keys = new Map<string, StoredValue>();
  /** Puts and deletes asked for, for counting what the service writes. */
  writes = 0;
  /** Switched off, transactions are applied whatever their conditions. */
  checksConditions = true;
  /** Requests a second that are carried out, with bursts of one second's worth; the rest get 429. */
  rps = Number.POSITIVE_INFINITY;
  /** Is told of each key that changes, after the change. */
  onChange: (key: string) => void = () => undefined;
  readonly #leases = new Map<number, Lease>();
  readonly #log: LoggedChange[] = [];
  #waiting: (() => void)[] = [];
  #leaseCount = 0;
  #requests: { readonly tokens: number; readonly at: number } = { tokens: 0, at: 0 };

  constructor(private readonly clock: TimeSource) {}

  /** Refuses everything for so long; then all leases are as if renewed. */
  outage(ms: number): void {
    this.down = true;
    this.clock.after(ms, () => {
      this.down = false;
      for (const lease of this.#leases.values()) lease.expiresAt = this.clock.now + lease.ttlMs;
    });
  }

  /** Serves one request; the path has its query with it. */
  handle(method: string, path: string, body: Body | undefined): Promise<Out> {
    if (this.down) return Promise.resolve({ status: 503 });
    if (!this.#admits()) return Promise.resolve({ status: 429 });
    this.#expireLeases();
    const url = new URL(`http://s${path}`);
    if (url.pathname === "/follow") return this.#follow(url.searchParams);
    return Promise.resolve(this.#answer(method, url, body ?? {}));
  }

  #answer(method: string, url: URL, body: Body): Out {
    if (url.pathname === "/txn") return this.#transact(body);
    if (url.pathname === "/grants") return this.#grantLease(Number(body.ttlMs));
    const revoked = /^\/grants\/(\d+)$/.exec(url.pathname);
    if (revoked && method === "DELETE") return this.#revokeLease(Number(revoked[1]));
    const renewed = /^\/grants\/(\d+)\/touch$/.exec(url.pathname);
    if (renewed) return this.#renewLease(Number(renewed[1]));
    if (url.pathname === "/store") return this.#list(url.searchParams.get("starts") ?? "");
    return this.#read(method, url.pathname.slice("/store/".length));
  }

  #admits(): boolean {
    if (this.rps === Number.POSITIVE_INFINITY) return true;
    const { now } = this.clock;
    const { tokens, at } = this.#requests;
    const filled = Math.min(this.rps, tokens + ((now - at) / 1000) * this.rps);
    this.#requests = { tokens: filled >= 1 ? filled - 1 : filled, at: now };
    return filled >= 1;
  }

  #grantLease(ttlMs: number): Out {
    this.#leases.set(++this.#leaseCount, { ttlMs, expiresAt: this.clock.now + ttlMs });
    return { status: 200, body: { tenure: this.#leaseCount } };
  }

  #renewLease(id: number): Out {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { status: 404 };
    lease.expiresAt = this.clock.now + lease.ttlMs;
    return { status: 200, body: {} };
  }

  #revokeLease(id: number): Out {
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
        if (stored.lease === id) this.#change(++this.rev, { drop: key });
    }
  }

  #change(revision: number, { write, v, drop, tenure }: Operation): void {
    const key = write ?? drop ?? "";
    const isDelete = write === undefined;
    if (isDelete) this.keys.delete(key);
    else this.keys.set(key, { v, mark: revision, lease: tenure });
    this.#log.push({ key, v, mark: revision, drop: isDelete });
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const goOn of waiting) goOn();
    this.onChange(key);
  }

  /** The log's changes after a revision; it is in their order. */
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

  async #follow(query: URLSearchParams): Promise<Out> {
    const prefix = query.get("starts") ?? "";
    const from = Number(query.get("from"));
    const blockUntil = this.clock.now + Number(query.get("blockMs"));
    for (;;) {
      const changes = this.#changesAfter(from).filter(({ key }) => key.startsWith(prefix));
      if (changes.length > 0 || this.clock.now >= blockUntil) {
        const log = changes.map(({ key, v, mark, drop }) =>
          drop ? { drop: key, mark } : { write: key, v, mark },
        );
        return { status: 200, body: { ledger: this.rev, log } };
      }
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
        this.clock.after(FOLLOW_LOOK_MS, () => {
          this.#expireLeases();
          resolve();
        });
      });
    }
  }

  #list(prefix: string): Out {
    const items = [...this.keys]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, { v, mark }]) => ({ path: key, v, mark }));
    return { status: 200, body: { items, hasNext: false, ledger: this.rev } };
  }

  #read(method: string, key: string): Out {
    const stored = this.keys.get(key);
    if (stored === undefined) return { status: 404, body: { ledger: this.rev } };
    const { v, mark } = stored;
    return { status: method === "GET" ? 200 : 405, body: { path: key, v, mark } };
  }

  #transact(body: Body): Out {
    const conditions = body.if as { path: string; mark: number }[];
    const failed = conditions.filter(({ path, mark }) => (this.keys.get(path)?.mark ?? 0) !== mark);
    this.writes += (body.apply as unknown[] | undefined)?.length ?? 0;
    if (failed.length > 0 && this.checksConditions)
      return { status: 409, body: { failed: failed.map(({ path }) => path), ledger: this.rev } };
    if (body.apply === undefined) return { status: 200, body: { ledger: this.rev } };
    const operations = body.apply as Operation[];
    if (operations.some(({ tenure }) => tenure !== undefined && !this.#leases.has(tenure)))
      return { status: 400, body: { error: "no such lease" } };
    const revision = ++this.rev;
    for (const operation of operations) this.#change(revision, operation);
    return { status: 200, body: { ledger: revision } };
  }
}
