// One small deployment on loopback: controllers as processes of their own, started with the command
// of deploy/service.toml, and stand-ins for the state service, the cloud, the workers and the users.
// Keeps a record of what was sent, answered and run, and checks the rules of PROTOCOL-umberfold.md.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { Store } from "./store.mjs";
import { call, closeClients, freePorts, now, sleep } from "./wire.mjs";

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");

/** Settings like those of the first deployment of BRIEF-umberfold.md. */
export const SITE = {
  name: "ascendor-cluj",
  size: 3,
  zones: ["bucur-hall", "cluj-hall", "iasi-hall", "timis-hall"],
  skewMs: 250,
  workers: { report_s: 3, lease_s: 21, cancel_s: 46 },
  state: { rps: 250, write_rps: 50, value_kb: 8, txn_ops: 40 },
  cloud: { rps: 2, list_lag_s: 5 },
  resources: { cpu_share: 0.136, ram_mb: 178, max_sockets: 1200 },
  teams: Array.from({ length: 10 }, (_, i) => ({ name: `service-ops-0${i}`, cpus: 0, cpus_max: 0 })),
  objectives: [
    { kind: "wait", class: "fault-triage", within_s: 8, share: 0.95 },
    { kind: "wait", class: "fault-triage", within_s: 35, share: 0.95 },
    { kind: "finished", class: "fault-triage", within_s: 80, share: 0.95 },
    { kind: "finished", class: "visit-planning", within_s: 250, share: 0.96 },
  ],
  types: [
    { label: "octa-node", mills: ["cluj-hall", "iasi-hall", "timis-hall"], cpus: 8, gpus: 0, ramGb: 32, cacheGb: 30, pullGbPerS: 0.6, price: 0.36, spotPrice: 0.15, bootS: 50 },
    { label: "hexa-node", mills: ["bucur-hall", "cluj-hall", "iasi-hall", "timis-hall"], cpus: 16, gpus: 0, ramGb: 64, cacheGb: 40, pullGbPerS: 0.3, price: 0.79, spotPrice: 0.32, bootS: 30 },
  ],
};

/** Settings like those of the second deployment of BRIEF-umberfold.md. */
export const SITE_2 = {
  name: "bapsang-pangyo",
  size: 3,
  zones: ["pangyo-a", "guro-b", "songdo-c", "busan-d"],
  skewMs: 5,
  workers: { report_s: 3, lease_s: 29, cancel_s: 59 },
  state: { rps: 150, write_rps: 30, value_kb: 32, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 4 },
  resources: { cpu_share: 0.136, ram_mb: 306, max_sockets: 2500 },
  teams: Array.from({ length: 10 }, (_, i) => ({ name: `kitchen-platform-0${i}`, cpus: 32, cpus_max: 96 })),
  objectives: [
    { kind: "deadline", class: "order-close", times: 1, share: 0.95 },
    { kind: "deadline", class: "prep-sheets", times: 1, share: 0.9 },
    { kind: "guarantee", within_s: 10, share: 0.88 },
  ],
  types: [
    { label: "small-rack", mills: ["pangyo-a", "guro-b"], cpus: 4, gpus: 0, ramGb: 16, cacheGb: 70, pullGbPerS: 1, price: 0.18, spotPrice: 0.06, bootS: 35 },
    { label: "mid-rack", mills: ["pangyo-a", "guro-b"], cpus: 8, gpus: 0, ramGb: 32, cacheGb: 35, pullGbPerS: 0.2, price: 0.34, spotPrice: 0.1, bootS: 50 },
    { label: "large-rack", mills: ["pangyo-a", "guro-b", "songdo-c", "busan-d"], cpus: 16, gpus: 0, ramGb: 64, cacheGb: 40, pullGbPerS: 0.3, price: 0.73, spotPrice: 0.23, bootS: 25 },
  ],
};
/** What the cloud has of each type and zone: ordinary and spot machines. */
export const CAPACITY_2 = {
  "small-rack": { "pangyo-a": [3, 6], "guro-b": [5, 10] },
  "mid-rack": { "pangyo-a": [3, 3], "guro-b": [5, 5] },
  "large-rack": { "pangyo-a": [1, 1], "songdo-c": [1, 1], "busan-d": [1, 1], "guro-b": [1, 1] },
};

const real = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));

export class Cluster {
  nodes = new Map();
  jobs = new Map();
  violations = [];
  stopped = false;
  #record = [];
  #processes = new Map();
  #directory = mkdtempSync(path.join(tmpdir(), "review-"));
  #addresses = new Map();
  #on = new Map();

  constructor(site = SITE, options = {}) {
    this.site = site;
    this.options = options;
    this.store = new Store(site.state);
    this.cloud = new Cloud(
      {
        types: site.types,
        bootMs: options.bootMs ?? (() => 1500 + Math.random() * 1500),
        capacity: options.capacity ?? (() => 10),
        listLagS: site.cloud.list_lag_s,
        rps: site.cloud.rps,
        leaseS: site.workers.lease_s,
        reportS: site.workers.report_s,
      },
      this,
    );
  }

  record(event, fields = {}) {
    this.#record.push(`${(now() / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}`);
  }

  violation(rule, fields) {
    this.violations.push({ rule, ...fields });
    this.record(`VIOLATION ${rule}`, fields);
  }

  writeRecord(file) {
    writeFileSync(file, `${this.#record.join("\n")}\n`);
  }

  async start() {
    const { site } = this;
    const labels = Array.from({ length: site.size }, (_, i) => `loom-${i}`);
    const ports = await freePorts(2 * site.size);
    for (const [i, label] of labels.entries()) {
      this.nodes.set(label, `127.0.0.1:${ports[2 * i]}`);
      this.#addresses.set(label, {
        front: `127.0.0.1:${ports[2 * i]}`,
        internal: `127.0.0.1:${ports[2 * i + 1]}`,
        state: await this.store.listen(label),
      });
    }
    this.cloudAddress = await this.cloud.listen();
    for (const label of labels) {
      writeFileSync(this.#file(label), this.#settings(label));
      this.startNode(label);
    }
  }

  internalOf(label) {
    return this.#addresses.get(label).internal;
  }

  #file(label) {
    return path.join(this.#directory, `${label}.toml`);
  }

  #settings(label) {
    const { site } = this;
    const { front, internal, state } = this.#addresses.get(label);
    const area = this.options.areaOf?.(label) ?? site.zones[0];
    const seeds = [...this.#addresses].filter(([other]) => other !== label).map(
      ([other, each]) => `[[seeds]]\nlabel = "${other}"\narea = "${this.options.areaOf?.(other) ?? site.zones[0]}"\naddress = "${this.options.peerAddress?.(label, other) ?? each.internal}"\n`);
    const section = (name, fields, format) =>
      `[params.${name}]\n${Object.entries(fields).map(([key, value]) => `${key} = ${format(key, value)}`).join("\n")}\n`;
    const integers = new Set(["txn_ops", "max_sockets"]);
    const format = (key, value) => (integers.has(key) ? value : real(value));
    return [
      `label = "${label}"\narea = "${area}"\nfront = "${front}"\ninternal_addr = "${internal}"\n`,
      ...seeds,
      `[services]\ncloud = "${this.options.cloudAddress?.(label) ?? this.cloudAddress}"\nstate = "${state}"\n`,
      `[params]\nsize = ${site.size}\nzones = ${JSON.stringify(site.zones)}\nskew_ms = ${real(site.skewMs)}\n`,
      ...site.teams.map((team) => `[[params.teams]]\nname = "${team.name}"\ncpus = ${real(team.cpus)}\ncpus_max = ${real(team.cpus_max)}\ngpus = 0.0\ngpus_max = 0.0\n`),
      ...site.objectives.map((each) => `[[params.objectives]]\n${Object.entries(each).map(([key, value]) => `${key} = ${typeof value === "string" ? `"${value}"` : real(value)}`).join("\n")}\n`),
      section("workers", site.workers, format),
      section("state", site.state, format),
      section("cloud", site.cloud, format),
      section("resources", site.resources, format),
    ].join("\n");
  }

  /** Starts a controller with the command of the deploy file. */
  startNode(label) {
    const deploy = readFileSync(path.join(ROOT, "deploy/service.toml"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(program, [...args, this.#file(label)], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", "pipe"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
    });
    this.#processes.set(label, child);
    this.record("start", { label });
    createInterface({ input: child.stderr }).on("line", (line) => {
      if (line.includes('"event":"stats"')) return;
      this.record(`log ${label}`, line);
      this.options.onLog?.(label, line);
    });
    child.once("exit", (code, signal) => {
      this.record("exit", { label, code, signal });
      if (!this.stopped && signal !== "SIGKILL") this.violation("crash", { label, code, signal });
    });
  }

  signal(label, name) {
    this.record("signal", { label, name });
    this.#processes.get(label)?.kill(name);
  }

  kill(label) {
    this.signal(label, "SIGKILL");
  }

  async stop() {
    this.stopped = true;
    const exits = [...this.#processes.values()]
      .filter((child) => child.exitCode === null && child.signalCode === null)
      .map((child) => new Promise((resolve) => child.once("exit", resolve)));
    for (const child of this.#processes.values()) child.kill("SIGKILL");
    await Promise.all(exits);
    this.cloud.close();
    this.store.close();
    closeClients();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** The label of the leader, and of the owner of a team's shard, from the stored records. */
  leader() {
    return this.store.keys.get("now/leader")?.v.l;
  }
  shardOfTeam(team) {
    return this.store.keys.get("now/teams")?.v[team];
  }
  ownerOfTeam(team) {
    return this.store.keys.get(`now/share/${this.shardOfTeam(team)}`)?.v.l;
  }

  async until(what, test, timeoutMs, stepMs = 50) {
    const end = now() + timeoutMs;
    while (now() < end) {
      if (await test()) return true;
      await sleep(stepMs);
    }
    this.record("not reached", { what });
    return false;
  }

  ready() {
    return this.until(
      "all ready",
      async () => {
        const answers = await Promise.all([...this.nodes.values()].map((address) => call(address, "GET", "/ready", undefined, 1000)));
        return answers.every((answer) => answer?.status === 200);
      },
      30_000,
      200,
    );
  }

  // Users

  spec(uid, fields = {}) {
    return {
      uid, weave: "fault-triage", crew: "service-ops-00", pattern: "sweep", rank: "high", threads: 1,
      cpus: 4.5, gpus: 0, ramGb: 14.5, bolt: "img-07", imageGb: 0.1, frames: null, mill: null, oneZone: false,
      apart: false, remnant: true, expectS: 15.5, knotS: 0, spoolS: 0, dueS: null, ...fields,
    };
  }

  job(uid) {
    return this.jobs.get(uid)?.spec;
  }

  async ask(label, method, path_, body, timeoutMs) {
    const sentAt = now();
    const answer = await call(this.nodes.get(label), method, path_, body, timeoutMs);
    this.record("user", { label, method, path: path_, ms: Math.round(now() - sentAt), status: answer?.status, stage: answer?.body?.stage, uid: body?.uid });
    const uid = body?.uid ?? path_.split("/")[2];
    if (uid !== undefined) this.#check(uid, method, path_, answer, sentAt);
    return answer;
  }

  /** What a user may conclude from an answer, and what no later answer may take back. */
  #check(uid, method, path_, answer, sentAt) {
    const job = this.jobs.get(uid);
    const t = now();
    if (job === undefined) {
      if (answer?.status === 200) this.violation("invented", { uid });
      return;
    }
    const { status } = answer ?? {};
    const stage = answer?.body?.stage;
    if (job.acceptedAt !== undefined && sentAt > job.acceptedAt) {
      if (status === 404) this.violation("forgotten", { uid, why: "404", path: path_ });
      if (path_ === "/work" && (status === 400 || status === 422)) this.violation("forgotten", { uid, why: String(status) });
    }
    if (status === 200 || status === 201) {
      if (path_ === "/work") job.acceptedAt ??= t;
      if (job.told !== undefined && sentAt > job.told.at && stage !== job.told.stage) this.violation("went_back", { uid, from: job.told.stage, to: stage, path: path_ });
      if (stage === "cancelled" && job.withdrawnAt === undefined) this.violation("went_back", { uid, why: "nobody cancelled it" });
      if (stage === "done") {
        const open = Array.from({ length: job.spec.threads }, (_, i) => i).filter((i) => !job.done.has(i));
        if (open.length > 0) this.violation("not_done", { uid, open });
      }
      if ((stage === "done" || stage === "cancelled") && job.told === undefined) job.told = { stage, at: t };
    }
  }

  /** Submits a job, with the retries of the page; resolves to the last status. */
  async submit(spec, label = this.anyNode()) {
    const job = this.jobs.get(spec.uid) ?? { spec, done: new Set(), starts: 0 };
    this.jobs.set(spec.uid, job);
    const end = now() + 60_000;
    let status;
    while (now() < end && !this.stopped) {
      const answer = await this.ask(label, "POST", "/work", spec, 5000);
      status = answer?.status;
      if ([200, 201, 400, 422].includes(status)) return status;
      await sleep(1000 * Math.max(1, Number(answer?.headers["retry-after"] ?? 1)));
      label = this.anyNode();
    }
    return status;
  }

  poll(uid, label = this.anyNode()) {
    return this.ask(label, "GET", `/work/${uid}`, undefined, 2000);
  }

  /** Cancels a job, with the retries of the page. */
  async withdraw(uid, label = this.anyNode(), forMs = 60_000) {
    const job = this.jobs.get(uid);
    const end = now() + forMs;
    job.withdrawnAt ??= now();
    while (now() < end && !this.stopped) {
      const answer = await this.ask(label, "POST", `/work/${uid}/withdraw`, undefined, 5000);
      if (answer?.status === 200) return answer.body.stage;
      await sleep(1000 * Math.max(1, Number(answer?.headers["retry-after"] ?? 1)));
      label = this.anyNode();
    }
    return undefined;
  }

  anyNode() {
    const labels = [...this.nodes.keys()];
    return labels[Math.floor(Math.random() * labels.length)];
  }

  // What runs

  /** A task has its image: returns how long it runs, in milliseconds. */
  onTaskStarted(worker, { thread, try: attempt, from, baton }) {
    const [uid, index] = thread.split("/");
    const job = this.jobs.get(uid);
    const { id: loom } = worker;
    this.record("task on", { thread, try: attempt, loom, from, baton });
    const elsewhere = this.#on.get(thread);
    if (elsewhere !== undefined && elsewhere !== loom) this.violation("ran_twice", { thread, on: elsewhere, and: loom });
    const { machine } = worker;
    const { spec } = job;
    if (spec.frames !== null && !spec.frames.includes(machine.type)) this.violation("wrong_place", { thread, frame: machine.type });
    if (spec.mill !== null && spec.mill !== machine.zone) this.violation("wrong_place", { thread, mill: machine.zone });
    if (!spec.remnant && machine.spot) this.violation("wrong_place", { thread, remnant: true });
    const zones = [...this.#on].filter(([other]) => other.startsWith(`${uid}/`) && other !== thread).map(([, id]) => this.zoneOf(id));
    if (spec.oneZone && zones.some((zone) => zone !== machine.zone)) this.violation("wrong_place", { thread, zones });
    if (spec.apart && zones.filter((zone) => zone === machine.zone).length >= Math.ceil(spec.threads / 2)) this.violation("wrong_place", { thread, apart: zones });
    if (job.told?.stage === "cancelled") this.record("start after cancellation", { thread });
    this.#on.set(thread, loom);
    this.zones ??= new Map();
    this.zones.set(loom, machine.zone);
    job.starts++;
    const used = [...this.#on.keys()].map((each) => this.job(each.split("/")[0])).filter((each) => each.crew === spec.crew).reduce((sum, each) => sum + each.cpus, 0);
    const limit = this.site.teams.find(({ name }) => name === spec.crew)?.cpus_max ?? 0;
    if (limit > 0 && used > limit + 1e-9) this.violation("quota", { crew: spec.crew, used, limit });
    return job.done.has(Number(index)) ? 0 : (job.runMs?.(Number(index)) ?? spec.expectS * 1000);
  }

  zoneOf(loom) {
    return this.zones?.get(loom);
  }

  onTaskLeft(worker, { thread, try: attempt }, why) {
    const [uid, index] = thread.split("/");
    this.record("task off", { thread, try: attempt, loom: worker.id, why });
    if (this.#on.get(thread) === worker.id) this.#on.delete(thread);
    if (why === "done") this.jobs.get(uid).done.add(Number(index));
  }

  /** Tasks on machines, by name. */
  get on() {
    return this.#on;
  }

  /** Call often: tasks of jobs that a user was told are cancelled, beyond `cancel_s`. */
  checkCancelled() {
    const limitMs = this.site.workers.cancel_s * 1000;
    for (const [thread, loom] of this.#on) {
      const job = this.jobs.get(thread.split("/")[0]);
      if (job.told?.stage !== "cancelled" || now() - job.told.at <= limitMs) continue;
      if (!job.ranCancelled) this.violation("ran_cancelled", { thread, loom, overMs: Math.round(now() - job.told.at - limitMs) });
      job.ranCancelled = true;
    }
  }
}
