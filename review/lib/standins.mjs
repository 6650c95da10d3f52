/**
 * Stand-ins for the review's cases: state service, cloud, workers, users, and the controllers as
 * processes of the deploy file. All addresses are on 127.0.0.1. The stand-ins follow
 * PROTOCOL-umberfold.md; a case adds its disruption through the hooks that are named here.
 */
import { spawn } from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { Encoder } from "cbor-x";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
export const encode = (value) => codec.encode(value);
export const decode = (bytes) => codec.decode(bytes);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
const HOST = "127.0.0.1";

/** Lines of `record.txt`, with seconds since the start. */
export class Record {
  #t0 = performance.now();
  #stream;
  constructor(file) {
    this.#stream = fs.createWriteStream(file);
  }
  get now() {
    return (performance.now() - this.#t0) / 1000;
  }
  line(who, text, data) {
    const tail = data === undefined ? "" : ` ${JSON.stringify(data)}`;
    this.#stream.write(`${this.now.toFixed(3).padStart(8)} ${who.padEnd(9)} ${text}${tail}\n`);
  }
  close() {
    return new Promise((resolve) => this.#stream.end(resolve));
  }
}

/** Serves `handle(method, url, body, request)`; undefined: the request stays unanswered. */
export const serve = (handle, port = 0) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      request.on("end", async () => {
        const bytes = Buffer.concat(chunks);
        const url = new URL(request.url, "http://stand-in");
        const answer = await handle(
          request.method,
          url,
          bytes.length === 0 ? undefined : decode(bytes),
          request,
        );
        if (answer === undefined || response.destroyed) return;
        const body = answer.body === undefined ? Buffer.alloc(0) : encode(answer.body);
        response.writeHead(answer.status, {
          "content-type": "application/cbor",
          "content-length": body.length,
        });
        response.end(body);
      });
    });
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    server.headersTimeout = 0;
    server.once("error", reject);
    server.listen(port, HOST, () => resolve(server));
  });
export const addressOf = (server) => `${HOST}:${server.address().port}`;

/** One call; undefined: no answer in time or a failed connection. */
export const call = (agent, address, method, target, body, timeoutMs) =>
  new Promise((resolve) => {
    const colon = address.lastIndexOf(":");
    const payload = body === undefined ? undefined : encode(body);
    const request = http.request({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      method,
      path: target,
      agent,
      headers:
        payload === undefined
          ? {}
          : { "content-type": "application/cbor", "content-length": payload.length },
    });
    const timer = setTimeout(() => {
      resolve(undefined);
      request.destroy();
    }, timeoutMs);
    const end = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on("error", () => end(undefined));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => end(undefined));
      response.on("aborted", () => end(undefined));
      response.on("end", () => {
        const bytes = Buffer.concat(chunks);
        end({
          status: response.statusCode,
          body: bytes.length === 0 ? undefined : decode(bytes),
          retryAfterS: Number(response.headers["retry-after"]) || undefined,
        });
      });
    });
    request.end(payload);
  });

/**
 * The state service. Each controller has its own port, so that one alone can be refused.
 * Hooks: `onTxn(label, body)` may return `{lateMs}`: the transaction gets no answer and is carried
 * out that much later; `isRefused(label)`: every call but an open watch gets 503.
 */
export class StateService {
  keys = new Map();
  ledger = 0;
  onTxn = () => undefined;
  isRefused = () => false;
  /** How long a call waits before it is handled; undefined: not at all. */
  delay = undefined;
  limits = { valueKb: Number.POSITIVE_INFINITY, txnOps: Number.POSITIVE_INFINITY };
  #log = [];
  #waiting = new Set();
  #leases = new Map();
  #leaseCount = 0;
  #servers = [];
  constructor(record) {
    this.record = record;
    this.timer = setInterval(() => this.#expire(), 20);
  }
  async open(label) {
    const server = await serve((...args) => this.#handle(label, ...args));
    this.#servers.push(server);
    return addressOf(server);
  }
  close() {
    clearInterval(this.timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }
  /** Every lease has its full time again, as after an outage. */
  renewAll() {
    for (const lease of this.#leases.values()) lease.until = performance.now() + lease.ttlMs;
  }
  isOut = false;
  #expire() {
    if (this.isOut) return;
    for (const [id, { until }] of this.#leases) if (until < performance.now()) this.#end(id);
  }
  #end(id) {
    this.#leases.delete(id);
    const attached = [...this.keys].filter(([, { lease }]) => lease === id);
    if (attached.length === 0) return;
    this.ledger++;
    for (const [key] of attached) this.#change({ drop: key });
    this.#wake();
  }
  #change({ write, v, tenure, drop }) {
    const mark = this.ledger;
    if (write === undefined) {
      this.keys.delete(drop);
      this.#log.push({ key: drop, entry: { drop, mark } });
    } else {
      this.keys.set(write, { v, mark, lease: tenure });
      this.#log.push({ key: write, entry: { write, v, mark } });
    }
  }
  #wake() {
    for (const wake of this.#waiting) wake();
  }
  async #handle(label, method, url, body) {
    const { pathname: target, searchParams: query } = url;
    if (target === "/follow") return this.#follow(label, query);
    await sleep(2);
    await this.delay?.();
    if (this.isOut || this.isRefused(label)) return { status: 503, body: { error: "trouble" } };
    if (target === "/txn") {
      const hook = this.onTxn(label, body);
      if (hook?.lateMs !== undefined) {
        this.record.line("state", `transaction of ${label} gets no answer`, body.apply);
        setTimeout(() => {
          const late = this.transact(body);
          this.record.line("state", `late transaction of ${label} carried out`, late);
        }, hook.lateMs);
        return undefined;
      }
      return this.transact(body);
    }
    if (target === "/grants" && method === "POST") {
      const id = ++this.#leaseCount;
      this.#leases.set(id, { ttlMs: body.ttlMs, until: performance.now() + body.ttlMs });
      return { status: 200, body: { tenure: id } };
    }
    const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(target);
    if (grant) {
      const lease = this.#leases.get(Number(grant[1]));
      if (method === "DELETE") this.#end(Number(grant[1]));
      else if (lease === undefined) return { status: 404 };
      else lease.until = performance.now() + lease.ttlMs;
      return { status: 200, body: {} };
    }
    if (target === "/store") return this.#scan(query);
    const key = target.slice("/store/".length);
    const found = this.keys.get(key);
    return found === undefined
      ? { status: 404, body: { ledger: this.ledger } }
      : { status: 200, body: { path: key, v: found.v, mark: found.mark } };
  }
  #scan(query) {
    const starts = query.get("starts") ?? "";
    const from = query.get("from") ?? "";
    const limit = Math.min(1000, Number(query.get("limit") ?? 1000));
    const all = [...this.keys]
      .filter(([key]) => key.startsWith(starts) && key > from)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all.slice(0, limit).map(([key, { v, mark }]) => ({ path: key, v, mark }));
    return { status: 200, body: { items, hasNext: all.length > limit, ledger: this.ledger } };
  }
  transact({ if: conditions = [], apply }) {
    if (apply !== undefined) {
      const isLarge = ({ v }) =>
        v !== undefined && JSON.stringify(v).length > this.limits.valueKb * 1024;
      if (apply.length > this.limits.txnOps || apply.some(isLarge))
        return { status: 400, body: { error: "too large" } };
    }
    const failed = conditions.filter(({ path: key, mark }) => (this.keys.get(key)?.mark ?? 0) !== Number(mark));
    const hasLease = ({ tenure }) => tenure === undefined || this.#leases.has(Number(tenure));
    if (apply !== undefined && !apply.every(hasLease))
      return { status: 400, body: { error: "no such lease" } };
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map((each) => each.path), ledger: this.ledger } };
    if (apply !== undefined && apply.length > 0) {
      this.ledger++;
      for (const each of apply) this.#change(each);
      this.#wake();
    }
    return { status: 200, body: { ledger: this.ledger } };
  }
  async #follow(label, query) {
    const starts = query.get("starts") ?? "";
    const from = Number(query.get("from"));
    const until = performance.now() + Number(query.get("blockMs") ?? 0);
    for (;;) {
      if (!this.isOut && !this.isRefused(label)) {
        const log = this.#log.filter(({ key, entry }) => entry.mark > from && key.startsWith(starts));
        if (log.length > 0 || performance.now() >= until)
          return { status: 200, body: { ledger: this.ledger, log: log.map(({ entry }) => entry) } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(() => done(), 100);
        const done = () => {
          clearTimeout(timer);
          this.#waiting.delete(done);
          resolve();
        };
        this.#waiting.add(done);
      });
    }
  }
}

/**
 * The cloud. `capacity` machines can be up at once; `onUp(machine)` begins a worker and
 * `onGone(id)` ends it. Hook `isDown()`: every call gets 503 trouble.
 */
export class Cloud {
  machines = new Map();
  isDown = () => false;
  #hires = new Map();
  #count = 0;
  constructor(record, { types, capacity, bootS, onUp, onGone }) {
    Object.assign(this, { record, types, capacity, bootS, onUp, onGone });
  }
  #servers = [];
  /** Machines returned so far, and the controller that asked for it. */
  returns = [];
  /** Each controller has its own port, so that its calls are told apart. */
  async open(label) {
    const server = await serve((...args) => this.#handle(label, ...args));
    this.#servers.push(server);
    return addressOf(server);
  }
  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }
  /** A new machine that is up after `bootS`. */
  add({ frame, mill, remnant }, bootS = this.bootS) {
    const uid = `m-${String(++this.#count).padStart(6, "0")}`;
    const machine = { uid, frame, mill, remnant, stage: "starting", endpoint: "", at: performance.now() };
    this.machines.set(uid, machine);
    setTimeout(() => {
      if (this.machines.get(uid) !== machine) return;
      Promise.resolve(this.onUp(machine)).then((endpoint) => {
        machine.stage = "running";
        machine.endpoint = endpoint;
      });
    }, bootS * 1000);
    return machine;
  }
  /** The machine and all on it are gone. */
  remove(uid) {
    if (!this.machines.delete(uid)) return;
    this.onGone(uid);
  }
  #handle(label, method, url, body) {
    if (this.isDown()) return { status: 503, body: { error: "trouble" } };
    if (url.pathname === "/flavors") return { status: 200, body: { frames: this.types } };
    if (url.pathname === "/machines/return") {
      this.record.line("cloud", `machines returned by ${label}`, body.looms);
      for (const uid of body.looms) {
        if (this.machines.has(uid)) this.returns.push({ uid, label });
        this.remove(uid);
      }
      return { status: 200, body: {} };
    }
    if (url.pathname === "/machines" && method === "POST") {
      const known = this.#hires.get(body.hire);
      if (known !== undefined) return { status: 200, body: { looms: known } };
      const count = Math.min(body.count, this.capacity - this.machines.size);
      if (count <= 0) return { status: 503, body: { error: "no capacity" } };
      const looms = Array.from({ length: count }, () => this.add(body).uid);
      this.#hires.set(body.hire, looms);
      this.record.line("cloud", `rented under ${body.hire}`, looms);
      return { status: 200, body: { looms } };
    }
    const from = url.searchParams.get("from") ?? "";
    const looms = [...this.machines.values()]
      .filter(({ uid }) => uid > from)
      .map(({ at, ...machine }) => ({ ...machine, heldS: (performance.now() - at) / 1000 }));
    return { status: 200, body: { looms: looms.slice(0, 500), hasNext: looms.length > 500 } };
  }
}

/**
 * A worker. `jobs`: descriptions that users uploaded, by job. `events(kind, machine, task, try)` is
 * told `start` (the task has its image) and `end`. Hook `onOrders(body)` may return `{lateMs}`: the
 * command gets no answer and is carried out that much later, if token and session still match.
 */
export class Worker {
  epoch = 1;
  tally = 0;
  token = 0;
  tasks = new Map();
  /** When each image was, or will be, fetched. */
  images = new Map();
  isAlive = true;
  /** A hanging machine neither reads nor sends nor runs its tasks, and may go on later. */
  isHanging = false;
  /** Its reports arrive; answers and direct commands to it are lost. */
  isDeaf = false;
  /** Its reports reach no controller, while direct commands reach it. */
  isMute = false;
  onOrders = () => undefined;
  onReport = () => undefined;
  #index;
  #changed = false;
  #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  constructor(record, machine, { type, nodes, jobs, results, events, reportS, leaseS, pullS = 0.3 }) {
    Object.assign(this, { record, machine, type, nodes, jobs, results, events, reportS, leaseS, pullS });
    this.#index = Math.floor(Math.random() * nodes.length);
    this.renewedAt = performance.now();
  }
  async start() {
    this.server = await serve((...args) => this.#handle(...args));
    this.endpoint = addressOf(this.server);
    this.leaseTimer = setInterval(() => this.#checkLease(), 100);
    void this.#reports();
    return this.endpoint;
  }
  stop() {
    if (!this.isAlive) return;
    this.isAlive = false;
    clearInterval(this.leaseTimer);
    this.#drop();
    this.#agent.destroy();
    this.server.close();
    this.server.closeAllConnections();
  }
  /** The controller to which it reports. */
  get node() {
    return this.nodes[this.#index];
  }
  /** Refuses new connections, and closes idle ones, until `accept`; open requests go on. */
  refuse() {
    this.port = this.server.address().port;
    this.server.close();
    this.server.closeIdleConnections();
    this.record.line(this.machine.uid, "new connections are reset from now on");
  }
  accept() {
    if (!this.isAlive || this.server.listening) return;
    this.server.listen(this.port, HOST);
    this.record.line(this.machine.uid, "new connections are accepted again");
  }
  #drop() {
    for (const task of this.tasks.values()) if (task.stage !== "ended") this.#end(task, "dropped");
    this.tasks.clear();
  }
  #checkLease() {
    if (this.isHanging) return;
    if (performance.now() - this.renewedAt <= this.leaseS * 1000) return;
    this.record.line(this.machine.uid, `lease over, session ${this.epoch} ends`);
    this.#drop();
    this.epoch++;
    this.renewedAt = performance.now();
    this.#changed = true;
  }
  report() {
    const { uid, frame, mill, remnant } = this.machine;
    return {
      loom: uid, endpoint: this.endpoint, frame, mill, remnant,
      shift: this.epoch, tally: ++this.tally, baton: this.token, warningS: null,
      threads: [...this.tasks.values()].map(({ thread, attempt, stage, cause, kept }) => ({
        thread, try: attempt, stage, ...(cause ? { cause } : {}), ...(kept ? { kept } : {}),
      })),
    };
  }
  async #reports() {
    while (this.isAlive) {
      const due = performance.now() + this.reportS * 1000 * (0.75 + Math.random() / 2);
      await sleep(500);
      while (this.isAlive && (this.isHanging || (!this.#changed && performance.now() < due))) await sleep(50);
      if (!this.isAlive) return;
      this.#changed = false;
      let hops = 0;
      for (;;) {
        const sentAt = performance.now();
        const { epoch } = this;
        const body = this.report();
        const node = this.nodes[this.#index];
        if (!this.isMute) this.onReport(node, body);
        let answer = this.isMute
          ? await sleep(1000)
          : await call(this.#agent, node.front, "POST", "/agent/beat", body, 4000);
        while (this.isHanging && this.isAlive) await sleep(50);
        if (!this.isAlive) return;
        if (this.isDeaf) answer = undefined;
        if (answer?.status !== this.lastStatus || answer?.status === 200 && answer.body.orders.length > 0)
          this.record.line(this.machine.uid, `report to ${node.label}: ${answer?.status ?? "no answer"}`, {
            baton: body.baton, shift: body.shift, threads: body.threads, ...(answer?.body ?? {}),
          });
        this.lastStatus = answer?.status;
        if (answer?.status === 200) {
          this.#accept(answer.body, sentAt, epoch);
          break;
        }
        const foreman = this.nodes.findIndex(({ label }) => label === answer?.body?.foreman);
        if (answer?.status === 421 && foreman >= 0 && foreman !== this.#index && hops++ < 3) {
          this.#index = foreman;
          await sleep(200);
          continue;
        }
        this.#index = (this.#index + 1) % this.nodes.length;
        await sleep(1000);
      }
    }
  }
  #accept({ baton, orders }, sentAt, epoch) {
    if (epoch !== this.epoch || !(Number(baton) >= this.token)) return;
    if (performance.now() - sentAt > 4000) return;
    this.#see(Number(baton));
    this.renewedAt = sentAt;
    this.#execute(orders);
  }
  #see(token) {
    if (token > this.token) this.#changed = true;
    this.token = Math.max(this.token, token);
  }
  async #handle(method, url, body) {
    while (this.isHanging && this.isAlive) await sleep(20);
    if (!this.isAlive || this.isDeaf) return undefined;
    if (url.pathname === "/status") return { status: 200, body: this.report() };
    const hook = this.onOrders(body);
    if (hook?.lateMs !== undefined) {
      this.record.line(this.machine.uid, "command held up", body);
      setTimeout(() => {
        if (!this.isAlive) return;
        const answer = this.#order(body);
        this.record.line(this.machine.uid, `late command: ${answer.status}`, body);
      }, hook.lateMs);
      return undefined;
    }
    const answer = this.#order(body);
    if (body.orders.length > 0)
      this.record.line(this.machine.uid, `command: ${answer.status}`, body);
    return answer;
  }
  #order(body) {
    if (body.baton === undefined || body.shift === undefined) return { status: 400 };
    if (Number(body.baton) < this.token || Number(body.shift) !== this.epoch)
      return { status: 409, body: this.report() };
    this.#see(Number(body.baton));
    this.#execute(body.orders);
    return { status: 200, body: this.report() };
  }
  #execute(orders) {
    for (const { verb, thread, try: attempt, easeS } of orders) {
      const key = `${thread}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === "run" && task === undefined) this.#run(key, thread, Number(attempt));
      if (verb === "kill" && task !== undefined && task.stage !== "ended") this.#kill(task, easeS);
      if (verb === "forget" && task?.stage === "ended") {
        this.tasks.delete(key);
        this.#changed = true;
      }
    }
  }
  #kill(task, easeS) {
    const { spec } = task;
    if (task.stage === "running" && spec.knotS > 0 && easeS >= spec.spoolS) {
      task.stage = "saving";
      this.#changed = true;
      setTimeout(() => task.stage === "saving" && this.#end(task, "halted", true), spec.spoolS * 1000);
    } else this.#end(task, "halted");
  }
  #end(task, cause, kept = false) {
    if (task.stage !== "pulling" && task.isOn) this.events("end", this.machine, task.thread, task.attempt, cause);
    task.isOn = false;
    task.stage = "ended";
    task.cause = cause;
    task.kept = kept;
    this.#changed = true;
  }
  #used() {
    const used = { cpus: 0, ramGb: 0 };
    for (const { stage, spec } of this.tasks.values()) {
      if (stage === "ended") continue;
      used.cpus += spec.cpus;
      used.ramGb += spec.ramGb;
    }
    return used;
  }
  #run(key, thread, attempt) {
    const spec = this.jobs.get(thread.slice(0, thread.indexOf("/")));
    const task = { thread, attempt, stage: "pulling", spec };
    const refuse = (cause) => this.tasks.set(key, { ...task, stage: "ended", cause });
    this.#changed = true;
    if (spec === undefined) return refuse("unknown");
    if ([...this.tasks.values()].some((other) => other.thread === thread && other.stage !== "ended"))
      return refuse("in_use");
    const used = this.#used();
    if (used.cpus + spec.cpus > this.type.cpus || used.ramGb + spec.ramGb > this.type.ramGb)
      return refuse("no_room");
    this.tasks.set(key, task);
    const begin = () => {
      if (!this.isAlive || this.tasks.get(key) !== task || task.stage !== "pulling") return;
      if (this.isHanging) return void setTimeout(begin, 100);
      if (this.results.has(thread)) return this.#end(task, "done");
      task.stage = "running";
      task.isOn = true;
      this.#changed = true;
      this.events("start", this.machine, thread, attempt);
      const complete = () => {
        if (this.tasks.get(key) !== task || task.stage !== "running" || !this.isAlive) return;
        if (this.isHanging) return void setTimeout(complete, 100);
        this.results.add(thread);
        this.#end(task, "done");
      };
      setTimeout(complete, spec.runS * 1000);
    };
    // An image that was fetched before is in the cache.
    const { bolt } = spec;
    const fetchedAt = this.images.get(bolt) ?? performance.now() + this.pullS * 1000;
    this.images.set(bolt, fetchedAt);
    setTimeout(begin, Math.max(0, fetchedAt - performance.now()));
  }
}

/** Free ports below those that the system gives to outgoing connections. */
const freePorts = async (count) => {
  const ports = new Set();
  while (ports.size < count) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    const isFree = await new Promise((resolve) => {
      const server = net.createServer();
      server.once("error", () => resolve(false));
      server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
    if (isFree) ports.add(port);
  }
  return [...ports];
};

const deployCommand = () => {
  const text = fs.readFileSync(path.join(ROOT, "deploy/service.toml"), "utf8");
  return JSON.parse(/^run\s*=\s*(".*")\s*$/m.exec(text)[1]).split(/\s+/);
};

/** Controllers as processes of the deploy file. */
export class Controllers {
  nodes = [];
  #processes = new Map();
  constructor(record) {
    this.record = record;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "umberfold-review-"));
  }
  /** `peerVia(from, to)`: the address at which `from` reaches `to`; default: its own. */
  async prepare(count, site, { stateOf, cloudOf, peerVia }) {
    const ports = await freePorts(2 * count);
    this.nodes = Array.from({ length: count }, (_, i) => ({
      label: `loom-${i}`,
      front: `${HOST}:${ports[2 * i]}`,
      internal: `${HOST}:${ports[2 * i + 1]}`,
    }));
    for (const node of this.nodes) {
      const seeds = [];
      for (const other of this.nodes)
        if (other !== node)
          seeds.push({ label: other.label, address: (await peerVia?.(node, other)) ?? other.internal });
      const state = await stateOf(node.label);
      const cloud = await cloudOf(node.label);
      fs.writeFileSync(this.#file(node.label), settings(node, seeds, { state, cloud, count, ...site }));
    }
  }
  #file(label) {
    return path.join(this.folder, `${label}.toml`);
  }
  start(label) {
    const [program, ...args] = deployCommand();
    const child = spawn(program, [...args, this.#file(label)], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", "pipe"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
    });
    this.#processes.set(label, child);
    let rest = "";
    child.stderr.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      for (const line of lines) if (!line.includes('"stats"')) this.record.line(label, line);
    });
    child.on("exit", (code, signal) => this.record.line(label, `process ended: ${code ?? signal}`));
  }
  startAll() {
    for (const { label } of this.nodes) this.start(label);
  }
  signal(label, name) {
    this.record.line(label, `signal ${name}`);
    this.#processes.get(label)?.kill(name);
  }
  close() {
    for (const child of this.#processes.values()) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

const settings = (node, seeds, site) => `label = "${node.label}"
area = "${site.area}"
front = "${node.front}"
internal_addr = "${node.internal}"
${seeds.map(({ label, address }) => `
[[seeds]]
label = "${label}"
area = "${site.area}"
address = "${address}"
`).join("")}
[services]
cloud = "${site.cloud}"
state = "${site.state}"

[params]
size = ${site.count}
zones = ${JSON.stringify(site.zones)}
skew_ms = 250.0
${site.teams.map(({ name, cpus = 0, cpusMax = 0 }) => `
[[params.teams]]
name = "${name}"
cpus = ${cpus.toFixed(1)}
cpus_max = ${cpusMax.toFixed(1)}
gpus = 0.0
gpus_max = 0.0
`).join("")}
[params.workers]
report_s = ${site.reportS.toFixed(1)}
lease_s = ${site.leaseS.toFixed(1)}
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = ${site.cancelS.toFixed(1)}

[params.state]
rps = ${site.state_.rps.toFixed(1)}
write_rps = ${site.state_.writeRps.toFixed(1)}
value_kb = ${site.state_.valueKb.toFixed(1)}
txn_ops = ${site.state_.txnOps}
${site.state_.next === undefined ? "" : `
[params.state.next]
rps = ${site.state_.next.rps.toFixed(1)}
write_rps = ${site.state_.next.writeRps.toFixed(1)}
value_kb = ${site.state_.next.valueKb.toFixed(1)}
txn_ops = ${site.state_.next.txnOps}
`}
[params.cloud]
rps = ${site.cloudRps.toFixed(1)}
list_lag_s = ${site.listLagS.toFixed(1)}

[params.resources]
cpu_share = 0.136
ram_mb = ${site.ramMb.toFixed(1)}
max_sockets = ${site.maxSockets}
`;

/** The two deployments of the brief, without their teams. */
export const SITES = {
  "ascendor-cluj": {
    area: "bucur-hall", zones: ["bucur-hall", "cluj-hall", "iasi-hall", "timis-hall"],
    reportS: 3, leaseS: 21, cancelS: 46,
    state_: { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
    cloudRps: 2, listLagS: 5, ramMb: 178, maxSockets: 1200,
    types: [
      { label: "octa-node", cpus: 8, gpus: 0, ramGb: 32, cacheGb: 30, pullGbPerS: 0.6, price: 0.36,
        spotPrice: 0.15, bootS: 50, mills: ["cluj-hall", "iasi-hall", "timis-hall"] },
    ],
  },
  "bapsang-pangyo": {
    area: "pangyo-a", zones: ["pangyo-a", "songdo-c"],
    reportS: 3, leaseS: 29, cancelS: 59,
    state_: { rps: 150, writeRps: 30, valueKb: 32, txnOps: 16 },
    cloudRps: 4, listLagS: 4, ramMb: 306, maxSockets: 2500,
    types: [
      { label: "mid-rack", cpus: 8, gpus: 0, ramGb: 32, cacheGb: 40, pullGbPerS: 0.5, price: 0.34,
        spotPrice: 0.1, bootS: 50, mills: ["pangyo-a", "songdo-c"] },
      { label: "large-rack", cpus: 16, gpus: 0, ramGb: 64, cacheGb: 60, pullGbPerS: 0.5, price: 0.73,
        spotPrice: 0.23, bootS: 25, mills: ["pangyo-a", "songdo-c"] },
    ],
  },
};

/** A whole small deployment: service processes, stand-ins, and the users' calls. */
export class Cluster {
  workers = new Map();
  jobs = new Map();
  results = new Set();
  /** What is on which machine: by task, then by machine. */
  on = new Map();
  starts = [];
  ends = [];
  violations = [];
  #agent = new http.Agent({ keepAlive: true });
  #uid = 411;
  constructor(recordFile, site, { teams, capacity, bootS = 1.5, controllers = 3, pullS, peerVia }) {
    this.record = new Record(recordFile);
    this.site = { ...site, teams };
    this.state = new StateService(this.record);
    this.controllers = new Controllers(this.record);
    this.cloud = new Cloud(this.record, {
      types: site.types, capacity, bootS,
      onUp: (machine) => this.#up(machine, pullS),
      onGone: (uid) => this.workers.get(uid)?.stop(),
    });
    this.options = { controllers, peerVia };
  }
  async prepare() {
    await this.controllers.prepare(this.options.controllers, this.site, {
      cloudOf: (label) => this.cloud.open(label),
      stateOf: (label) => this.state.open(label),
      peerVia: this.options.peerVia,
    });
  }
  async #up(machine, pullS) {
    const { reportS, leaseS, types } = this.site;
    const worker = new Worker(this.record, machine, {
      type: types.find(({ label }) => label === machine.frame),
      nodes: this.controllers.nodes, jobs: this.jobs, results: this.results,
      events: (...event) => this.#event(...event), reportS, leaseS, pullS,
    });
    this.workers.set(machine.uid, worker);
    const endpoint = await worker.start();
    this.onWorker?.(worker);
    this.record.line(machine.uid, `worker up at ${endpoint}`);
    return endpoint;
  }
  #event(kind, machine, thread, attempt, cause) {
    const at = this.record.now;
    this.record.line(machine.uid, `task ${thread} try ${attempt} ${kind}${cause ? ` (${cause})` : ""}`);
    const machines = this.on.get(thread) ?? new Set();
    this.on.set(thread, machines);
    if (kind === "start") {
      if (machines.size > 0)
        this.violation("ran_twice", `${thread} starts on ${machine.uid} while it is on ${[...machines]}`);
      machines.add(machine.uid);
      this.starts.push({ at, machine, thread, attempt });
    } else {
      machines.delete(machine.uid);
      this.ends.push({ at, machine, thread, attempt, cause });
    }
  }
  violation(rule, text) {
    this.violations.push({ rule, text });
    this.record.line("check", `${rule}: ${text}`);
  }
  /** A call of a user to one controller. */
  async ask(label, method, target, body, timeoutMs) {
    const { front } = this.controllers.nodes.find((node) => node.label === label);
    const answer = await call(this.#agent, front, method, target, body, timeoutMs);
    if (target !== "/ready")
      this.record.line("user", `${method} ${target} at ${label}: ${answer?.status ?? "no answer"}`, answer?.body);
    return answer;
  }
  async ready(label, withinS = 20) {
    const until = this.record.now + withinS;
    while (this.record.now < until) {
      if ((await this.ask(label, "GET", "/ready", undefined, 1000))?.status === 200) return true;
      await sleep(100);
    }
    return false;
  }
  job(fields) {
    const uid = `wk-${String(++this.#uid).padStart(6, "0")}`;
    const { runS = 10, ...rest } = fields;
    const spec = {
      uid, weave: "order-close", crew: "", pattern: "sweep", rank: "high", threads: 1,
      cpus: 2, gpus: 0, ramGb: 4, bolt: "img-01", imageGb: 0.5, frames: null, mill: null,
      oneZone: false, apart: false, remnant: true, expectS: runS, knotS: 0, spoolS: 0, dueS: null,
      ...rest,
    };
    this.jobs.set(uid, { ...spec, runS });
    return spec;
  }
  /** Submits at the nodes in turn, as the page says, until the job is accepted or 60 s are over. */
  async submit(spec, labels = this.controllers.nodes.map(({ label }) => label)) {
    const until = this.record.now + 60;
    for (let n = 0; this.record.now < until; n++) {
      const answer = await this.ask(labels[n % labels.length], "POST", "/work", spec, 5000);
      if (answer?.status === 201 || answer?.status === 200) return true;
      if (answer?.status === 400 || answer?.status === 422) return false;
      await sleep(Math.max(1, answer?.retryAfterS ?? 1) * 1000);
    }
    return false;
  }
  /** Asks for a cancellation until it is answered; the stage in the answer. */
  async withdraw(uid, labels = this.controllers.nodes.map(({ label }) => label)) {
    const until = this.record.now + 60;
    for (let n = 0; this.record.now < until; n++) {
      const answer = await this.ask(labels[n % labels.length], "POST", `/work/${uid}/withdraw`, undefined, 5000);
      if (answer?.status === 200) return answer.body.stage;
      await sleep(1000);
    }
    return undefined;
  }
  poll(uid, label) {
    return this.ask(label, "GET", `/work/${uid}`, undefined, 2000);
  }
  async close() {
    this.isClosed = true;
    this.controllers.close();
    for (const worker of this.workers.values()) worker.stop();
    this.cloud.close();
    this.state.close();
    this.#agent.destroy();
    await this.record.close();
  }
}

/** Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (cluster, play, limitS = 115) => {
  let code = 2;
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"])
    process.once(signal, () => cluster.close().finally(() => process.exit(2)));
  const timeout = sleep(limitS * 1000).then(() => ({ isOver: true }));
  try {
    const result = await Promise.race([play(cluster), timeout]);
    if (result?.isOver) cluster.record.line("check", "could not run: out of time");
    else code = result.code;
    const text = ["rule held", "rule broken", "could not run"][code];
    cluster.record.line("check", `${text}: ${result?.text ?? ""}`);
    console.log(`${text}: ${result?.text ?? ""}`);
  } catch (error) {
    cluster.record.line("check", `could not run: ${error.stack}`);
    console.log(`could not run: ${error.stack}`);
  }
  await cluster.close();
  process.exit(code);
};
export const TROUBLE = process.env.TROUBLE !== "0";
