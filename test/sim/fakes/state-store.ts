import type { TimeSource } from "../clock.js";

import type { Body, Out } from "./message.js";

interface Logged {
  readonly key: string;
  readonly v?: unknown;
  readonly mark: number;
  readonly drop: boolean;
}

/** The state service, after its published protocol. */
export class FakeStateStore {
  rev = 0;
  down = false;
  readonly keys = new Map<string, { v: unknown; mark: number; lease: number | undefined }>();
  readonly #leases = new Map<number, { ttl: number; until: number }>();
  #log: Logged[] = [];
  #waiters: (() => void)[] = [];
  #lease = 0;
  /** Puts and deletes asked for, for counting what the service writes. */
  writes = 0;
  /** A sabotaged service applies transactions whatever their conditions. */
  checksConditions = true;
  /** Requests a second that are carried out, with bursts of one second's worth; the rest get 429. */
  rps = Number.POSITIVE_INFINITY;
  #requests: { tokens: number; at: number } = { tokens: 0, at: 0 };
  onChange: (key: string) => void = () => undefined;

  constructor(private readonly clock: TimeSource) {}

  #expire(): void {
    for (const [id, l] of this.#leases) {
      if (l.until > this.clock.now) continue;
      this.#leases.delete(id);
      for (const [key, e] of [...this.keys])
        if (e.lease === id) this.#change(++this.rev, key, undefined, true, undefined);
    }
  }

  outage(ms: number): void {
    this.down = true;
    this.clock.after(ms, () => {
      this.down = false;
      for (const l of this.#leases.values()) l.until = this.clock.now + l.ttl;
    });
  }

  #admits(): boolean {
    if (this.rps === Number.POSITIVE_INFINITY) return true;
    const { now } = this.clock;
    const { tokens, at } = this.#requests;
    const filled = Math.min(this.rps, tokens + ((now - at) / 1000) * this.rps);
    this.#requests = { tokens: filled >= 1 ? filled - 1 : filled, at: now };
    return filled >= 1;
  }

  #change(rev: number, key: string, v: unknown, drop: boolean, lease: number | undefined): void {
    if (drop) this.keys.delete(key);
    else this.keys.set(key, { v, mark: rev, lease });
    this.#log.push({ key, v, mark: rev, drop });
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const w of waiters) w();
    this.onChange(key);
  }

  /** The log's changes after a revision; it is in their order. */
  #since(from: number): readonly Logged[] {
    let lo = 0;
    let hi = this.#log.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if ((this.#log[mid]?.mark ?? 0) <= from) lo = mid + 1;
      else hi = mid;
    }
    return this.#log.slice(lo);
  }

  async handle(method: string, path: string, body: Body | undefined): Promise<Out> {
    if (this.down) return { status: 503 };
    if (!this.#admits()) return { status: 429 };
    this.#expire();
    const url = new URL(`http://s${path}`);
    if (url.pathname === "/txn") return this.#txn(body ?? {});
    if (url.pathname === "/grants") {
      const ttl = Number(body?.ttlMs);
      this.#leases.set(++this.#lease, { ttl, until: this.clock.now + ttl });
      return { status: 200, body: { tenure: this.#lease } };
    }
    const end = /^\/grants\/(\d+)$/.exec(url.pathname);
    if (end && method === "DELETE") {
      const l = this.#leases.get(Number(end[1]));
      if (l !== undefined) l.until = this.clock.now;
      this.#expire();
      return { status: 200, body: {} };
    }
    const touch = /^\/grants\/(\d+)\/touch$/.exec(url.pathname);
    if (touch) {
      const l = this.#leases.get(Number(touch[1]));
      if (l === undefined) return { status: 404 };
      l.until = this.clock.now + l.ttl;
      return { status: 200, body: {} };
    }
    const starts = url.searchParams.get("starts") ?? "";
    if (url.pathname === "/follow") {
      const from = Number(url.searchParams.get("from"));
      const end = this.clock.now + Number(url.searchParams.get("blockMs"));
      for (;;) {
        const log = this.#since(from).filter((c) => c.key.startsWith(starts));
        if (log.length > 0 || this.clock.now >= end) {
          const rows = log.map((c) =>
            c.drop ? { drop: c.key, mark: c.mark } : { write: c.key, v: c.v, mark: c.mark },
          );
          return { status: 200, body: { ledger: this.rev, log: rows } };
        }
        await new Promise<void>((resolve) => {
          this.#waiters.push(resolve);
          this.clock.after(250, () => {
            this.#expire();
            resolve();
          });
        });
      }
    }
    if (url.pathname === "/store") {
      const items = [...this.keys]
        .filter(([k]) => k.startsWith(starts))
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([path, e]) => ({ path, v: e.v, mark: e.mark }));
      return { status: 200, body: { items, hasNext: false, ledger: this.rev } };
    }
    const key = url.pathname.slice("/store/".length);
    const e = this.keys.get(key);
    if (e === undefined) return { status: 404, body: { ledger: this.rev } };
    return { status: method === "GET" ? 200 : 405, body: { path: key, v: e.v, mark: e.mark } };
  }

  #txn(body: Body): Out {
    const conds = body.if as { path: string; mark: number }[];
    const failed = conds.filter((c) => (this.keys.get(c.path)?.mark ?? 0) !== c.mark);
    this.writes += (body.apply as unknown[] | undefined)?.length ?? 0;
    if (failed.length > 0 && this.checksConditions)
      return { status: 409, body: { failed: failed.map((c) => c.path), ledger: this.rev } };
    if (body.apply === undefined) return { status: 200, body: { ledger: this.rev } };
    const ops = body.apply as { write?: string; v?: unknown; drop?: string; tenure?: number }[];
    if (ops.some((o) => o.tenure !== undefined && !this.#leases.has(o.tenure)))
      return { status: 400, body: { error: "no such lease" } };
    const rev = ++this.rev;
    for (const o of ops)
      this.#change(rev, o.write ?? o.drop ?? "", o.v, o.write === undefined, o.tenure);
    return { status: 200, body: { ledger: rev } };
  }
}
