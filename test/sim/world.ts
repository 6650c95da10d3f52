import { incarnation } from "@umberfold/ids";
import { defaultOperators } from "../../src/config/operators.js";
import { defaultPackages, type PackageSettings } from "../../src/config/packages.js";
import { makeLogger } from "../../src/observability/log.js";
import { decode, encode } from "../../src/protocol/cbor.js";
import { type Controller, makeController } from "../../src/service/controller.js";
import type { PeriodicTask } from "../../src/service/periodic-task.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import type { HttpResponse } from "../../src/transport/server.js";
import { SimulatedClock } from "./clock.js";
import { FakeCloud } from "./fakes/cloud.js";
import type { Body, Out } from "./fakes/message.js";
import { FakeStateStore } from "./fakes/state-store.js";
import { FakeWorker } from "./fakes/worker.js";
import type {
  DisabledSafeguard,
  FaultScenario,
  SimulationScale,
  StoreOutageAfterRefusal,
} from "./faults.js";
import { smallJob } from "./job-spec.js";
import {
  CANCEL_MS,
  GUEST_TEAM,
  LEASE_MS,
  MACHINE_TYPES,
  STATE_RPS,
  settingsOf,
} from "./settings.js";
import type { WireCall, WireObserver, WireReply } from "./wire.js";

const bytesOf = (v: unknown): Buffer | undefined => (v === undefined ? undefined : encode(v));
const decoded = (bytes: Buffer | undefined): unknown =>
  bytes === undefined ? undefined : decode(bytes);

/** A call as its caller sends it, before it has its number. */
type Sent = Omit<WireCall, "number">;

interface UserJob {
  readonly spec: Body;
  readonly submittedAt: number;
  startedAt: number | null;
  accepted: boolean;
  cancelAskedAt: number | null;
  cancelToldAt: number | null;
  told: string | null;
  toldAt: number;
  lastAnswerAt: number;
}

const SMALL: SimulationScale = { nodes: 3, machines: 14, quota: 24, tasks: 8 };

/** When the troubles end; from then on no job may go without an answer for this long. */
const CALM_MS = 125_000;
const FORGOTTEN_MS = 75_000;
const BEGIN_MS = 240_000;
const LEFT_WAITING_MS = 90_000;
const POLL_MS = 2000;
/** A machine that has not come up by then should have been returned. */
const GIVEN_UP_MS = 90_000;
/** When the flood of questions begins. */
const FLOOD_MS = 60_000;
/** The guest team's jobs: so many of one task, four a second, and one array of so many tasks. */
const GUEST_JOBS = 120;
const GUEST_EVERY_MS = 250;
const GUEST_ARRAY = 400;
/** When the gap begins, how long the refusal lasts before the outage, and how long tasks run. */
const GAP_MS = 45_000;
const GAP_OUTAGE_MS = 1500;
const GAP_RUN_MS = 75_000;

/** A small world with a checker of PROTOCOL's rules; everything in it follows from the seed. */
export class Simulation {
  readonly clock: SimulatedClock;
  readonly violations: string[] = [];
  readonly starts: string[] = [];
  readonly jobs = new Map<string, UserJob>();
  readonly #state: FakeStateStore;
  readonly #cloud: FakeCloud;
  readonly #workers = new Map<string, FakeWorker>();
  readonly #nodes: ({ readonly node: Controller; alive: boolean } | undefined)[] = [];
  /** Where each task is, by the workers' own word. */
  readonly #on = new Map<string, Set<FakeWorker>>();
  readonly #labels: readonly string[];
  readonly #cpusOf = new Map<string, number>();
  #inc = 0;
  /** Controllers in a trouble of their own. */
  readonly #cut = new Set<number>();
  readonly #refused = new Set<number>();
  readonly #noWorkers = new Set<number>();
  #peersRefuse = false;
  #cutTogether = false;
  /** Controllers that stand still, and what waits for them to go on. */
  readonly #frozen = new Map<number, (() => void)[]>();
  /** Controllers that no other reaches. */
  readonly #unreached = new Set<number>();
  /** What a meeting of troubles brought about: a test asserts that it did. */
  readonly occurrences = {
    confirmedInGap: 0,
    onOldHolder: 0,
    troubledMachines: 0,
    lateWrites: 0,
    muted: 0,
    cancelledAtOnce: 0,
    cancelledAtEnd: 0,
    oddRequests: 0,
    leaderEnds: 0,
    allAway: 0,
    zoneCut: 0,
    zoneBound: 0,
    questions: 0,
    answered: 0,
    guestJobs: 0,
    lateBoots: 0,
    lateSpanWrites: 0,
    freezes: 0,
  };
  /** Tasks that left a machine unfinished in an outage though nobody cancelled their job. */
  lostRuns = 0;
  /** Starts on machines that can't report. */
  wastedStarts = 0;
  /** Starts of tasks that fail whenever they are started. */
  failedStarts = 0;
  /** Machines returned over the day. */
  returned = 0;
  readonly #finished = new Set<string>();
  readonly #rentedAt = new Map<string, number>();
  readonly #rooms = new Map<string, number>();
  #zoneApart = false;
  /** Starts of tasks of a job that its user had been told is cancelled. */
  startsAfterCancel = 0;
  /** Machines that the service returned though they lived. */
  returnedAlive = 0;
  /** Which packages are on: read at each boot, so that a test may switch between restarts. */
  packages: PackageSettings;
  /** Every span that was written, by team, with its time; null where one was taken away. */
  readonly spans: { readonly team: string; readonly at: number; readonly value: unknown }[] = [];
  /** The periodic tasks that controllers run. */
  readonly taskNames = new Set<string>();
  /** Calls of the whole day by kind, for bounding work by counts. */
  readonly calls = { state: 0, workers: 0, heartbeats: 0 };
  /** Is told what crosses the wire; to be set before the day, which goes on as it does without. */
  observer: WireObserver | undefined;
  #sent = 0;

  constructor(
    seed: number,
    private readonly trouble: FaultScenario,
    private readonly scale: SimulationScale = SMALL,
    private readonly sabotage?: DisabledSafeguard,
  ) {
    const loadSpread = { ...defaultPackages().loadSpread, ...trouble.loadSpread };
    this.packages = { loadSpread: { ...loadSpread, enabled: trouble.loadSpread !== undefined } };
    this.#labels = Array.from({ length: scale.nodes }, (_, i) => `n-${i}`);
    this.clock = new SimulatedClock(seed);
    this.#state = new FakeStateStore(this.clock);
    this.#state.checksConditions = sabotage !== "conditions";
    this.#state.onChange = (key) => this.#stateChanged(key);
    this.#cloud = new FakeCloud(
      MACHINE_TYPES,
      scale.machines,
      (m) =>
        this.clock.after(this.#bootMs(m.id), () => {
          if (!this.#cloud.up.has(m.id)) return;
          const w = new FakeWorker(this.clock, m, this.#labels, LEASE_MS, this.#hooks());
          if (trouble.slowLinks === true) w.fetchMs = [4000, 28_000];
          w.checksTokens = sabotage !== "tokens";
          this.#workers.set(m.id, w);
        }),
      (id) => {
        const w = this.#workers.get(id);
        this.returned++;
        if ([...(w?.tasks.values() ?? [])].some((t) => t.stage !== "ended")) this.returnedAlive++;
        w?.die();
        this.#workers.delete(id);
      },
    );
  }

  /** How long a machine takes to come up; some take minutes on days of late boots, or for ever. */
  #bootMs(id: string): number {
    const { clock } = this;
    this.#rentedAt.set(id, clock.now);
    if (this.trouble.lateBoots !== true || clock.random() < 0.4) return clock.between(1000, 20_000);
    this.occurrences.lateBoots++;
    return clock.random() < 0.4 ? Number.POSITIVE_INFINITY : clock.between(60_000, 120_000);
  }

  /** Machines that never came up and are still paid for long after they should have. */
  get forgottenMachines(): readonly string[] {
    const late = [...this.#cloud.up.keys()].filter((id) => !this.#workers.has(id));
    return late.filter((id) => this.clock.now - (this.#rentedAt.get(id) ?? 0) > GIVEN_UP_MS);
  }

  /** Resolves at once, or when the controller goes on. */
  #thawed(n: number): Promise<void> {
    const waiting = this.#frozen.get(n);
    if (waiting === undefined) return Promise.resolve();
    return new Promise((resolve) => waiting.push(resolve));
  }

  #freeze(n: number, ms: number): void {
    if (this.#frozen.has(n) || this.#nodes[n] === undefined) return;
    this.occurrences.freezes++;
    this.#frozen.set(n, []);
    this.clock.after(ms, () => this.#thaw(n));
  }

  #thaw(n: number): void {
    const waiting = this.#frozen.get(n) ?? [];
    this.#frozen.delete(n);
    for (const go of waiting) go();
  }

  #hooks() {
    return {
      began: (w: FakeWorker, task: string) => this.#began(w, task),
      left: (w: FakeWorker, task: string, done: boolean) => {
        if (this.#on.get(task)?.delete(w) !== true) return;
        const job = this.jobs.get(task.split("/")[0] as string);
        if (!done && job?.cancelAskedAt === null && this.#state.down) this.lostRuns++;
        if (done) this.#finished.add(task);
        const id = task.split("/")[0] as string;
        if (done && job !== undefined) this.#atEnd(id, job);
        const spec = job?.spec;
        const crew = String(spec?.crew);
        this.#cpusOf.set(crew, (this.#cpusOf.get(crew) ?? 0) - Number(spec?.cpus ?? 0));
      },
      runMs: () =>
        this.trouble.storeOutageAfterRefusal !== undefined
          ? this.clock.between(GAP_RUN_MS, 1.3 * GAP_RUN_MS)
          : this.trouble.mutedLong === true
            ? this.clock.between(1.4 * LEASE_MS, 2 * LEASE_MS)
            : this.clock.between(3000, 20_000),
      fails: (task: string) => this.#fails(task),
      heartbeat: (node: string, report: Body) => {
        this.calls.heartbeats++;
        if (this.trouble.lateCopies === true && this.clock.random() < 0.1)
          this.clock.after(this.clock.between(2000, 4 * LEASE_MS), () => {
            void this.#toNode(this.#anyNode(), "POST", "/agent/beat", report);
          });
        return this.#toNode(node, "POST", "/agent/beat", report);
      },
    };
  }

  #break(rule: string, what: string): void {
    this.violations.push(`${rule} ${what} at ${Math.round(this.clock.now)}`);
  }

  #began(w: FakeWorker, task: string): void {
    const id = task.split("/")[0] as string;
    const j = this.jobs.get(id);
    const on = this.#on.get(task) ?? new Set();
    this.#on.set(task, on);
    this.starts.push(task);
    if (on.size > 0) this.#break("ran_twice", task);
    on.add(w);
    if (j === undefined) {
      this.#break("invented", task);
      return;
    }
    const spec = j.spec;
    if (w.rented.spot && spec.remnant !== true) this.#break("wrong_place", `${task} on spot`);
    if (spec.oneZone === true && this.#zonesOf(id).size > 1) this.#break("wrong_place", task);
    if (typeof spec.mill === "string" && spec.mill !== w.rented.zone)
      this.#break("wrong_place", `${task} outside its zone`);
    if (spec.apart === true) {
      let here = 0;
      for (const [t, ws] of this.#on)
        if (t.startsWith(`${id}/`)) for (const x of ws) if (x.rented.zone === w.rented.zone) here++;
      if (here > Math.ceil(Number(spec.threads) / 2)) this.#break("wrong_place", `${task} crowds`);
      if (here > 0) this.occurrences.zoneBound++;
    }
    j.startedAt ??= this.clock.now;
    const crew = String(spec.crew);
    const cpus = (this.#cpusOf.get(crew) ?? 0) + Number(spec.cpus);
    this.#cpusOf.set(crew, cpus);
    if (cpus > this.scale.quota) this.#break("quota", `${crew} ${cpus}`);
    if (j.cancelToldAt !== null) this.startsAfterCancel++;
    if (w.mute) this.wastedStarts++;
  }

  /** No task of a cancelled job is on a machine for longer than `cancel_s`, hung machines too. */
  #watchCancelled(): void {
    const late = new Set<string>();
    const look = (): void => {
      for (const [task, on] of this.#on) {
        const told = this.jobs.get(task.split("/")[0] as string)?.cancelToldAt ?? null;
        if (on.size === 0 || told === null || this.clock.now - told <= CANCEL_MS) continue;
        if (!late.has(task)) this.#break("ran_cancelled", task);
        late.add(task);
      }
      this.clock.after(250, look);
    };
    look();
  }

  #fails(task: string): boolean {
    const { failures } = this.trouble;
    if (failures === undefined) return false;
    const before = this.starts.filter((t) => t === task).length > 1;
    if (failures === "first") return !before;
    if (!this.mistaken(task.split("/")[0] as string)) return false;
    this.failedStarts++;
    return true;
  }

  /** Submitted with a mistake: every third job, on days on which such jobs come. */
  mistaken(id: string): boolean {
    return this.trouble.failures === "always" && Number(id.slice(3)) % 3 === 0;
  }

  #zonesOf(id: string): Set<string> {
    const zones = new Set<string>();
    for (const [t, ws] of this.#on)
      if (t.startsWith(`${id}/`)) for (const w of ws) zones.add(w.rented.zone);
    return zones;
  }

  /** A call over the network: its answer may be lost, and what it asked may be done late. */
  async #call(
    sent: Sent,
    run: () => Out | undefined | Promise<Out | undefined>,
    timeoutMs: number,
  ): Promise<CallResult> {
    const call: WireCall = { ...sent, number: ++this.#sent };
    this.observer?.sent(this.clock.now, call);
    await this.clock.sleep(this.clock.between(0.3, 3));
    if (this.clock.random() < this.trouble.lost) {
      const fate = this.clock.random();
      // Whoever ends in the middle of it never comes back from it.
      if (fate < 0.4) await Promise.race([run(), this.clock.sleep(timeoutMs)]);
      else if (fate < 0.8) this.clock.after(this.clock.between(500, 60_000), () => void run());
      await this.clock.sleep(timeoutMs);
      return this.#lost(call);
    }
    const out = await Promise.race([run(), this.clock.sleep(timeoutMs).then(() => undefined)]);
    await this.clock.sleep(this.clock.between(0.3, 3));
    if (out === undefined) return this.#lost(call);
    const { status } = out;
    const body = bytesOf(out.body);
    this.#replied(call, { kind: "answer", status, body });
    return { kind: "answer", status, body: decoded(body) };
  }

  #replied(call: WireCall, reply: WireReply): void {
    this.observer?.replied(this.clock.now, call, reply);
  }

  #lost(call: WireCall): CallResult {
    this.#replied(call, { kind: "lost" });
    return { kind: "lost" };
  }

  /** One kind of way out of a node; a dead node's calls never come back to it. */
  #connection(
    n: number,
    isAlive: () => boolean,
    run: (
      address: string,
      method: string,
      path: string,
      body: Body | undefined,
    ) => Out | undefined | Promise<Out | undefined>,
  ): HttpClient {
    const caller = String(n);
    const go = async (
      target: string,
      method: string,
      path: string,
      value: unknown,
      bytes: Uint8Array | undefined,
      ms: number,
    ) => {
      await this.#thawed(n);
      const body = value as Body | undefined;
      const sent = { caller, target, method, path, body: bytes };
      const again = this.trouble.repeats === true && method !== "GET" && this.clock.random() < 0.05;
      const r = await this.#call(sent, () => run(target, method, path, body), ms);
      if (again)
        this.clock.after(this.clock.between(2000, 90_000), () => {
          void run(target, method, path, body);
        });
      await this.#thawed(n);
      // A dead node's calls never come back to it.
      return isAlive() ? r : new Promise<CallResult>(() => {});
    };
    return {
      call: (address, method, path, body, ms) => {
        const bytes = bytesOf(body);
        return go(address, method, path, decoded(bytes), bytes, ms);
      },
      callRaw: (address, method, path, payload, ms) =>
        go(address, method, path, payload, payload, ms),
      close: () => undefined,
    };
  }

  /** What the state service holds under a key, for tests that look or meddle. */
  stored(key: string): unknown {
    return this.#state.keys.get(key)?.v;
  }

  /** A foreign write. */
  async meddle(key: string, value: unknown): Promise<void> {
    const apply = [{ write: key, v: value }];
    await this.#state.handle("POST", "/txn", { if: [], apply });
  }

  outage(ms: number): void {
    this.#state.outage(ms);
  }

  /** The controller is cut from the state service alone. */
  refuse(n: number, ms: number): void {
    this.#refused.add(n);
    this.clock.after(ms, () => this.#refused.delete(n));
  }

  /** A share of the machines vanishes at once. */
  spotWave(part: number): void {
    for (const w of [...this.#workers.values()])
      if (this.clock.random() < part) {
        w.die();
        this.#cloud.take(w.rented.id);
      }
  }

  /** The controller that a record names, by number; -1 if there is none. */
  ownerOf(key: string): number {
    return this.#labels.indexOf(String((this.stored(key) as Body | undefined)?.l));
  }

  get writes(): number {
    return this.#state.writes;
  }

  boot(n: number): void {
    this.#cloud.returns = this.sabotage !== "returns";
    const self = { alive: true };
    const isAlive = (): boolean => self.alive;
    const connections = {
      state: this.#connection(n, isAlive, (_a, method, path, body) => {
        if (this.#cut.has(n) || this.#cutTogether) return undefined;
        if (this.#zoneApart && n === 0) return undefined;
        if (this.#refused.has(n)) return { status: 503 };
        this.calls.state++;
        if (path === "/txn" && this.trouble.lateWrites === true && this.#troubled(0.08)) {
          this.occurrences.lateWrites++;
          this.clock.after(this.clock.between(2000, 12_000), () => {
            void this.#state.handle(method, path, body);
          });
          return undefined;
        }
        const spanWrite =
          path === "/txn" && JSON.stringify(body?.apply ?? []).includes('"now/span/');
        if (spanWrite && this.clock.random() < (this.trouble.lateSpanWrites ?? 0)) {
          this.occurrences.lateSpanWrites++;
          if (this.clock.random() < 0.5) void this.#state.handle(method, path, body);
          this.clock.after(this.clock.between(2000, 12_000), () => {
            void this.#state.handle(method, path, body);
          });
          return undefined;
        }
        if (this.sabotage === "comparisons" && path === "/txn" && body?.apply === undefined)
          return { status: 503 };
        if (this.sabotage === "finals" && path.startsWith("/store/final/"))
          return { status: 404, body: { ledger: this.#state.rev } };
        return this.#state.handle(method, path, body);
      }),
      cloud: this.#connection(n, isAlive, (_a, _m, path, body) => {
        if (this.#cutTogether) return undefined;
        // Nothing can be written in an outage, so any return is a controller's own.
        const own = path === "/machines/return" && this.#state.down;
        if (own && this.sabotage === "own_returns") return { status: 503 };
        if (path === "/machines/return" && this.sabotage === "late_returns") return { status: 503 };
        return this.#cloud.handle(path, body);
      }),
      workers: this.#connection(n, isAlive, (address, _m, path, body) => {
        const w = this.#workers.get(address.split(":")[0] as string);
        if (w === undefined || w.hangs || w.deaf || this.#noWorkers.has(n)) return undefined;
        if (this.#behind(n, w)) return undefined;
        if (this.#apart(w)) return undefined;
        this.calls.workers++;
        if (this.sabotage === "cancels" && path === "/orders")
          for (const o of (body?.orders ?? []) as Body[]) if (o.verb === "kill") o.verb = "none";
        return w.handle(path, body);
      }),
      peers: this.#connection(n, isAlive, async (address, method, path, body) => {
        const at = Number(address.split(":")[0]?.split(".")[3]);
        const to = this.#nodes[at];
        if (to === undefined || !to.alive || this.#peersRefuse) return undefined;
        if (this.#cut.has(n) || this.#cut.has(at)) return undefined;
        if (this.#unreached.has(n) || this.#unreached.has(at)) return undefined;
        if (this.#zoneApart && (n === 0 || at === 0)) return undefined;
        if (this.sabotage === "words" && path === "/peer") return { status: 204 };
        const bytes = Buffer.from((body as unknown as Uint8Array | undefined) ?? []);
        return { status: (await to.node.peer({ method, path, bytes })).status };
      }),
    };
    const node = makeController(
      settingsOf(n, this.#labels, this.scale.quota, this.trouble.floodTeam === true),
      defaultOperators(),
      this.packages,
      makeLogger("error", { node: this.#labels[n] }, (line) => {
        if (this.trouble.lost === 0) this.violations.push(line);
      }),
      connections,
      incarnation(`inc-${++this.#inc}`),
      () => this.clock.random(),
    );
    const slot = Object.assign(self, { node });
    this.#nodes[n] = slot;
    const loop = async (p: PeriodicTask): Promise<void> => {
      while (self.alive) {
        await this.#thawed(n);
        if (!self.alive) return;
        await p.run();
        await this.clock.sleep(Math.max(1, p.everyMs));
      }
    };
    for (const p of node.tasks) this.taskNames.add(p.name);
    for (const p of node.tasks) if (p.name !== "stats") void loop(p);
  }

  /** While all controllers are cut off together, only the workers of zone a are with them. */
  #apart(w: FakeWorker): boolean {
    return this.#cutTogether && w.rented.zone !== "a";
  }

  /** Controller 0 and zone b lie behind the zone's cut, the rest before it. */
  #behind(n: number, w: FakeWorker): boolean {
    return this.#zoneApart && (n === 0) !== (w.rented.zone === "b");
  }

  /** Whether a trouble of this share strikes, while there are troubles. */
  #troubled(share: number): boolean {
    return (
      this.clock.now > 15_000 && this.clock.now < CALM_MS - 20_000 && this.clock.random() < share
    );
  }

  crash(n: number, backMs: number): void {
    const slot = this.#nodes[n];
    if (slot === undefined || !slot.alive) return;
    slot.alive = false;
    this.#nodes[n] = undefined;
    this.#thaw(n);
    this.clock.after(backMs, () => this.boot(n));
  }

  async #toNode(
    label: string,
    method: string,
    path: string,
    body?: Body,
  ): Promise<Out | undefined> {
    const n = this.#labels.indexOf(label);
    const caller = path === "/agent/beat" ? `worker ${body?.loom}` : "user";
    const sent = { caller, target: label, method, path, body: bytesOf(body) };
    const r = await this.#call(
      sent,
      async () => {
        const slot = this.#nodes[n];
        if (slot === undefined) return undefined;
        if (path === "/agent/beat") {
          const w = this.#workers.get(String(body?.loom));
          if (w?.mute === true || (w !== undefined && this.#behind(n, w))) return undefined;
          if (this.#noWorkers.has(n) || (w !== undefined && this.#apart(w))) return undefined;
        } else if (this.#cutTogether || (this.#zoneApart && n === 0)) return undefined;
        await this.#thawed(n);
        if (path.endsWith("/withdraw") && this.sabotage === "cancels")
          return { status: 200, body: { stage: "cancelled" } };
        const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
        const a: HttpResponse = await slot.node.front({ method, path, bytes });
        return slot.alive ? { status: a.status, body: a.body } : undefined;
      },
      4000,
    );
    return r.kind === "answer" ? r : undefined;
  }

  #anyNode(): string {
    return this.#labels[Math.floor(this.clock.random() * this.#labels.length)] as string;
  }

  /** One user: submits until answered, polls until the end, perhaps cancels, asks again later. */
  async user(id: string, spec: Body, cancelAfterMs: number | null): Promise<void> {
    const j: UserJob = {
      spec,
      submittedAt: this.clock.now,
      startedAt: null,
      accepted: false,
      cancelAskedAt: null,
      cancelToldAt: null,
      told: null,
      toldAt: 0,
      lastAnswerAt: this.clock.now,
    };
    this.jobs.set(id, j);
    while (!j.accepted) {
      const r = await this.#toNode(this.#anyNode(), "POST", "/work", spec);
      if (r?.status === 201 || r?.status === 200) j.accepted = true;
      else if (r?.status === 400 || r?.status === 422) {
        this.#break("forgotten", `${id} refused`);
        return;
      } else await this.clock.sleep(1000);
    }
    if (cancelAfterMs !== null) this.clock.after(cancelAfterMs, () => void this.#cancel(id, j));
    for (;;) {
      const factor = this.#inFlood() ? (this.trouble.questionFlood ?? 1) : 1;
      await this.clock.sleep(POLL_MS / factor);
      const askedAt = this.clock.now;
      const r = await this.#toNode(this.#anyNode(), "GET", `/work/${id}`);
      if (factor > 1) this.occurrences.questions++;
      if (factor > 1 && r?.status === 200) this.occurrences.answered++;
      this.#check(id, j, r, askedAt);
    }
  }

  #inFlood(): boolean {
    const { questionFlood } = this.trouble;
    return questionFlood !== undefined && this.clock.now > FLOOD_MS && this.clock.now < CALM_MS;
  }

  async #cancel(id: string, j: UserJob): Promise<void> {
    j.cancelAskedAt = this.clock.now;
    for (;;) {
      const askedAt = this.clock.now;
      const r = await this.#toNode(this.#anyNode(), "POST", `/work/${id}/withdraw`);
      this.#check(id, j, r, askedAt);
      if (r?.status === 200) return;
      await this.clock.sleep(1000);
    }
  }

  #check(id: string, j: UserJob, r: Out | undefined, askedAt: number): void {
    const { now } = this.clock;
    const unanswered = now - Math.max(j.lastAnswerAt, CALM_MS);
    if (r?.status !== 200 && unanswered > FORGOTTEN_MS) {
      this.#break("forgotten", `${id} unanswered`);
      j.lastAnswerAt = now;
    }
    if (r?.status === 404) this.#break("forgotten", id);
    if (r?.status !== 200) return;
    j.lastAnswerAt = this.clock.now;
    const stage = String((r.body as Body).stage);
    // What was asked before the user was told may have been answered before as well.
    if (j.told !== null && stage !== j.told && askedAt > j.toldAt)
      this.#break("went_back", `${id} ${j.told}>${stage}`);
    if (stage === "cancelled") {
      if (j.cancelAskedAt === null) this.#break("went_back", `${id} not cancelled by its user`);
      j.cancelToldAt ??= this.clock.now;
    }
    if ((stage === "done" || stage === "cancelled") && j.told === null) {
      j.told = stage;
      j.toldAt = this.clock.now;
    }
    if (stage === "done") {
      const ran = new Set(this.starts.filter((t) => t.startsWith(`${id}/`)));
      if (ran.size < Number(j.spec.threads)) this.#break("not_done", id);
    }
  }

  /** Plays a day: jobs, troubles, and then calm in which everything must come to its end. */
  async day(jobs: number): Promise<void> {
    if (this.sabotage !== "no_service") for (let n = 0; n < this.#labels.length; n++) this.boot(n);
    for (let i = 0; i < jobs; i++) {
      const id = `wk-${String(i + 1).padStart(6, "0")}`;
      const spec: Body = {
        uid: id,
        weave: "c",
        crew: `t${Math.floor(this.clock.random() * 4)}`,
        pattern: "sweep",
        rank: this.clock.random() < 0.5 ? "high" : "normal",
        threads: 1 + Math.floor(this.clock.random() * this.scale.tasks),
        cpus: 4,
        gpus: 0,
        ramGb: 10,
        bolt: `img-${Math.floor(this.clock.random() * 3)}`,
        imageGb: 1,
        oneZone: this.clock.random() < 0.3,
        apart: false,
        remnant: this.clock.random() < 0.6,
        expectS: 10,
        knotS: 0,
        spoolS: 0,
      };
      const cancel = this.clock.random() < 0.3 ? this.clock.between(500, 30_000) : null;
      const t = this.trouble;
      if (t.zoneBound === true) {
        const kind = this.clock.random();
        spec.oneZone = kind < 0.35;
        if (kind > 0.25 && kind < 0.5) spec.mill = this.clock.random() < 0.5 ? "a" : "b";
        if (kind >= 0.5) spec.apart = true;
      }
      const until =
        t.storeOutageAfterRefusal === undefined && t.mutedLong !== true ? 100_000 : 20_000;
      const at = this.clock.between(2000, until);
      this.clock.after(
        at,
        () => void this.user(id, spec, t.storeOutageAfterRefusal === undefined ? cancel : null),
      );
    }
    const t = this.trouble;
    if (t.floodTeam === true) this.#guest(jobs);
    if (t.questionFlood !== undefined) this.#state.rps = STATE_RPS;
    this.#watchCancelled();
    if (t.storeOutageAfterRefusal !== undefined) this.#gap(t.storeOutageAfterRefusal);
    if (t.crashes)
      for (let i = 0; i < 6; i++) {
        const back = this.clock.random() < 0.4 ? 200 : 6000;
        const n = Math.floor(this.clock.random() * this.#labels.length);
        this.clock.after(this.clock.between(10_000, 110_000), () => this.crash(n, back));
      }
    if (t.outages) {
      this.clock.after(this.clock.between(15_000, 50_000), () => this.#state.outage(8000));
      this.clock.after(this.clock.between(60_000, 90_000), () => this.#state.outage(25_000));
      this.clock.after(this.clock.between(20_000, 70_000), () => {
        this.#cloud.down = true;
        this.clock.after(20_000, () => {
          this.#cloud.down = false;
        });
      });
    }
    if (t.deaths)
      for (let i = 0; i < 8; i++)
        this.clock.after(this.clock.between(20_000, 110_000), () => {
          const all = [...this.#workers.values()];
          const w = all[Math.floor(this.clock.random() * all.length)];
          if (w === undefined) return;
          if (this.clock.random() < 0.5) {
            w.hangs = true;
            this.clock.after(this.clock.between(2000, 30_000), () => {
              w.hangs = false;
            });
          } else w.die();
        });
    this.#moreTroubles();
    this.#fleetTroubles();
    this.#meetings();
    this.#watchRoom();
    await this.clock.runUntil(
      this.trouble.storeOutageAfterRefusal === undefined ? 260_000 : 330_000,
    );
    this.#served();
  }

  /** Jobs of a team without a guarantee: tiny ones in masses, and one huge array beside them. */
  #guest(firstId: number): void {
    for (let i = 0; i <= GUEST_JOBS; i++) {
      const id = `wk-${String(firstId + i + 1).padStart(6, "0")}`;
      const spec = smallJob(id, GUEST_TEAM, {
        weave: "g",
        rank: "best_effort",
        threads: i === 0 ? GUEST_ARRAY : 1,
        cpus: 0.25,
        ramGb: 0.5,
        bolt: "img-g",
      });
      const cancel = i > 0 && i % 4 === 0 ? this.clock.between(500, 10_000) : null;
      this.occurrences.guestJobs++;
      this.clock.after(20_000 + i * GUEST_EVERY_MS, () => void this.user(id, spec, cancel));
    }
  }

  /** Something happens to a random controller for a while. */
  #episode(set: Set<number>, fromMs: number, forMs: number): void {
    this.clock.after(fromMs, () => {
      const n = Math.floor(this.clock.random() * this.#labels.length);
      set.add(n);
      this.clock.after(forMs, () => set.delete(n));
    });
  }

  #moreTroubles(): void {
    const t = this.trouble;
    const { clock } = this;
    if (t.oneWay === true)
      for (let i = 0; i < 6; i++)
        clock.after(clock.between(20_000, 80_000), () => {
          const all = [...this.#workers.values()];
          const w = all[Math.floor(clock.random() * all.length)];
          if (w === undefined) return;
          w.deaf = true;
          clock.after(clock.between(3000, 2 * LEASE_MS), () => {
            w.deaf = false;
          });
        });
    if (t.cut === true) this.#episode(this.#cut, clock.between(25_000, 60_000), 45_000);
    if (t.refused === true) this.#episode(this.#refused, clock.between(25_000, 60_000), 45_000);
    if (t.noWorkers === true) this.#episode(this.#noWorkers, clock.between(25_000, 60_000), 45_000);
    if (t.peersRefuse === true)
      clock.after(clock.between(20_000, 60_000), () => {
        this.#peersRefuse = true;
        clock.after(40_000, () => {
          this.#peersRefuse = false;
        });
      });
    if (t.wave === true)
      clock.after(clock.between(40_000, 80_000), () => {
        for (const [id, w] of [...this.#workers])
          if (clock.random() < 0.55)
            clock.after(clock.between(0, 10_000), () => {
              w.die();
              this.#workers.delete(id);
              this.#cloud.take(id);
            });
      });
  }

  #fleetTroubles(): void {
    const t = this.trouble;
    const { clock } = this;
    const some = (): number => Math.floor(clock.random() * this.#labels.length);
    if (t.freezes === true)
      for (const from of [20_000, 45_000, 75_000])
        clock.after(clock.between(from, from + 10_000), () => {
          this.#freeze(some(), clock.between(6000, 1.6 * LEASE_MS));
          if (clock.random() < 0.5) this.#freeze(some(), clock.between(6000, 1.6 * LEASE_MS));
        });
    if (t.cutTogether === true)
      clock.after(clock.between(30_000, 60_000), () => {
        this.#cutTogether = true;
        clock.after(2.2 * LEASE_MS, () => {
          this.#cutTogether = false;
        });
      });
    if (t.restarts === true)
      for (const [from, outage] of [
        [30_000, true],
        [80_000, false],
      ] as const)
        clock.after(clock.between(from, from + 10_000), () => {
          if (outage) this.#state.outage(6000);
          for (let n = 0; n < this.#labels.length; n++)
            clock.after(clock.between(0, outage ? 8000 : 300), () =>
              this.crash(n, clock.between(200, 4000)),
            );
        });
    if (t.hangs === true)
      clock.after(clock.between(40_000, 70_000), () => {
        for (const w of this.#workers.values())
          if (clock.random() < 0.33) {
            w.hangs = true;
            clock.after(1.4 * LEASE_MS, () => {
              w.hangs = false;
            });
          }
      });
  }

  #meetings(): void {
    const t = this.trouble;
    const { clock } = this;
    if (t.muted === true)
      for (let i = 0; i < 6; i++)
        clock.after(clock.between(20_000, 70_000), () => {
          const all = [...this.#workers.values()];
          const w = all[Math.floor(clock.random() * all.length)];
          if (w === undefined) return;
          this.occurrences.muted++;
          w.mute = true;
          clock.after(clock.between(5000, 2 * LEASE_MS), () => {
            w.mute = false;
          });
        });
    if (t.mutedLong === true)
      clock.after(40_000, () => {
        for (const w of this.#workers.values())
          if (this.occurrences.muted < 5 && w.tasks.size > 0) {
            w.mute = true;
            this.occurrences.muted++;
          }
      });
    if (t.cancelNow === true)
      for (const at of [40_000, 80_000])
        clock.after(at, () => {
          const running = [...this.jobs].filter(([id, j]) => {
            return this.#zonesOf(id).size > 0 && j.cancelAskedAt === null;
          });
          const hang = new Set<FakeWorker>();
          for (const [id, j] of running.slice(0, 5)) {
            for (const [task, on] of this.#on)
              if (task.startsWith(`${id}/`)) for (const w of on) if (hang.size < 4) hang.add(w);
            this.occurrences.cancelledAtOnce++;
            clock.after(clock.between(0, 200), () => void this.#cancel(id, j));
          }
          for (const w of hang) w.hangs = true;
          clock.after(clock.between(5000, 1.3 * CANCEL_MS), () => {
            for (const w of hang) w.hangs = false;
          });
        });
    if (t.leaders === true) {
      for (let i = 0; i < 10; i++)
        clock.after(15_000 + i * 10_500, () => {
          const lead = this.#state.keys.get("now/leader")?.v as Body | undefined;
          const n = this.#labels.indexOf(String(lead?.l));
          if (n < 0) return;
          this.occurrences.leaderEnds++;
          this.crash(n, clock.between(100, 900));
        });
      clock.after(60_000, () => this.#state.outage(24_000));
    }
    if (t.allAway === true)
      clock.after(50_000, () => {
        this.occurrences.allAway++;
        for (let n = 0; n < this.#labels.length; n++) this.crash(n, 1.4 * LEASE_MS + n * 300);
      });
    if (t.zoneCut === true)
      clock.after(45_000, () => {
        this.occurrences.zoneCut++;
        this.#zoneApart = true;
        clock.after(1.8 * LEASE_MS, () => {
          this.#zoneApart = false;
        });
      });
    if (t.oddRequests === true)
      for (let at = 10_000; at < 120_000; at += 2500) clock.after(at, () => void this.#odd());
  }

  /** The end of a job's last task, met by a cancellation, a question and a repeated submission. */
  #atEnd(id: string, j: UserJob): void {
    const { trouble, clock } = this;
    if (trouble.cancelAtEnd !== true || j.cancelAskedAt !== null || clock.random() < 0.3) return;
    const tasks = Array.from({ length: Number(j.spec.threads) }, (_, i) => `${id}/${i}`);
    if (!tasks.every((task) => this.#finished.has(task))) return;
    this.occurrences.cancelledAtEnd++;
    const again = async (method: string, path: string, body?: Body): Promise<void> => {
      const askedAt = clock.now;
      this.#check(id, j, await this.#toNode(this.#anyNode(), method, path, body), askedAt);
    };
    clock.after(clock.between(0, 900), () => void this.#cancel(id, j));
    clock.after(clock.between(0, 900), () => void again("GET", `/work/${id}`));
    clock.after(clock.between(0, 900), () => void again("POST", "/work", j.spec));
  }

  /** One odd request, and what it must come to. */
  async #odd(): Promise<void> {
    const { clock } = this;
    const known = [...this.jobs].filter(([, j]) => j.accepted);
    const [id, j] = known[Math.floor(clock.random() * known.length)] ?? [];
    const kind = Math.floor(clock.random() * 5);
    const askedAt = clock.now;
    const ask = (method: string, path: string, body?: Body): Promise<Out | undefined> => {
      this.occurrences.oddRequests++;
      return this.#toNode(this.#anyNode(), method, path, body);
    };
    const expect = (r: Out | undefined, ...statuses: number[]): void => {
      if (r !== undefined && ![...statuses, 429, 503].includes(r.status))
        this.#break("odd_answer", `${kind} ${r.status}`);
    };
    const fresh = { ...j?.spec, uid: `wk-9${String(Math.floor(clock.random() * 1e6))}` };
    if (kind === 0 && id !== undefined && j !== undefined) {
      const r = await ask("POST", "/work", j.spec);
      expect(r, 200);
      this.#check(id, j, r, askedAt);
    } else if (kind === 1 && id !== undefined && j?.told === "done") {
      const r = await ask("POST", `/work/${id}/withdraw`);
      expect(r, 200);
      this.#check(id, j, r, askedAt);
    } else if (kind === 2 && j !== undefined) {
      expect(await ask("POST", "/work", { ...fresh, cpus: 400 }), 422);
      expect(await ask("GET", `/work/${fresh.uid}`), 404);
    } else if (kind === 3 && j !== undefined) {
      const { knotS: _lacks, ...less } = fresh as Body;
      expect(await ask("POST", "/work", less), 400);
      expect(await ask("POST", `/work/${fresh.uid}/withdraw`), 404);
    } else if (kind === 4 && id !== undefined && j !== undefined) {
      // Known, whatever else is wrong with the repetition.
      const { spoolS: _lacks, ...less } = j.spec;
      const r = await ask("POST", "/work", less);
      expect(r, 200);
      this.#check(id, j, r, askedAt);
    }
  }

  /** Once the troubles are over, no job waits for 90 s beside a machine with room that it may use. */
  #watchRoom(): void {
    const look = (): void => {
      for (const [id, j] of this.jobs) {
        const waits =
          j.accepted && j.told === null && j.cancelAskedAt === null && this.#idle(id, j);
        const since =
          waits && this.#roomFor(id, j) ? (this.#rooms.get(id) ?? this.clock.now) : null;
        if (since === null) this.#rooms.delete(id);
        else this.#rooms.set(id, since);
        if (since === null || this.clock.now - since < LEFT_WAITING_MS) continue;
        this.#break("left_waiting", id);
        this.#rooms.set(id, this.clock.now);
      }
      this.clock.after(1000, look);
    };
    this.clock.after(CALM_MS, look);
  }

  /** No task of it is on a machine. */
  #idle(id: string, j: UserJob): boolean {
    for (let i = 0; i < Number(j.spec.threads); i++)
      if ((this.#on.get(`${id}/${i}`)?.size ?? 0) > 0) return false;
    return true;
  }

  #roomFor(id: string, j: UserJob): boolean {
    const { crew, cpus, remnant } = j.spec;
    // Which zones are open to it depends on where its other tasks are: not judged here.
    if (j.spec.oneZone === true || j.spec.apart === true) return false;
    if ((this.#cpusOf.get(String(crew)) ?? 0) + Number(cpus) > this.scale.quota) return false;
    for (const w of this.#workers.values()) {
      if (typeof j.spec.mill === "string" && j.spec.mill !== w.rented.zone) continue;
      if (!w.alive || w.hangs || (w.rented.spot && remnant !== true)) continue;
      const most = Number(MACHINE_TYPES.find((t) => t.label === w.rented.type)?.cpus);
      const taken = [...w.tasks.values()].filter((t) => t.stage !== "ended");
      const own = taken.some((t) => t.task.startsWith(`${id}/`));
      if (own) return false;
      const used = taken.reduce((n, t) => {
        return n + Number(this.jobs.get(t.task.split("/")[0] as string)?.spec.cpus);
      }, 0);
      if (most - used >= Number(cpus)) return true;
    }
    return false;
  }

  /** The meeting of the gap day, with what else its variants bring. */
  #gap(g: StoreOutageAfterRefusal): void {
    const { clock } = this;
    clock.after(GAP_MS, () => {
      const lead = this.#state.keys.get("now/leader")?.v as Body | undefined;
      const old = this.#labels.indexOf(String(lead?.l));
      const others = this.#labels.map((_, i) => i).filter((i) => i !== old);
      this.#refused.add(old);
      clock.after(14_000, () => this.#refused.delete(old));
      if (g.peersCut === true) {
        this.#unreached.add(old);
        clock.after(14_000, () => this.#unreached.delete(old));
      }
      const running = [...this.jobs].filter(([id, j]) => this.#zonesOf(id).size > 0 && j.accepted);
      // A few are left alone: their work must not suffer.
      const chosen = running.slice(0, Math.ceil(running.length * 0.7));
      for (const [id, j] of chosen)
        clock.after(clock.between(100, 900), () => {
          const n = others[Math.floor(clock.random() * others.length)] ?? 0;
          void this.#cancelOnce(id, j, n, g.by ?? "cancel", old);
        });
      if (g.machines !== undefined) this.#troubleMachines(new Set(chosen.map(([id]) => id)), g);
      clock.after(GAP_OUTAGE_MS, () => {
        this.#state.outage(58_000);
        if (g.confirmersEnd === true) for (const n of others) this.crash(n, 5000);
        if (g.oldEnds === true) clock.after(8000, () => this.crash(old, 500));
        if (g.cloudOut !== true) return;
        this.#cloud.down = true;
        clock.after(20_000, () => {
          this.#cloud.down = false;
        });
      });
    });
  }

  #troubleMachines(ids: ReadonlySet<string>, g: StoreOutageAfterRefusal): void {
    const some = new Set<FakeWorker>();
    for (const [task, on] of this.#on)
      for (const w of on) if (ids.has(task.split("/")[0] as string) && some.size < 8) some.add(w);
    for (const w of some) {
      this.occurrences.troubledMachines++;
      if (g.machines === "hang") w.hangs = true;
      if (g.machines === "deaf") w.deaf = true;
      if (g.machines === "mute") w.mute = true;
      this.clock.after(70_000, () => {
        w.hangs = false;
        w.deaf = false;
        w.mute = false;
      });
    }
  }

  /** A user calls a job off at one controller and, if that isn't to answer him, asks at another. */
  async #cancelOnce(
    id: string,
    j: UserJob,
    n: number,
    by: NonNullable<StoreOutageAfterRefusal["by"]>,
    old: number,
  ): Promise<void> {
    j.cancelAskedAt = this.clock.now;
    const at = (i: number): string => this.#labels[i] as string;
    const before = j.cancelToldAt;
    const askedAt = this.clock.now;
    let r = await this.#toNode(at(n), "POST", `/work/${id}/withdraw`);
    if (by !== "cancel") {
      const other = this.#labels.findIndex((_, i) => i !== n && i !== old);
      r =
        by === "question"
          ? await this.#toNode(at(other), "GET", `/work/${id}`)
          : await this.#toNode(at(other), "POST", "/work", j.spec);
    }
    this.#check(id, j, r, askedAt);
    if (before === null && j.cancelToldAt !== null && !this.#state.down) {
      this.occurrences.confirmedInGap++;
      if (this.#heldBy(id) === at(old)) this.occurrences.onOldHolder++;
    }
    if (r?.status !== 200) await this.#cancel(id, j);
  }

  /** Whom the records name as the holder of a job's share. */
  #heldBy(id: string): string {
    const teams = this.#state.keys.get("now/teams")?.v as Body | undefined;
    const share = teams?.[String(this.jobs.get(id)?.spec.crew)];
    return String((this.#state.keys.get(`now/share/${share}`)?.v as Body | undefined)?.l);
  }

  /** A process ends within a fraction of a second of what it wrote, and is back at once. */
  #stateChanged(key: string): void {
    if (key.startsWith("now/span/")) {
      const value = this.stored(key) ?? null;
      this.spans.push({ team: key.slice("now/span/".length), at: this.clock.now, value });
    }
    if (this.trouble.elections !== true || this.clock.now > CALM_MS - 20_000) return;
    if (key !== "now/leader" && !key.startsWith("now/share/")) return;
    if (this.clock.random() > 0.25) return;
    const n = Math.floor(this.clock.random() * this.#labels.length);
    this.clock.after(this.clock.between(0, 300), () => this.crash(n, this.clock.between(50, 600)));
  }

  /** Half of each team and of the largest tenth must be served, and the largest begin in time. */
  #served(): void {
    const asked = [...this.jobs].filter(
      ([id, j]) => j.cancelAskedAt === null && !this.mistaken(id),
    );
    const served = ([, j]: (typeof asked)[number]): boolean => j.told === "done";
    const groups = new Map<string, typeof asked>();
    for (const row of asked) {
      const crew = String(row[1].spec.crew);
      groups.set(crew, [...(groups.get(crew) ?? []), row]);
    }
    const bySize = [...asked].sort(
      ([, a], [, b]) => Number(b.spec.threads) - Number(a.spec.threads),
    );
    const largest = bySize.slice(0, Math.max(1, Math.ceil(asked.length / 10)));
    groups.set("the largest", largest);
    groups.set("all", asked);
    for (const [name, rows] of groups)
      if (rows.filter(served).length * 2 < rows.length) this.#break("unserved", name);
    for (const [id, j] of largest)
      if ((j.startedAt ?? Number.POSITIVE_INFINITY) - j.submittedAt > BEGIN_MS)
        this.#break("unserved", `${id} did not begin`);
  }
}
