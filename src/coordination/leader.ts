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
import { ABSENT, type MachineId, type Mono, mono, type ShareNo, shareNo } from "../protocol/ids.js";
import { rankOrder } from "../protocol/jobs.js";
import { encodePeer, type MoveRequest } from "../protocol/peer.js";
import type { Op, Txn } from "../protocol/store.js";
import type { Report } from "../protocol/workers.js";
import { demandOf } from "../scheduling/demand.js";
import {
  type DemandGroup,
  type FleetMachine,
  type FleetPlan,
  offerKey,
  planFleet,
  type Rent,
} from "../scheduling/fleet.js";
import { owedJobs } from "../scheduling/order.js";
import { NOTHING, plus } from "../scheduling/resources.js";
import { absorb, addressOf, type Context, refresh } from "../service/context.js";
import { Budget } from "../storage/budget.js";
import {
  type HireRecord,
  hireValue,
  keys,
  type MachineRecord,
  machineValue,
  typesValue,
  waitingCount,
} from "../storage/records.js";
import type { Calls } from "../transport/client.js";
import { steadyNow, timeOfDay } from "../transport/clock.js";
import type { Holder } from "./holder.js";
import type { Membership } from "./membership.js";
import { attemptKey } from "./session.js";

const CLOUD_MS = 5000;
const PEER_MS = 1000;
const TYPES_EVERY_MS = 60_000;
const LIST_EVERY_MS = 15_000;
/** How long a machine may take to be vacated before another is asked for. */
const VACATE_MS = 6000;
/** Machines returned lately, whose late reports must not have them adopted again. */
const RETURNED_KEPT = 10_000;

/** The leader's work: all calls of the cloud, and which share a free machine serves. */
export class Leader {
  readonly #budget: Budget;
  readonly #refusedUntil = new Map<string, Mono>();
  readonly #idleSince = new Map<MachineId, Mono>();
  #levels: ReadonlyMap<string, number> = new Map();
  readonly #returned = new Set<MachineId>();
  /** When each open attempt was first seen in the records. */
  #openSince: ReadonlyMap<string, Mono> = new Map();
  /** Machines asked to be vacated: they count as their new share's until that has failed. */
  readonly #vacating = new Map<MachineId, { readonly to: ShareNo; readonly until: Mono }>();
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
  ) {
    this.#budget = new Budget(ctx.settings.cloud.rps * 0.9, 1.5, steadyNow());
  }

  /** Only applied while this controller leads. */
  async #txn(t: Txn): Promise<boolean> {
    const lead = this.ctx.replica.leader;
    if (lead === undefined || !this.membership.leads()) return false;
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
    if (!this.ctx.synced || !this.membership.leads()) return;
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
    const { replica, settings } = this.ctx;
    const most = Math.min(MAX_RETURN, settings.state.txnOps);
    const ids: MachineId[] = [];
    for (const [id, m] of replica.machines)
      if (m.value.stage === "retiring" && ids.length < most) ids.push(id);
    if (ids.length === 0) return;
    const r = await this.#cloudCall("POST", "/machines/return", returnBody(ids));
    if (r?.status !== 200) return;
    this.counters.returned += ids.length;
    const present = ids.flatMap((id) => {
      const m = replica.machines.get(id);
      return m === undefined ? [] : [{ id, m }];
    });
    for (const id of ids) this.#returned.add(id);
    for (const id of this.#returned) {
      if (this.#returned.size <= RETURNED_KEPT) break;
      this.#returned.delete(id);
    }
    await this.#txn({
      conditions: present.map(({ id, m }) => ({ key: keys.machine(id), rev: m.rev })),
      ops: present.map(({ id, m }) => ({
        kind: "put",
        key: keys.machine(id),
        value: machineValue({ ...m.value, stage: "gone" }),
      })),
    });
  }

  // ---- Renting ------------------------------------------------------------------------------

  /** Carries out written intents. A name is repeated until it has an answer, and never reused. */
  async #hire(): Promise<void> {
    for (const [name, h] of [...this.ctx.replica.hires]) {
      const v = h.value;
      const r = await this.#cloudCall(
        "POST",
        "/machines",
        rentBody({ name, ...v, count: v.shares.length }),
      );
      if (r === undefined) return;
      const key = keys.hire(name);
      if (r.status === 200) {
        await this.#hired(name, v, parseRented(r.body) ?? []);
        continue;
      }
      const refused = r.status === 503 && String(JSON.stringify(r.body)).includes("no capacity");
      if (!refused && r.status !== 400) return;
      this.#refuse(v);
      await this.#txn({
        conditions: [{ key, rev: h.rev }],
        ops: [{ kind: "delete", key }],
      });
    }
  }

  #refuse(v: { readonly type: string; readonly zone: string; readonly spot: boolean }): void {
    this.counters.refused++;
    const until = mono(steadyNow() + this.ctx.operators.refusedPauseS * 1000);
    this.#refusedUntil.set(offerKey(v.type, v.zone, v.spot), until);
  }

  async #hired(name: string, v: HireRecord, ids: readonly MachineId[]): Promise<void> {
    const { replica, settings } = this.ctx;
    this.counters.rented += ids.length;
    if (ids.length < v.shares.length) this.#refuse(v);
    const record = (id: MachineId): MachineRecord => ({
      share: v.shares[ids.indexOf(id)] ?? shareNo(0),
      type: v.type,
      zone: v.zone,
      spot: v.spot,
      endpoint: "",
      stage: "up",
      rentedAt: timeOfDay(),
    });
    const fresh = ids.filter((id) => !replica.machines.has(id));
    const step = Math.max(1, settings.state.txnOps - 1);
    const key = keys.hire(name);
    for (let i = 0; i === 0 || i < fresh.length; i += step) {
      const part = fresh.slice(i, i + step);
      const ops: Op[] = part.map((id) => ({
        kind: "put",
        key: keys.machine(id),
        value: machineValue(record(id)),
      }));
      // The intent goes with the last part: until then a successor would ask again.
      if (i + step >= fresh.length) ops.push({ kind: "delete", key });
      const done = await this.#txn({
        conditions: [
          { key, rev: replica.rev(key) },
          ...part.map((id) => ({ key: keys.machine(id), rev: ABSENT })),
        ],
        ops,
      });
      if (!done) return;
    }
  }

  // ---- Unexpected machines ------------------------------------------------------------------

  /** A machine that no record knows: from before our time, or from a request executed late. */
  adopt(r: Report): void {
    void this.#adopt(r.machine, {
      share: this.#neediestShare(),
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      endpoint: r.endpoint,
      stage: "up",
      rentedAt: timeOfDay(),
    });
  }

  async #adopt(id: MachineId, record: MachineRecord): Promise<void> {
    if (this.#returned.has(id)) return;
    const key = keys.machine(id);
    const done = await this.#txn({
      conditions: [{ key, rev: ABSENT }],
      ops: [{ kind: "put", key, value: machineValue(record) }],
    });
    if (!done) return;
    this.counters.adopted++;
    this.ctx.log.info("machine adopted", { machine: id, share: record.share });
  }

  #neediestShare(): ShareNo {
    const load = Array.from({ length: this.ctx.settings.size }, () => 0);
    for (const m of this.ctx.replica.machines.values()) {
      const cpus = this.#type(m.value.type)?.capacity.cpus ?? 1;
      load[m.value.share] = (load[m.value.share] ?? 0) + cpus;
    }
    return shareNo(load.indexOf(Math.min(...load)));
  }

  /** Seldom: for machines that nobody reports, that failed, or that never boot. */
  async #list(): Promise<void> {
    const now = steadyNow();
    if (now - this.#listAt < LIST_EVERY_MS) return;
    this.#listAt = now;
    let after: string | undefined;
    for (;;) {
      const r = await this.#cloudCall("GET", listPath(after));
      const page = r?.status === 200 ? parseMachineList(r.body) : undefined;
      if (page === undefined) return;
      for (const m of page.machines) {
        const known = this.ctx.replica.machines.get(m.id);
        if (known === undefined) {
          const old = m.ageS > 2 * this.ctx.settings.cloud.listLagS + CLOUD_MS / 1000;
          if (old && m.stage !== "failed")
            await this.#adopt(m.id, {
              share: this.#neediestShare(),
              type: m.type,
              zone: m.zone,
              spot: m.spot,
              endpoint: m.stage === "running" ? m.endpoint : "",
              stage: "up",
              rentedAt: timeOfDay(),
            });
        } else if (m.stage === "failed") await this.#retire(m.id, "failed");
      }
      if (!page.more || page.machines.length === 0) return;
      after = page.machines[page.machines.length - 1]?.id;
    }
  }

  async #retire(id: MachineId, reason: string): Promise<void> {
    const m = this.ctx.replica.machines.get(id);
    if (m === undefined || m.value.stage !== "up") return;
    this.ctx.log.info("machine retired", { machine: id, reason });
    const key = keys.machine(id);
    await this.#txn({
      conditions: [{ key, rev: m.rev }],
      ops: [{ kind: "put", key, value: machineValue({ ...m.value, stage: "retiring" }) }],
    });
  }

  // ---- Planning -----------------------------------------------------------------------------

  #type(name: string): MachineType | undefined {
    return this.ctx.replica.types?.value.find((t) => t.name === name);
  }

  #demand(dtS: number): readonly DemandGroup[] {
    const { replica, settings, operators } = this.ctx;
    const jobs = [...replica.jobs].map(([id, j]) => [id, j.value] as const);
    const d = demandOf({
      jobs,
      shareOf: replica.teams?.value ?? new Map(),
      teams: this.ctx.teams,
      owed: owedJobs(jobs, this.ctx.teams),
      objectives: settings.objectives,
      runS: (j) => this.holder.runS(j.spec),
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
    if (!this.ctx.synced || !this.membership.leads()) return;
    if (types === undefined || replica.teams === undefined) return;
    const now = steadyNow();
    const dtS = (now - this.#plannedAt) / 1000;
    this.#plannedAt = now;
    const machines: FleetMachine[] = [];
    const late: MachineId[] = [];
    const owed = owedJobs(
      [...replica.jobs].map(([id, j]) => [id, j.value] as const),
      this.ctx.teams,
    );
    const seen = new Map<string, Mono>();
    for (const [id, m] of replica.machines) {
      const type = this.#type(m.value.type);
      if (m.value.stage !== "up" || type === undefined) continue;
      const open = replica.openOn(id);
      if (open.size > 0) this.#idleSince.delete(id);
      else if (!this.#idleSince.has(id)) this.#idleSince.set(id, now);
      const vacated = this.#vacating.get(id);
      if (vacated !== undefined && (vacated.until <= now || m.value.share === vacated.to))
        this.#vacating.delete(id);
      const given = this.#vacating.get(id)?.to;
      let use = NOTHING;
      const tasks: FleetMachine["tasks"][number][] = [];
      for (const [task, o] of open) {
        const job = replica.jobs.get(o.job)?.value;
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
      const heldS = Math.max(0, (timeOfDay() - m.value.rentedAt) / 1000);
      const up = m.value.endpoint !== "";
      if (!up && heldS > type.bootS * operators.bootPatience + settings.workers.reportS) {
        late.push(id);
        continue;
      }
      machines.push({
        id,
        share: given ?? m.value.share,
        type,
        zone: m.value.zone,
        spot: m.value.spot,
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
    for (const id of late) await this.#retire(id, "never booted");
    for (const [key, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(key);
    const plan = planFleet({
      types,
      machines,
      demand: this.#demand(dtS),
      refused: new Set(this.#refusedUntil.keys()),
      idleReturnS: operators.idleReturnS,
      maxRents: MAX_RENT,
      lifeS: operators.lifeS,
      size: settings.size,
    });
    if (this.ctx.log.enabled("debug")) this.#logPlan(machines, plan);
    for (const m of plan.moves)
      if (m.vacate) this.#vacating.set(m.machine, { to: m.to, until: mono(now + VACATE_MS) });
    await this.#ask(plan.moves, plan.returns);
    await this.#intend(plan.rents);
  }

  #logPlan(machines: readonly FleetMachine[], plan: FleetPlan): void {
    const { replica } = this.ctx;
    for (const share of replica.shares.keys()) {
      const own = machines.filter((m) => m.share === share);
      const jobs = [...replica.jobs.values()].filter(
        ({ value: j }) => replica.teams?.value.get(j.spec.team) === share,
      );
      const cpus = (some: readonly FleetMachine[]): number =>
        some.reduce((n, m) => n + m.type.capacity.cpus, 0);
      this.ctx.log.debug("plan", {
        share,
        upCpus: cpus(own.filter((m) => m.up)),
        bootingCpus: cpus(own.filter((m) => !m.up)),
        usedCpus: own.reduce((n, m) => n + m.use.cpus, 0),
        emptyCpus: cpus(own.filter((m) => m.up && m.open === 0)),
        waitingCpus: jobs.reduce((n, { value: j }) => n + waitingCount(j) * j.spec.needs.cpus, 0),
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
    const lead = replica.leader;
    if (lead === undefined) return;
    // Named by this term of leadership: no two terms share a revision, no term a number.
    const some = rents.slice(0, Math.min(settings.state.txnOps, 8)).map((r) => ({
      name: `${lead.rev}-${++this.#names}`,
      r: { ...r, shares: r.shares.slice(0, MAX_RENT) },
    }));
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
  async #ask(moves: readonly MoveRequest[], returns: readonly MachineId[]): Promise<void> {
    const { replica, settings, me } = this.ctx;
    const byHolder = new Map<string, { moves: MoveRequest[]; retire: MachineId[] }>();
    const entry = (id: MachineId) => {
      const share = replica.machines.get(id)?.value.share;
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
        for (const id of e.retire) this.holder.requestRetire(id);
        continue;
      }
      const seed = settings.seeds.find((s) => s.label === label);
      const address = seed === undefined ? undefined : addressOf(settings, seed.label);
      if (address === undefined) continue;
      const payload = encodePeer({ from: me.label, moves: e.moves, retire: e.retire });
      void this.peers.raw(address, "POST", "/peer", payload, PEER_MS);
    }
  }

  stats(): Readonly<Record<string, unknown>> {
    return { ...this.counters };
  }
}
