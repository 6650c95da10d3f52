import {
  listPath,
  MAX_RENT,
  MAX_RETURN,
  type MachineType,
  parseMachineList,
  parseRented,
  parseTypes,
  rentBody,
  returnBody,
} from "../protocol/cloud.js";
import {
  ABSENT,
  type JobId,
  type MachineId,
  type Mono,
  mono,
  type Revision,
  type ShareNo,
  shareNo,
} from "../protocol/ids.js";
import { rankOrder } from "../protocol/jobs.js";
import { encodePeer, type MoveRequest, NO_WORD } from "../protocol/peer.js";
import type { Condition, Op, Txn } from "../protocol/store.js";
import { parseReport, type Report } from "../protocol/workers.js";
import { demandOf } from "../scheduling/demand.js";
import {
  type DemandGroup,
  type FleetMachine,
  type FleetPlan,
  idleMoves,
  offerKey,
  planFleet,
  type Rent,
} from "../scheduling/fleet.js";
import { owedJobs } from "../scheduling/order.js";
import { NOTHING, plus } from "../scheduling/resources.js";
import { absorb, addressOf, type Context, refresh } from "../service/context.js";
import { Budget } from "../storage/budget.js";
import { fleetPageValue, MACHINE_BYTES } from "../storage/pages.js";
import {
  doneCount,
  goneValue,
  type HireRecord,
  hireValue,
  keys,
  type LiveJob,
  type MachineRecord,
  typesValue,
  waitingCount,
} from "../storage/records.js";
import type { Versioned } from "../storage/replica.js";
import type { Calls } from "../transport/client.js";
import { steadyNow, timeOfDay } from "../transport/clock.js";
import { pageLimit } from "./batch.js";
import type { Holder } from "./holder.js";
import type { Membership } from "./membership.js";
import { attemptKey } from "./session.js";

const CLOUD_MS = 5000;
const PEER_MS = 1000;
/** How long a holder's word that a job fails stands. */
const FAILING_MS = 8000;
const TYPES_EVERY_MS = 60_000;
const LIST_EVERY_MS = 15_000;
/** How long a machine may take to be vacated before another is asked for. */
const VACATE_MS = 6000;
/** The same for a machine that is idle. */
const GIVE_MS = 3000;
/** A job is this old before its holder must have laid it over its own machines. */
const SETTLE_MS = 150;
/** Machines returned lately, whose late reports must not have them adopted again. */
const RETURNED_KEPT = 10_000;
/** Strangers asked at a time, and how long they have to answer. */
const MOST_ASKED = 64;
const STATUS_MS = 2000;
/** Most intents written at a time. */
const MOST_HIRES = 8;

type NewMachine = Omit<MachineRecord, "floor">;

/** The leader's work: all calls of the cloud, and which share a free machine serves. */
export class Leader {
  readonly #budget: Budget;
  readonly #refusedUntil = new Map<string, Mono>();
  readonly #idleSince = new Map<MachineId, Mono>();
  #levels: ReadonlyMap<string, number> = new Map();
  readonly #returned = new Set<MachineId>();
  readonly #hiring = new Set<string>();
  /** Machines whose records are being written, that are asked whether they are there, and that are. */
  readonly #entering = new Set<MachineId>();
  readonly #asking = new Set<MachineId>();
  readonly #adoptable = new Map<
    MachineId,
    Omit<NewMachine, "share"> & { readonly seenAt: Revision }
  >();
  /** When each open attempt was first seen in the records. */
  #openSince: ReadonlyMap<string, Mono> = new Map();
  /** Jobs that fail everywhere, by their holders' word, and until when that stands. */
  readonly #failing = new Map<JobId, Mono>();
  /** Machines asked to be moved: they count as their new share's until that has failed. */
  readonly #given = new Map<MachineId, { readonly to: ShareNo; readonly until: Mono }>();
  #typesAt: Mono = mono(Number.NEGATIVE_INFINITY);
  #listAt: Mono = mono(Number.NEGATIVE_INFINITY);
  #plannedAt: Mono = steadyNow();
  #names = 0;
  readonly counters = { rented: 0, refused: 0, returned: 0, moved: 0, vacated: 0, adopted: 0 };

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    private readonly holder: Holder,
    private readonly cloud: Calls,
    private readonly peers: Calls,
    private readonly workers: Calls,
  ) {
    const { rps } = ctx.settings.cloud;
    this.#budget = new Budget(rps * 0.9, rps * 1.35, steadyNow());
  }

  /** Only applied while this controller leads. */
  async #txn(t: Txn): Promise<boolean> {
    const lead = this.ctx.replica.leader;
    if (lead === undefined || !this.membership.mayLead()) return false;
    const guarded = { ...t, conditions: [...t.conditions, { key: keys.leader, rev: lead.rev }] };
    const r = await this.ctx.store.settle(guarded, () => this.ctx.stopping);
    if (r.kind === "applied") {
      absorb(this.ctx.replica, t.ops, r.rev);
      return true;
    }
    await refresh(
      this.ctx,
      guarded.conditions.map((c) => c.key),
    );
    return false;
  }

  /** All that waits for the cloud, apart from planning: it may take seconds in an outage. */
  async callCloud(): Promise<void> {
    if (!this.ctx.synced || !this.membership.mayLead()) return;
    await this.#returnMachines();
    await this.#readTypes();
    await this.#hire();
    await this.#list();
  }

  async #cloudCall(method: string, path: string, body?: unknown) {
    if (!this.#budget.take(1, steadyNow())) return undefined;
    const r = await this.cloud.call(this.ctx.settings.cloudAddress, method, path, body, CLOUD_MS);
    if (r.kind === "answer" && r.status === 429) this.#budget.drain(steadyNow());
    return r.kind === "answer" ? r : undefined;
  }

  async #readTypes(): Promise<void> {
    const { replica } = this.ctx;
    const now = steadyNow();
    if (replica.types !== undefined && now - this.#typesAt < TYPES_EVERY_MS) return;
    const r = await this.#cloudCall("GET", "/flavors");
    const types = r?.status === 200 ? parseTypes(r.body) : undefined;
    if (types === undefined || types.length === 0) return;
    this.#typesAt = now;
    const value = typesValue(types);
    if (JSON.stringify(value) === JSON.stringify(typesValue(replica.types?.value ?? []))) return;
    await this.#txn({
      conditions: [{ key: keys.types, rev: replica.rev(keys.types) }],
      ops: [{ kind: "put", key: keys.types, value }],
    });
  }

  // ---- Returning ----------------------------------------------------------------------------

  /** A 200 is proof that the machines and all on them are gone. */
  async #returnMachines(): Promise<void> {
    const { replica } = this.ctx;
    const ids: MachineId[] = [];
    for (const [id, m] of replica.machines)
      if (m.stage === "retiring" && !replica.isGone(id) && ids.length < MAX_RETURN) ids.push(id);
    if (ids.length > 0) {
      const r = await this.#cloudCall("POST", "/machines/return", returnBody(ids));
      if (r?.status === 200) {
        this.counters.returned += ids.length;
        this.#forgetLater(ids);
        const key = keys.gone(this.#name());
        await this.#txn({
          conditions: [{ key, rev: ABSENT }],
          ops: [{ kind: "put", key, value: goneValue({ ids, at: timeOfDay() }) }],
        });
      }
    }
    await this.#dropGone();
  }

  #forgetLater(ids: readonly MachineId[]): void {
    for (const id of ids) this.#returned.add(id);
    for (const id of this.#returned) {
      if (this.#returned.size <= RETURNED_KEPT) break;
      this.#returned.delete(id);
    }
  }

  /** Named by this term of leadership: no two terms share a revision, no term a number. */
  #name(): string {
    return `${this.ctx.replica.leader?.rev}-${++this.#names}`;
  }

  /** Once its holders have closed what stood there, and no list shows it any more. */
  async #dropGone(): Promise<void> {
    const { replica, settings } = this.ctx;
    const keptMs = 2000 * settings.cloud.listLagS + CLOUD_MS;
    const over = [...replica.goneRecords].filter(
      ([, g]) =>
        timeOfDay() - g.value.at > keptMs && g.value.ids.every((id) => !replica.machines.has(id)),
    );
    if (over.length === 0) return;
    const some = over.slice(0, settings.state.txnOps);
    await this.#txn({
      conditions: some.map(([name, g]) => ({ key: keys.gone(name), rev: g.rev })),
      ops: some.map(([name]) => ({ kind: "delete", key: keys.gone(name) })),
    });
  }

  // ---- Renting ------------------------------------------------------------------------------

  /** Carries out written intents. A name is repeated until it has an answer, and never reused. */
  async #hire(): Promise<void> {
    const open = [...this.ctx.replica.hires].filter(([name]) => !this.#hiring.has(name));
    await Promise.all(open.map(([name, h]) => this.#hireOne(name, h)));
  }

  async #hireOne(name: string, h: Versioned<HireRecord>): Promise<void> {
    this.#hiring.add(name);
    try {
      const v = h.value;
      const body = rentBody({ name, ...v, count: v.shares.length });
      const r = await this.#cloudCall("POST", "/machines", body);
      if (r === undefined) return;
      const key = keys.hire(name);
      if (r.status === 200) {
        await this.#hired(key, h.rev, v, parseRented(r.body) ?? []);
        return;
      }
      const refused = r.status === 503 && String(JSON.stringify(r.body)).includes("no capacity");
      if (!refused && r.status !== 400) return;
      this.#refuse(v);
      await this.#txn({
        conditions: [{ key, rev: h.rev }],
        ops: [{ kind: "delete", key }],
      });
    } finally {
      this.#hiring.delete(name);
    }
  }

  #refuse(v: { readonly type: string; readonly zone: string; readonly spot: boolean }): void {
    this.counters.refused++;
    const until = mono(steadyNow() + this.ctx.operators.refusedPauseS * 1000);
    this.#refusedUntil.set(offerKey(v.type, v.zone, v.spot), until);
  }

  async #hired(
    key: string,
    rev: Revision,
    v: HireRecord,
    ids: readonly MachineId[],
  ): Promise<void> {
    this.counters.rented += ids.length;
    if (ids.length < v.shares.length) this.#refuse(v);
    const { type, zone, spot } = v;
    const row = { type, zone, spot, endpoint: "", stage: "up", rentedAt: timeOfDay() } as const;
    // An intent that was written late, after it had been carried out and dropped, has the same answer
    // as then: what was returned since must not come back.
    const gone = (id: MachineId): boolean => this.#returned.has(id) || this.ctx.replica.isGone(id);
    const fresh = ids.flatMap((id, i) =>
      this.#known(id) || gone(id)
        ? []
        : [[id, { ...row, share: v.shares[i] ?? shareNo(0) }] as const],
    );
    await this.#enter(fresh, [{ key, rev }], [{ kind: "delete", key }]);
  }

  /** In the records, or on its way there: a machine must not stand in two pages. */
  #known(id: MachineId): boolean {
    return this.ctx.replica.machines.has(id) || this.#entering.has(id);
  }

  /** Writes new machines, a page for each share: few writes however many they are. */
  async #enter(
    rows: readonly (readonly [MachineId, NewMachine])[],
    conditions: readonly Condition[],
    ops: readonly Op[],
  ): Promise<boolean> {
    const { replica, settings } = this.ctx;
    const floor = replica.latest;
    const pages = new Map<ShareNo, [MachineId, MachineRecord][]>();
    for (const [id, m] of rows) {
      this.#entering.add(id);
      const page = pages.get(m.share) ?? [];
      pages.set(m.share, page);
      page.push([id, { ...m, floor }]);
    }
    const most = Math.floor(pageLimit({ ...settings.state, size: settings.size }) / MACHINE_BYTES);
    const puts: Op[] = [];
    for (const [share, machines] of pages)
      for (let i = 0; i < machines.length; i += most)
        puts.push({
          kind: "put",
          key: keys.fleet(share, this.#name()),
          value: fleetPageValue(machines.slice(i, i + most)),
        });
    const absent = puts.map((p) => ({ key: p.key, rev: ABSENT }));
    try {
      return await this.#txn({
        conditions: [...conditions, ...absent],
        ops: [...puts, ...ops],
      });
    } finally {
      for (const [id] of rows) this.#entering.delete(id);
    }
  }

  // ---- Unexpected machines ------------------------------------------------------------------

  /**
   * A machine that no record knows: from before our time, or from a request executed late. Its
   * report may be a late copy from one that was returned long ago, under whatever leader: it is
   * taken in once it has itself answered a question.
   */
  adopt(r: Report): void {
    if (this.#asking.has(r.machine) || this.#known(r.machine)) return;
    if (this.#returned.has(r.machine) || this.ctx.replica.isGone(r.machine)) return;
    if (this.#asking.size >= MOST_ASKED) return;
    this.#asking.add(r.machine);
    void this.#ask1(r).finally(() => this.#asking.delete(r.machine));
  }

  async #ask1(r: Report): Promise<void> {
    const a = await this.workers.call(r.endpoint, "GET", "/status", undefined, STATUS_MS);
    const own = a.kind === "answer" ? parseReport(a.body) : undefined;
    if (own?.machine !== r.machine) return;
    this.#adoptable.set(r.machine, {
      type: own.type,
      zone: own.zone,
      spot: own.spot,
      endpoint: own.endpoint,
      stage: "up",
      rentedAt: timeOfDay(),
      seenAt: this.ctx.replica.latest,
    });
  }

  /** Takes in what has shown itself, many machines in one write. */
  async adoptAll(): Promise<void> {
    if (this.#adoptable.size === 0 || !this.ctx.synced || !this.membership.mayLead()) return;
    const { replica } = this.ctx;
    const rows: (readonly [MachineId, Omit<NewMachine, "share">])[] = [];
    for (const [id, { seenAt, ...m }] of this.#adoptable) {
      // Unknown when it was seen, perhaps only because its page was not known here yet.
      if (replica.position < seenAt) continue;
      this.#adoptable.delete(id);
      if (!this.#known(id) && !this.#returned.has(id) && !replica.isGone(id)) rows.push([id, m]);
    }
    if (rows.length === 0) return;
    const next = this.#sharesByLoad();
    const done = await this.#enter(
      rows.map(([id, m]) => [id, { ...m, share: next(m.type) }] as const),
      [],
      [],
    );
    if (!done) return;
    this.counters.adopted += rows.length;
    this.ctx.log.info("machines adopted", { machines: rows.map(([id]) => id) });
  }

  /** Gives out shares, each time the one with the fewest processors. */
  #sharesByLoad(): (type: string) => ShareNo {
    const load = Array.from({ length: this.ctx.settings.size }, () => 0);
    const add = (share: ShareNo, type: string): void => {
      load[share] = (load[share] ?? 0) + (this.#type(type)?.capacity.cpus ?? 1);
    };
    for (const m of this.ctx.replica.machines.values()) add(m.share, m.type);
    return (type) => {
      const share = shareNo(load.indexOf(Math.min(...load)));
      add(share, type);
      return share;
    };
  }

  /** Seldom: for machines that nobody reports, that failed, or that never boot. */
  async #list(): Promise<void> {
    const now = steadyNow();
    if (now - this.#listAt < LIST_EVERY_MS) return;
    this.#listAt = now;
    const { replica, settings } = this.ctx;
    let after: string | undefined;
    const failed: MachineId[] = [];
    for (;;) {
      const r = await this.#cloudCall("GET", listPath(after));
      const page = r?.status === 200 ? parseMachineList(r.body) : undefined;
      if (page === undefined) break;
      for (const m of page.machines) {
        if (!this.#known(m.id)) {
          const old = m.ageS > 2 * settings.cloud.listLagS + CLOUD_MS / 1000;
          if (old && m.stage !== "failed" && !this.#returned.has(m.id) && !replica.isGone(m.id))
            this.#adoptable.set(m.id, {
              type: m.type,
              zone: m.zone,
              spot: m.spot,
              endpoint: m.stage === "running" ? m.endpoint : "",
              stage: "up",
              rentedAt: timeOfDay(),
              seenAt: replica.latest,
            });
        } else if (m.stage === "failed") failed.push(m.id);
      }
      if (!page.more || page.machines.length === 0) break;
      after = page.machines[page.machines.length - 1]?.id;
    }
    if (failed.length > 0) await this.#ask([], failed, "failed");
  }

  // ---- Planning -----------------------------------------------------------------------------

  #type(name: string): MachineType | undefined {
    return this.ctx.replica.types?.value.find((t) => t.name === name);
  }

  /** A holder's word that these jobs fail wherever they are started. */
  noteFailing(ids: Iterable<JobId>): void {
    const until = mono(steadyNow() + FAILING_MS);
    for (const id of ids) this.#failing.set(id, until);
  }

  /** Tells the leader which jobs of the shares held here fail; it may be this controller. */
  async tellFailing(): Promise<void> {
    const { replica, settings, me } = this.ctx;
    const failing = [...this.holder.held.failing()];
    const leader = replica.leader?.value.label;
    if (failing.length === 0 || leader === undefined) return;
    const address = leader === me.label ? undefined : addressOf(settings, leader);
    if (leader === me.label) this.noteFailing(failing);
    else if (address !== undefined)
      await this.peers.raw(
        address,
        "POST",
        "/peer",
        encodePeer({ ...NO_WORD, from: me.label, failing }),
        PEER_MS,
      );
  }

  /**
   * The live jobs as demand sees them. One that fails everywhere wants room for one task, to see
   * whether it still does: with a mistake in it it would hold all idle machines for its share.
   */
  #wanting(): readonly (readonly [JobId, LiveJob])[] {
    const now = steadyNow();
    for (const [id, until] of this.#failing) if (until <= now) this.#failing.delete(id);
    return [...this.ctx.replica.allJobs()].map(([id, j]) => {
      if (!this.#failing.has(id)) return [id, j] as const;
      const tasks = Math.min(j.spec.tasks, doneCount(j) + Math.max(1, j.open.length));
      return [id, { ...j, spec: { ...j.spec, tasks } }] as const;
    });
  }

  #demand(dtS: number): readonly DemandGroup[] {
    const { replica, settings, operators } = this.ctx;
    const jobs = this.#wanting();
    const d = demandOf({
      jobs,
      shareOf: replica.teams?.value ?? new Map(),
      teams: this.ctx.teams,
      owed: owedJobs(jobs, this.ctx.teams),
      objectives: settings.objectives,
      runS: (j) => this.holder.held.runS(j.spec),
      types: replica.types?.value ?? [],
      bootS: Math.min(...(replica.types?.value ?? []).map((t) => t.bootS)),
      headroom: operators.headroom,
      patience: operators.patience,
      lastPatience: operators.lastPatience,
      riseS: operators.riseS,
      fallS: operators.fallS,
      margin: operators.margin,
      dtS,
      now: timeOfDay(),
      levels: this.#levels,
    });
    this.#levels = d.levels;
    return d.groups;
  }

  async plan(): Promise<void> {
    const { replica, operators, settings } = this.ctx;
    const types = replica.types?.value;
    if (!this.ctx.synced || !this.membership.mayLead()) return;
    if (types === undefined || replica.teams === undefined) return;
    const now = steadyNow();
    const dtS = (now - this.#plannedAt) / 1000;
    this.#plannedAt = now;
    const machines: FleetMachine[] = [];
    const late: MachineId[] = [];
    const owed = owedJobs(replica.allJobs(), this.ctx.teams);
    const seen = new Map<string, Mono>();
    for (const [id, m] of replica.machines) {
      const type = this.#type(m.type);
      if (m.stage !== "up" || type === undefined || replica.isGone(id)) continue;
      const work = replica.work(m.share);
      const open = work.openOn(id);
      if (open.size > 0) this.#idleSince.delete(id);
      else if (!this.#idleSince.has(id)) this.#idleSince.set(id, now);
      const asked = this.#given.get(id);
      if (asked !== undefined && (asked.until <= now || m.share === asked.to))
        this.#given.delete(id);
      const given = this.#given.get(id)?.to;
      let use = NOTHING;
      const tasks: FleetMachine["tasks"][number][] = [];
      for (const [task, o] of open) {
        const job = work.jobs.get(o.job);
        if (job === undefined || given !== undefined) continue;
        use = plus(use, job.spec.needs);
        const key = attemptKey(task, o.attempt);
        const since = this.#openSince.get(key) ?? now;
        seen.set(key, since);
        const ranS = (now - since) / 1000;
        const { checkpointS, saveS, needs } = job.spec;
        const lossS = checkpointS > 0 ? saveS : ranS;
        // What a team is owed is not for the leader to take away.
        const rank = owed.has(o.job) ? -1 : rankOrder(job.spec.rank);
        tasks.push({ rank, needs, lossS });
      }
      const heldS = Math.max(0, (timeOfDay() - m.rentedAt) / 1000);
      const up = m.endpoint !== "";
      if (!up && heldS > type.bootS * operators.bootPatience + settings.workers.reportS) {
        late.push(id);
        continue;
      }
      machines.push({
        id,
        share: given ?? m.share,
        type,
        zone: m.zone,
        spot: m.spot,
        up,
        use,
        open: given === undefined ? open.size : 0,
        tasks,
        idleS: (now - (this.#idleSince.get(id) ?? now)) / 1000,
        heldS,
      });
    }
    for (const id of [...this.#idleSince.keys()])
      if (!replica.machines.has(id)) this.#idleSince.delete(id);
    this.#openSince = seen;
    if (late.length > 0) await this.#ask([], late, "never booted");
    for (const [key, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(key);
    const plan = planFleet({
      types,
      machines,
      demand: this.#demand(dtS),
      refused: new Set(this.#refusedUntil.keys()),
      idleReturnS: operators.idleReturnS,
      maxRents: MAX_RENT * Math.max(1, Math.floor(settings.cloud.rps)),
      lifeS: operators.lifeS,
      size: settings.size,
    });
    if (this.ctx.log.enabled("debug")) this.#logPlan(machines, plan);
    this.#give(plan.moves, now);
    await this.#ask(plan.moves, plan.returns);
    await this.#intend(plan.rents);
  }

  #give(moves: readonly MoveRequest[], now: Mono): void {
    for (const m of moves) {
      const until = mono(now + (m.vacate ? VACATE_MS : GIVE_MS));
      this.#given.set(m.machine, { to: m.to, until });
    }
  }

  /**
   * Between two plans: idle machines go to shares whose tasks wait, for an array that arrives at
   * one share may want more than its part of what is idle. Looks at idle machines only; what its
   * own machines have room for a share's holder has placed by then.
   */
  async rebalance(): Promise<void> {
    const { replica, settings } = this.ctx;
    const types = replica.types?.value;
    if (!this.ctx.synced || !this.membership.mayLead() || types === undefined) return;
    const now = steadyNow();
    const at = timeOfDay();
    let waits = false;
    for (const [, j] of replica.allJobs())
      if (waitingCount(j) > 0 && at - j.acceptedAt > SETTLE_MS) waits = true;
    if (!waits) return;
    const machines: FleetMachine[] = [];
    for (const [id, m] of replica.machines) {
      if (m.stage !== "up" || m.endpoint === "" || replica.isGone(id)) continue;
      if (replica.work(m.share).openOn(id).size > 0) continue;
      const type = this.#type(m.type);
      if (type === undefined) continue;
      const asked = this.#given.get(id);
      const share = asked === undefined || asked.until <= now ? m.share : asked.to;
      const { zone, spot } = m;
      const row = { id, share, type, zone, spot, up: true, use: NOTHING, open: 0, tasks: [] };
      machines.push({ ...row, idleS: 0, heldS: 0 });
    }
    if (machines.length === 0) return;
    const moves = idleMoves({ types, machines, demand: this.#demand(0), size: settings.size });
    this.#give(moves, now);
    await this.#ask(moves, []);
  }

  #logPlan(machines: readonly FleetMachine[], plan: FleetPlan): void {
    const { replica } = this.ctx;
    for (const share of replica.shares.keys()) {
      const own = machines.filter((m) => m.share === share);
      const jobs = [...replica.work(share).jobs.values()];
      const cpus = (some: readonly FleetMachine[]): number =>
        some.reduce((n, m) => n + m.type.capacity.cpus, 0);
      this.ctx.log.debug("plan", {
        share,
        upCpus: cpus(own.filter((m) => m.up)),
        bootingCpus: cpus(own.filter((m) => !m.up)),
        usedCpus: own.reduce((n, m) => n + m.use.cpus, 0),
        emptyCpus: cpus(own.filter((m) => m.up && m.open === 0)),
        waitingCpus: jobs.reduce((n, j) => n + waitingCount(j) * j.spec.needs.cpus, 0),
        levels: [...this.#levels].map(
          ([key, n]) => `${key.split("|")[0]}.${key.split("|").pop()}=${n.toFixed(1)}`,
        ),
        moves: plan.moves.filter((m) => m.to === share).length,
        rents: plan.rents.flatMap((r) => r.shares).filter((n) => n === share).length,
      });
    }
  }

  /** Writes the intents to rent; they are carried out at once, and by any later leader. */
  async #intend(rents: readonly Rent[]): Promise<void> {
    const { replica, settings } = this.ctx;
    if (rents.length === 0 || replica.hires.size > 0) return;
    const calls = rents.flatMap((r) => {
      const parts: Rent[] = [];
      for (let i = 0; i < r.shares.length; i += MAX_RENT)
        parts.push({ ...r, shares: r.shares.slice(i, i + MAX_RENT) });
      return parts;
    });
    const some = calls
      .slice(0, Math.min(settings.state.txnOps, MOST_HIRES))
      .map((r) => ({ name: this.#name(), r }));
    const done = await this.#txn({
      conditions: some.map((x) => ({ key: keys.hire(x.name), rev: ABSENT })),
      ops: some.map((x) => ({
        kind: "put",
        key: keys.hire(x.name),
        value: hireValue({ ...x.r, at: timeOfDay() }),
      })),
    });
    if (done) this.ctx.log.debug("hires written", { hires: some.length });
  }

  /** Moves and returns are the holder's to carry out: it alone knows that a machine is free. */
  async #ask(
    moves: readonly MoveRequest[],
    returns: readonly MachineId[],
    reason?: string,
  ): Promise<void> {
    const { replica, settings, me } = this.ctx;
    const byHolder = new Map<string, { moves: MoveRequest[]; retire: MachineId[] }>();
    const entry = (id: MachineId) => {
      const share = replica.machines.get(id)?.share;
      const label = share === undefined ? undefined : this.membership.holderOf(share)?.label;
      if (label === undefined) return undefined;
      const e = byHolder.get(label) ?? { moves: [], retire: [] };
      byHolder.set(label, e);
      return e;
    };
    for (const m of moves) entry(m.machine)?.moves.push(m);
    for (const id of returns) entry(id)?.retire.push(id);
    for (const m of moves) this.counters[m.vacate ? "vacated" : "moved"]++;
    for (const [label, e] of byHolder) {
      if (label === me.label) {
        for (const m of e.moves) this.holder.requestMove(m);
        for (const id of e.retire) this.holder.requestRetire(id, reason);
        continue;
      }
      const seed = settings.seeds.find((s) => s.label === label);
      const address = seed === undefined ? undefined : addressOf(settings, seed.label);
      if (address === undefined) continue;
      const payload = encodePeer({
        ...NO_WORD,
        from: me.label,
        moves: e.moves,
        retire: e.retire,
        reason: reason ?? "",
      });
      void this.peers.raw(address, "POST", "/peer", payload, PEER_MS);
    }
  }

  stats(): Readonly<Record<string, unknown>> {
    return { ...this.counters };
  }
}
