// A stand-in for the state service, after the section "Controller nodes -> state service" of
// PROTOCOL-umberfold.md. Each controller gets an address of its own, so that faults can be limited
// to one of them; all addresses serve the same keys.
import { NO_ANSWER, now, RESET, serve, sleep } from "./wire.mjs";

const KEPT_CHANGES = 10_000;
const PAGE_ITEMS = 1000;
const PAGE_BYTES = 512 * 1024;
const TRANSACTION_BYTES = 64 * 1024;
/** A lease may end up to 100 ms late, never early. */
const LEASE_LATE_MS = 50;
const sizeOf = (value) => Buffer.byteLength(JSON.stringify(value) ?? "");

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = now();
  }
  take(cost) {
    const t = now();
    this.tokens = Math.min(this.rate, this.tokens + ((t - this.at) / 1000) * this.rate);
    this.at = t;
    if (this.tokens < Math.min(cost, this.rate)) return false;
    this.tokens -= cost;
    return true;
  }
}

export class Store {
  ledger = 0;
  keys = new Map();
  log = [];
  leases = new Map();
  down = false;
  /** Nodes that get 503 alone. */
  refused = new Set();
  counts = { requests: 0, throttled: 0, writes: 0 };
  /** `(label, method, path, body) => undefined | {before, lose, holdMs, status}`: faults of a call. */
  fault = () => undefined;
  latency = () => 2 + Math.random() * 6;
  onChange = () => undefined;
  #waiting = new Set();
  #leaseCount = 0;
  #servers = [];

  constructor(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.timer = setInterval(() => this.#expire(), 20);
  }

  async listen(label) {
    const server = await serve((method, path, body) => this.#handle(label, method, path, body));
    this.#servers.push(server);
    return server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.#servers) server.close();
  }

  startOutage(ms) {
    this.down = true;
    return sleep(ms).then(() => {
      this.down = false;
      this.renewAll();
    });
  }

  renewAll() {
    for (const lease of this.leases.values()) lease.endsAt = now() + lease.ttlMs;
  }

  async #handle(label, method, path, body) {
    const fault = this.fault(label, method, path, body) ?? {};
    if (fault.before !== undefined) await fault.before;
    await sleep(this.latency(label, method, path));
    if (fault.status !== undefined) return { status: fault.status };
    if (fault.drop) return NO_ANSWER;
    if (fault.holdMs !== undefined) {
      void sleep(fault.holdMs).then(() => this.#answer(label, method, path, body));
      return NO_ANSWER;
    }
    const answer = await this.#answer(label, method, path, body);
    if (fault.againMs !== undefined) void sleep(fault.againMs).then(() => this.#answer(label, method, path, body));
    if (fault.lose) return NO_ANSWER;
    if (fault.reset) return RESET;
    if (fault.after !== undefined) await fault.after;
    if (fault.slow !== undefined) await sleep(fault.slow());
    return answer;
  }

  async #answer(label, method, path, body) {
    this.counts.requests++;
    if (this.down || this.refused.has(label)) return { status: 503 };
    if (!this.requests.take(1)) {
      this.counts.throttled++;
      return { status: 429 };
    }
    this.#expire();
    const url = new URL(`http://s${path}`);
    const query = url.searchParams;
    if (url.pathname === "/txn") return this.#transact(body ?? {});
    if (url.pathname === "/follow") return this.#follow(label, query);
    if (url.pathname === "/grants" && method === "POST") {
      const id = ++this.#leaseCount + 1000;
      const ttlMs = Number(body.ttlMs);
      if (!(ttlMs >= 100 && ttlMs <= 600_000)) return { status: 400 };
      this.leases.set(id, { ttlMs, endsAt: now() + ttlMs, label });
      return { status: 200, body: { tenure: id } };
    }
    const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(url.pathname);
    if (grant) {
      const lease = this.leases.get(Number(grant[1]));
      if (lease === undefined) return { status: 404 };
      if (grant[2]) lease.endsAt = now() + lease.ttlMs;
      else {
        lease.endsAt = Number.NEGATIVE_INFINITY;
        this.#expire();
      }
      return { status: 200, body: {} };
    }
    if (url.pathname === "/store") return this.#list(query);
    const key = path.slice("/store/".length);
    const stored = this.keys.get(key);
    if (stored === undefined) return { status: 404, body: { ledger: this.ledger } };
    return {
      status: 200,
      body: { path: key, v: stored.v, mark: stored.mark, ...(stored.tenure ? { tenure: stored.tenure } : {}) },
    };
  }

  #list(query) {
    const prefix = query.get("starts") ?? "";
    const after = query.get("from") ?? "";
    const limit = Math.min(PAGE_ITEMS, Number(query.get("limit") ?? PAGE_ITEMS));
    const names = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of names) {
      const { v, mark } = this.keys.get(key);
      const item = { path: key, v, mark };
      bytes += sizeOf(item);
      if (items.length >= limit || (bytes > PAGE_BYTES && items.length > 0)) break;
      items.push(item);
    }
    return { status: 200, body: { items, hasNext: items.length < names.length, ledger: this.ledger } };
  }

  #transact(body) {
    const conditions = body.if ?? [];
    const ops = body.apply ?? [];
    if (conditions.length > 4 * this.limits.txn_ops || ops.length > this.limits.txn_ops)
      return { status: 400, body: { error: "too many" } };
    if (sizeOf(body) > TRANSACTION_BYTES) return { status: 400, body: { error: "too large" } };
    for (const op of ops)
      if (op.write !== undefined && sizeOf(op.v) > this.limits.value_kb * 1024)
        return { status: 400, body: { error: "value too large" } };
    if (ops.length > 0 && !this.writes.take(ops.length)) {
      this.counts.throttled++;
      return { status: 429 };
    }
    this.counts.writes += ops.length;
    if (ops.some((op) => op.tenure && !this.leases.has(op.tenure)))
      return { status: 400, body: { error: "no such lease" } };
    const failed = conditions.filter(({ path, mark }) => (this.keys.get(path)?.mark ?? 0) !== mark);
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ path }) => path), ledger: this.ledger } };
    if (ops.length === 0) return { status: 200, body: { ledger: this.ledger } };
    const mark = ++this.ledger;
    for (const op of ops) this.#change(mark, op);
    this.#wake();
    return { status: 200, body: { ledger: mark } };
  }

  #change(mark, { write, v, drop, tenure }) {
    if (write !== undefined) {
      this.keys.set(write, { v, mark, tenure });
      this.log.push({ write, v, mark });
    } else if (this.keys.delete(drop)) this.log.push({ drop, mark });
    if (this.log.length > KEPT_CHANGES) this.log.shift();
    this.onChange(write ?? drop, write === undefined ? undefined : v, mark);
  }

  #expire() {
    if (this.down) return;
    const t = now();
    for (const [id, lease] of this.leases) {
      if (lease.endsAt + LEASE_LATE_MS > t) continue;
      this.leases.delete(id);
      const gone = [...this.keys].filter(([, stored]) => stored.tenure === id);
      if (gone.length === 0) continue;
      const mark = ++this.ledger;
      for (const [key] of gone) this.#change(mark, { drop: key });
      this.#wake();
    }
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake();
  }

  async #follow(label, query) {
    const prefix = query.get("starts") ?? "";
    const from = Number(query.get("from"));
    const until = now() + Math.min(60_000, Number(query.get("blockMs") ?? 0));
    for (;;) {
      const silent = this.down || this.refused.has(label);
      if (!silent) {
        if (this.log.length >= KEPT_CHANGES && this.log[0].mark > from + 1) return { status: 410 };
        const log = [];
        for (let i = this.log.length - 1; i >= 0 && this.log[i].mark > from; i--)
          if ((this.log[i].write ?? this.log[i].drop).startsWith(prefix)) log.push(this.log[i]);
        if (log.length > 0 || now() >= until)
          return { status: 200, body: { ledger: this.ledger, log: log.reverse() } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, silent ? 50 : Math.max(1, until - now()));
        this.#waiting.add(wake);
      });
    }
  }
}
