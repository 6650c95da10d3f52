// A stand-in for the cloud and for the workers on its machines, after the sections "Controller nodes
// -> cloud", "Workers -> controller nodes" and "Controller nodes -> workers" of
// PROTOCOL-umberfold.md.
import { call, NO_ANSWER, now, serve, sleep } from "./wire.mjs";

const between = (a, b) => a + Math.random() * (b - a);

export class Cloud {
  machines = new Map();
  workers = new Map();
  down = false;
  hires = new Map();
  snapshots = [];
  #count = 0;

  /**
   * `options`: types, bootMs(type), capacity, listLagS, rps, worker options; `world`: job(id), record,
   * nodes (label -> front address).
   */
  constructor(options, world) {
    this.options = options;
    this.world = world;
    this.tokens = options.rps * 2;
    this.at = now();
    this.timer = setInterval(() => this.#snapshot(), 200);
  }

  async listen() {
    this.server = await serve((method, path, body) => this.#handle(method, path, body));
    return this.server.address;
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
    for (const worker of this.workers.values()) worker.die();
  }

  #snapshot() {
    const t = now();
    this.snapshots.push({ t, rows: [...this.machines.values()].map((m) => this.#row(m, t)) });
    while (this.snapshots.length > 1 && this.snapshots[1].t < t - 2500 * this.options.listLagS) this.snapshots.shift();
  }

  #row(machine, t) {
    return {
      uid: machine.id,
      endpoint: machine.endpoint ?? "",
      frame: machine.type,
      mill: machine.zone,
      remnant: machine.spot,
      stage: machine.stage,
      heldS: (t - machine.rentedAt) / 1000,
    };
  }

  #handle(method, path, body) {
    const t = now();
    this.tokens = Math.min(this.options.rps * 2, this.tokens + ((t - this.at) / 1000) * this.options.rps);
    this.at = t;
    if (this.down) return { status: 503, body: { error: "trouble" } };
    if (this.tokens < 1) return { status: 429 };
    this.tokens--;
    const url = new URL(`http://c${path}`);
    if (url.pathname === "/flavors") return { status: 200, body: { frames: this.options.types } };
    if (url.pathname === "/machines/return") {
      this.world.record("return", { looms: body.looms });
      for (const id of body.looms ?? []) this.remove(id);
      return { status: 200, body: {} };
    }
    if (url.pathname === "/machines" && method === "POST") return this.#rent(body);
    const lag = this.options.listLagS * 1000;
    const shown = this.snapshots.findLast((each) => each.t <= t - lag) ?? { rows: [] };
    const after = url.searchParams.get("from") ?? "";
    const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
    const rows = shown.rows.filter((row) => row.uid > after);
    return { status: 200, body: { looms: rows.slice(0, limit), hasNext: rows.length > limit } };
  }

  #rent({ hire, frame, mill, remnant, count }) {
    const earlier = this.hires.get(hire);
    if (earlier !== undefined) return { status: 200, body: { looms: earlier } };
    const type = this.options.types.find(({ label }) => label === frame);
    if (type === undefined || !type.mills.includes(mill) || count > 50) return { status: 400 };
    const room = this.options.capacity(frame, mill, remnant === true) - [...this.machines.values()].filter(
      (m) => m.type === frame && m.zone === mill && m.spot === (remnant === true)).length;
    if (room <= 0) return { status: 503, body: { error: "no capacity" } };
    const ids = [];
    for (let i = 0; i < Math.min(room, count); i++) {
      const id = `m-${String(++this.#count).padStart(6, "0")}`;
      const machine = { id, type: frame, zone: mill, spot: remnant === true, stage: "starting", rentedAt: now() };
      this.machines.set(id, machine);
      ids.push(id);
      setTimeout(() => void this.#boot(machine, type), this.options.bootMs(type));
    }
    this.hires.set(hire, ids);
    this.world.record("rent", { hire, frame, mill, remnant, looms: ids });
    return { status: 200, body: { looms: ids } };
  }

  async #boot(machine, type) {
    if (!this.machines.has(machine.id)) return;
    const worker = new Worker(machine, type, this.options, this.world);
    await worker.start();
    if (!this.machines.has(machine.id)) return worker.die();
    machine.endpoint = worker.endpoint;
    machine.stage = "running";
    this.workers.set(machine.id, worker);
  }

  /** The machine stops by itself with all that is on it; the list shows it as running for 30 s more. */
  fail(id) {
    const worker = this.workers.get(id);
    this.workers.delete(id);
    worker?.die();
    setTimeout(() => {
      const machine = this.machines.get(id);
      if (machine !== undefined) machine.stage = "failed";
    }, 30_000).unref();
  }

  remove(id) {
    this.machines.delete(id);
    const worker = this.workers.get(id);
    this.workers.delete(id);
    worker?.die();
  }
}

export class Worker {
  shift = 1;
  tally = 0;
  baton = 0;
  /** By task and attempt. */
  tasks = new Map();
  images = new Set();
  alive = true;
  hanging = false;
  /** Its reports reach no controller. */
  mute = false;
  /** Answers and commands don't reach it. */
  deaf = false;
  /** `(label) => promise`: delays of a report on its way; `answerDelay` of its answer. */
  reportDelay = () => undefined;
  answerDelay = () => undefined;
  ordersDelay = () => undefined;
  #changed = true;

  constructor(machine, type, options, world) {
    this.machine = machine;
    this.type = type;
    this.options = options;
    this.world = world;
    this.renewedAt = now();
    this.labels = [...world.nodes.keys()];
    this.node = Math.floor(Math.random() * this.labels.length);
  }

  async start() {
    this.server = await serve((method, path, body) => this.#handle(method, path, body));
    this.endpoint = this.server.address;
    void this.#reports();
    void this.#lease();
  }

  die() {
    if (!this.alive) return;
    this.alive = false;
    for (const task of this.tasks.values()) this.#leave(task, "machine gone");
    this.server.close();
  }

  get id() {
    return this.machine.id;
  }

  #leave(task, why) {
    if (!task.on) return;
    task.on = false;
    this.world.onTaskLeft(this, task, why);
  }

  #report() {
    return {
      loom: this.id,
      endpoint: this.endpoint,
      frame: this.machine.type,
      mill: this.machine.zone,
      remnant: this.machine.spot,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      warningS: this.warningUntil === undefined ? null : Math.max(0, (this.warningUntil - now()) / 1000),
      threads: [...this.tasks.values()].map(({ thread, try: attempt, stage, cause, kept }) => ({
        thread,
        try: attempt,
        stage,
        ...(cause === undefined ? {} : { cause }),
        ...(kept === undefined ? {} : { kept }),
      })),
    };
  }

  async #awake() {
    while (this.alive && this.hanging) await sleep(20);
  }

  async #handle(_method, path, body) {
    const delay = this.ordersDelay(path, body);
    if (delay !== undefined) await delay;
    await this.#awake();
    if (!this.alive || this.deaf) return NO_ANSWER;
    if (path === "/status") return { status: 200, body: this.#report() };
    if (body?.baton === undefined || body?.shift === undefined) return { status: 400 };
    const ok = body.baton >= this.baton && body.shift === this.shift;
    if (ok) {
      this.#seen(body.baton);
      this.#execute(body.orders ?? [], "direct", body.baton);
    }
    this.repeatOrders?.(body, ok);
    this.world.record("orders", { loom: this.id, baton: body.baton, shift: body.shift, status: ok ? 200 : 409, orders: body.orders });
    return { status: ok ? 200 : 409, body: this.#report() };
  }

  /** A repeat of a request that was carried out arrives: executed if token and session still match. */
  repeat(body) {
    if (!this.alive || this.hanging || body.baton < this.baton || body.shift !== this.shift) return;
    this.#seen(body.baton);
    this.world.record("orders repeated", { loom: this.id, ...body });
    this.#execute(body.orders ?? [], "repeat", body.baton);
  }

  #seen(baton) {
    if (baton > this.baton) {
      this.baton = baton;
      this.#changed = true;
    }
  }

  async #lease() {
    const leaseMs = this.options.leaseS * 1000;
    while (this.alive) {
      await sleep(100);
      if (!this.alive || this.hanging || now() - this.renewedAt <= leaseMs) continue;
      for (const task of this.tasks.values()) this.#leave(task, "lease over");
      this.tasks.clear();
      this.shift++;
      this.renewedAt = now();
      this.#changed = true;
      this.world.record("lease over", { loom: this.id, shift: this.shift });
    }
  }

  async #reports() {
    const { reportS } = this.options;
    let due = 0;
    for (;;) {
      await sleep(50);
      if (!this.alive) return;
      if (this.hanging || now() < due - (this.#changed ? reportS * 1000 : 0)) {
        if (!(this.#changed && now() - (this.sentAt ?? -1e9) >= 500)) continue;
      }
      if (now() - (this.sentAt ?? -1e9) < 500) continue;
      this.#changed = false;
      const sentAt = now();
      this.sentAt = sentAt;
      const { shift } = this;
      const label = this.labels[this.node];
      const report = this.#report();
      const answer = await this.#send(label, report, sentAt);
      await this.#awake();
      if (!this.alive) return;
      due = sentAt + between(0.75, 1.25) * reportS * 1000;
      const late = now() - sentAt > 4000;
      if (!late && answer?.status === 200) {
        const { baton, orders } = answer.body ?? {};
        if (shift === this.shift && baton !== undefined && baton >= this.baton) {
          this.#seen(baton);
          this.renewedAt = sentAt;
          this.#execute(orders ?? [], label, baton);
        }
        continue;
      }
      const named = late ? -1 : this.labels.indexOf(answer?.body?.foreman);
      if (answer?.status === 421 && named >= 0 && named !== this.node) {
        this.node = named;
        await sleep(between(0, 500));
        due = 0;
      } else {
        this.node = (this.node + 1) % this.labels.length;
        await sleep(1000);
        due = 0;
      }
    }
  }

  async #send(label, report, sentAt) {
    const deliver = async () => {
      const delay = this.reportDelay(label, report);
      if (delay !== undefined) await delay;
      if (this.mute) return NO_ANSWER;
      this.copyReport?.(report);
      const answer = await call(this.world.nodes.get(label), "POST", "/agent/beat", report, 60_000);
      const after = this.answerDelay(label, answer);
      if (after !== undefined) await after;
      return this.deaf ? NO_ANSWER : answer;
    };
    const answer = await Promise.race([deliver(), sleep(4000 - (now() - sentAt)).then(() => undefined)]);
    if (answer === NO_ANSWER) {
      await sleep(4000 - (now() - sentAt));
      return undefined;
    }
    return answer;
  }

  #execute(orders, from, baton) {
    for (const { verb, thread, try: attempt, easeS } of orders) {
      const key = `${thread}#${attempt}`;
      const held = this.tasks.get(key);
      if (verb === "run" && held === undefined) this.#run(thread, attempt, key, from, baton);
      if (held === undefined) continue;
      if (verb === "kill" && held.stage !== "ended") this.#kill(held, easeS);
      if (verb === "forget" && held.stage === "ended") this.tasks.delete(key);
    }
  }

  #end(task, cause, extra = {}) {
    this.#leave(task, cause);
    Object.assign(task, { stage: "ended", cause, ...extra });
    this.#changed = true;
  }

  #kill(task, easeS) {
    const spec = this.world.job(task.thread.split("/")[0]);
    if (task.stage === "saving" && easeS > 0) return;
    if (task.stage === "running" && spec?.knotS > 0 && easeS >= spec.spoolS) {
      task.stage = "saving";
      this.#changed = true;
      setTimeout(() => {
        if (task.stage === "saving" && this.tasks.get(`${task.thread}#${task.try}`) === task)
          this.#end(task, "halted", { kept: true });
      }, spec.spoolS * 1000);
      return;
    }
    this.#end(task, "halted");
  }

  #run(thread, attempt, key, from, baton) {
    const task = { thread, try: attempt, stage: "pulling", from, baton, on: false };
    const spec = this.world.job(thread.split("/")[0]);
    const others = [...this.tasks.values()];
    this.tasks.set(key, task);
    this.#changed = true;
    if (spec === undefined) return this.#end(task, "unknown");
    if (others.some((other) => other.thread === thread)) return this.#end(task, "in_use");
    const used = { cpus: 0, gpus: 0, ramGb: 0 };
    for (const other of others) {
      if (other.stage === "ended") continue;
      const held = this.world.job(other.thread.split("/")[0]);
      for (const kind of Object.keys(used)) used[kind] += held[kind];
    }
    for (const kind of Object.keys(used))
      if (used[kind] + spec[kind] > this.type[kind] + 1e-9) return this.#end(task, "no_room");
    const fetchMs = this.images.has(spec.bolt) ? 0 : (spec.imageGb / this.type.pullGbPerS) * 1000;
    setTimeout(() => {
      if (!this.alive || this.tasks.get(key) !== task || task.stage !== "pulling") return;
      this.images.add(spec.bolt);
      task.stage = "running";
      task.on = true;
      this.#changed = true;
      const runMs = this.world.onTaskStarted(this, task);
      const step = async () => {
        let left = runMs;
        while (left > 0) {
          await sleep(Math.min(50, left));
          if (!this.alive || this.tasks.get(key) !== task || task.stage !== "running") return;
          if (!this.hanging) left -= 50;
        }
        if (task.stage === "running") this.#end(task, this.world.fails?.(this, task) ? "error" : "done");
      };
      void step();
    }, fetchMs);
  }
}
