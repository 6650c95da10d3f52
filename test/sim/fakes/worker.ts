import type { TimeSource } from "../clock.js";

import type { Rented } from "./cloud.js";
import type { Body, Out } from "./message.js";

interface Task {
  readonly task: string;
  readonly attempt: number;
  stage: "pulling" | "running" | "ended";
  cause?: string;
}

export interface WorkerHooks {
  readonly began: (worker: FakeWorker, task: string) => void;
  readonly left: (worker: FakeWorker, task: string, done: boolean) => void;
  readonly runMs: (task: string) => number;
  /** Whether this start of a task ends with an error. */
  readonly fails: (task: string) => boolean;
  /** Sends a report to a controller; undefined if no answer came. */
  readonly heartbeat: (node: string, report: Body) => Promise<Out | undefined>;
}

/** One worker: tokens, sessions, its lease, and the commands. */
export class FakeWorker {
  alive = true;
  /** A hanging machine executes nothing and says nothing, and may come back. */
  hangs = false;
  /** Its reports arrive; answers and commands don't reach it. */
  deaf = false;
  /** Its reports reach no controller, while direct commands reach it. */
  mute = false;
  /** How long an image takes to come, from and to. */
  fetchMs: readonly [number, number] = [200, 1500];
  /** Whether it reports to the controller that it is sent to at once, or with its next report. */
  reportsAtOnce = false;
  /** A sabotaged worker executes commands whatever their token and session. */
  checksTokens = true;
  /** Where direct commands reach it. */
  endpoint: string;
  session = 1;
  seq = 0;
  token = 0;
  readonly tasks = new Map<string, Task>();
  #node = 0;
  #renewed: number;
  #changed = false;

  constructor(
    private readonly clock: TimeSource,
    readonly rented: Rented,
    private readonly nodes: readonly string[],
    private readonly leaseMs: number,
    private readonly hooks: WorkerHooks,
  ) {
    this.endpoint = `${rented.id}:1`;
    this.#renewed = clock.now;
    this.#node = Math.floor(clock.random() * nodes.length);
    void this.#heartbeats();
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
      endpoint: this.endpoint,
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

  async #heartbeats(): Promise<void> {
    while (this.alive) {
      const next = this.clock.now + this.clock.between(2250, 3750);
      await this.clock.sleep(500);
      while (this.alive && !this.#changed && this.clock.now < next) await this.clock.sleep(100);
      if (!this.alive) return;
      if (this.hangs) continue;
      this.#changed = false;
      const sent = this.clock.now;
      const session = this.session;
      const r = await this.hooks.heartbeat(this.nodes[this.#node] as string, this.report());
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
      if (r?.status === 421 && named >= 0 && named !== this.#node) {
        this.#node = named;
        this.#changed = this.reportsAtOnce;
      } else {
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
    if (stale && this.checksTokens) return { status: 409, body: this.report() };
    if (token > this.token) this.#changed = true;
    this.token = token;
    this.#execute(body?.orders as Body[]);
    return { status: 200, body: this.report() };
  }
}
