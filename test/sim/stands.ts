import type { SimClock } from "./clock.js";

/** Stand-ins for the outside systems, after their published protocol. */
type Body = Record<string, unknown>;
export interface Out {
  readonly status: number;
  readonly body?: unknown;
}

interface Logged {
  readonly key: string;
  readonly v?: unknown;
  readonly mark: number;
  readonly drop: boolean;
}

export class StateStand {
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
  heedsConditions = true;
  onChange: (key: string) => void = () => undefined;

  constructor(private readonly clock: SimClock) {}

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
    if (failed.length > 0 && this.heedsConditions)
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

export interface Rented {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export class CloudStand {
  down = false;
  #n = 0;
  readonly up = new Map<string, Rented>();
  readonly #answers = new Map<string, string[]>();

  constructor(
    private readonly types: readonly Body[],
    private readonly capacity: number,
    private readonly begin: (m: Rented) => void,
    private readonly end: (id: string) => void,
  ) {}

  handle(path: string, body: Body | undefined): Out {
    if (this.down) return { status: 503, body: { error: "trouble" } };
    if (path === "/flavors") return { status: 200, body: { frames: this.types } };
    if (path === "/machines") {
      const name = String(body?.hire);
      const known = this.#answers.get(name);
      if (known !== undefined) return { status: 200, body: { looms: known } };
      const room = this.capacity - this.up.size;
      if (room <= 0) return { status: 503, body: { error: "no capacity" } };
      const ids = Array.from({ length: Math.min(room, Number(body?.count)) }, () => {
        const id = `m-${String(++this.#n).padStart(6, "0")}`;
        const m = {
          id,
          type: String(body?.frame),
          zone: String(body?.mill),
          spot: body?.remnant === true,
        };
        this.up.set(id, m);
        this.begin(m);
        return id;
      });
      this.#answers.set(name, ids);
      return { status: 200, body: { looms: ids } };
    }
    if (path === "/machines/return") {
      if (this.returns) for (const id of (body?.looms ?? []) as string[]) this.take(id);
      return { status: 200, body: {} };
    }
    const looms = [...this.up.values()].map((m) => ({
      uid: m.id,
      endpoint: `${m.id}:1`,
      frame: m.type,
      mill: m.zone,
      remnant: m.spot,
      stage: "running",
      heldS: 60,
    }));
    return { status: 200, body: { looms, hasNext: false } };
  }

  /** A sabotaged cloud says that machines are gone, and leaves them running. */
  returns = true;

  take(id: string): void {
    if (this.up.delete(id)) this.end(id);
  }
}

interface Task {
  readonly task: string;
  readonly attempt: number;
  stage: "pulling" | "running" | "ended";
  cause?: string;
}

export interface WorkerHooks {
  readonly began: (worker: WorkerStand, task: string) => void;
  readonly left: (worker: WorkerStand, task: string, done: boolean) => void;
  readonly runMs: (task: string) => number;
  /** Whether this start of a task ends with an error. */
  readonly fails: (task: string) => boolean;
  /** Sends a report to a controller; undefined if no answer came. */
  readonly beat: (node: string, report: Body) => Promise<Out | undefined>;
}

/** One worker: tokens, sessions, its lease, and the commands. */
export class WorkerStand {
  alive = true;
  /** A hanging machine executes nothing and says nothing, and may come back. */
  hangs = false;
  /** Its reports arrive; answers and commands don't reach it. */
  deaf = false;
  /** Its reports reach no controller, while direct commands reach it. */
  mute = false;
  /** How long an image takes to come, from and to. */
  fetchMs: readonly [number, number] = [200, 1500];
  /** A sabotaged worker executes commands whatever their token and session. */
  heedsTokens = true;
  session = 1;
  seq = 0;
  token = 0;
  readonly tasks = new Map<string, Task>();
  #node = 0;
  #renewed: number;
  #changed = false;

  constructor(
    private readonly clock: SimClock,
    readonly rented: Rented,
    private readonly nodes: readonly string[],
    private readonly leaseMs: number,
    private readonly hooks: WorkerHooks,
  ) {
    this.#renewed = clock.now;
    this.#node = Math.floor(clock.random() * nodes.length);
    void this.#beats();
    void this.#watchLease();
  }

  die(): void {
    this.alive = false;
    this.#clear();
  }

  #clear(): void {
    for (const t of this.tasks.values())
      if (t.stage === "running") this.hooks.left(this, t.task, false);
    this.tasks.clear();
  }

  async #watchLease(): Promise<void> {
    while (this.alive) {
      await this.clock.sleep(100);
      if (!this.alive || this.hangs || this.clock.now - this.#renewed <= this.leaseMs) continue;
      this.#clear();
      this.session++;
      this.#renewed = this.clock.now;
      this.#changed = true;
    }
  }

  report(): Body {
    return {
      loom: this.rented.id,
      endpoint: `${this.rented.id}:1`,
      frame: this.rented.type,
      mill: this.rented.zone,
      remnant: this.rented.spot,
      shift: this.session,
      tally: ++this.seq,
      baton: this.token,
      warningS: null,
      threads: [...this.tasks.values()].map((t) => ({
        thread: t.task,
        try: t.attempt,
        stage: t.stage,
        ...(t.cause === undefined ? {} : { cause: t.cause }),
      })),
    };
  }

  async #beats(): Promise<void> {
    while (this.alive) {
      const next = this.clock.now + this.clock.between(2250, 3750);
      await this.clock.sleep(500);
      while (this.alive && !this.#changed && this.clock.now < next) await this.clock.sleep(100);
      if (!this.alive) return;
      if (this.hangs) continue;
      this.#changed = false;
      const sent = this.clock.now;
      const session = this.session;
      const r = await this.hooks.beat(this.nodes[this.#node] as string, this.report());
      if (!this.alive || this.hangs) continue;
      if (this.deaf) {
        this.#node = (this.#node + 1) % this.nodes.length;
        await this.clock.sleep(1000);
        continue;
      }
      const body = (r?.body ?? {}) as Body;
      if (r?.status === 200) {
        const token = Number(body.baton);
        if (session !== this.session || token < this.token || this.clock.now - sent > 4000)
          continue;
        if (token > this.token) this.#changed = true;
        this.token = token;
        this.#renewed = sent;
        this.#execute(body.orders as Body[]);
        continue;
      }
      const named = this.nodes.indexOf(String(body.foreman));
      if (r?.status === 421 && named >= 0 && named !== this.#node) this.#node = named;
      else {
        this.#node = (this.#node + 1) % this.nodes.length;
        await this.clock.sleep(1000);
      }
    }
  }

  #execute(orders: readonly Body[]): void {
    for (const o of orders) {
      const task = String(o.thread);
      const attempt = Number(o.try);
      const t = this.tasks.get(task);
      if (o.verb === "run") {
        if (t === undefined) this.#start(task, attempt);
      } else if (t !== undefined && t.attempt === attempt) {
        if (o.verb === "kill" && t.stage !== "ended") this.#end(t, "halted");
        if (o.verb === "forget" && t.stage === "ended") this.tasks.delete(task);
      }
    }
  }

  #start(task: string, attempt: number): void {
    const t: Task = { task, attempt, stage: "pulling" };
    this.tasks.set(task, t);
    this.#changed = true;
    this.clock.after(this.clock.between(...this.fetchMs), () => {
      if (this.tasks.get(task) !== t || t.stage !== "pulling") return;
      t.stage = "running";
      this.#changed = true;
      this.hooks.began(this, task);
      const cause = this.hooks.fails(task) ? "error" : "done";
      this.clock.after(this.hooks.runMs(task), () => {
        if (this.tasks.get(task) === t && t.stage === "running") this.#end(t, cause);
      });
    });
  }

  #end(t: Task, cause: string): void {
    if (t.stage === "running") this.hooks.left(this, t.task, cause === "done");
    t.stage = "ended";
    t.cause = cause;
    this.#changed = true;
  }

  /** A command or question sent straight here. */
  handle(path: string, body: Body | undefined): Out {
    if (path === "/status") return { status: 200, body: this.report() };
    const token = Number(body?.baton);
    const stale = token < this.token || Number(body?.shift) !== this.session;
    if (stale && this.heedsTokens) return { status: 409, body: this.report() };
    if (token > this.token) this.#changed = true;
    this.token = token;
    this.#execute(body?.orders as Body[]);
    return { status: 200, body: this.report() };
  }
}
