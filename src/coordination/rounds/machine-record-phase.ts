import type { MachineId, MonotonicMs, Revision } from "@umberfold/ids";
import type { MachinePage } from "../../storage/fleet-index.js";
import { MACHINE_BYTES } from "../../storage/pages.js";
import { keys, type MachineRecord } from "../../storage/records.js";
import { maxPageBytes } from "../../storage/transaction-batch.js";
import { isBlockedByEarlierAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import { mustRaiseToken, shouldRaiseToken } from "../ownership/token-raise.js";
import type { WorkerSession } from "../ownership/worker-session.js";
import type { ShardRound } from "./shard-round.js";

/** What is to become of a machine's record. */
type Change =
  | { readonly kind: "drop" }
  | { readonly kind: "move"; readonly to: MachineRecord }
  /** Worth a write only if its page is written anyway, or after this long; 0: at once. */
  | { readonly kind: "put"; readonly to: MachineRecord; readonly lazyMs: number };

/** How long an endpoint may wait for company before its page is written for it alone. */
const LAZY_MS = 1500;
/** The same for a token that should rise so that exited attempts can be forgotten. */
const LAZY_BUMP_MS = 6000;
/** Pages are joined while together they take at most this part of what one may. */
const JOIN_PART = 0.7;
/** Pages joined in one round, and how full the write budget must be to write one for that alone. */
const MOST_JOINED = 3;
const JOIN_LEVEL = 0.6;

/** Records of machines: those proved gone, endpoints, bumps, moves between shards, retirement. */
export class MachineRecordPhase {
  /** Pages with a change that waits for company, and since when. */
  readonly #lazySince = new Map<string, MonotonicMs>();
  /** Machines whose records are to change and have not been written yet. */
  readonly #pending = new Set<MachineId>();
  #names = 0;

  constructor(private readonly owned: ShardState) {}

  /**
   * Looks at machines of which something changed, and at those whose change is not written yet.
   * Returns the machines whose records this round changes: nothing is started on them.
   */
  reconcile(round: ShardRound, looked: Iterable<MachineId>): ReadonlySet<MachineId> {
    const { replica } = this.owned.ctx;
    const edited = new Set<MachineId>();
    const written = new Set<string>();
    const pages: [string, MachinePage][] = [];
    for (const [key, page] of replica.machinePages)
      if (page.shard === round.shard) pages.push([key, page]);
    for (const key of this.#lazySince.keys())
      if (!replica.machinePages.has(key)) this.#lazySince.delete(key);
    const changesOf = this.#changesByPage(round, looked);
    for (const [key] of pages) {
      const changes = changesOf.get(key);
      if (changes === undefined) {
        this.#lazySince.delete(key);
        continue;
      }
      let lazyMs = Number.POSITIVE_INFINITY;
      for (const change of changes.values())
        lazyMs = Math.min(lazyMs, change.kind === "put" ? change.lazyMs : 0);
      if (lazyMs > 0) {
        const since = this.#lazySince.get(key) ?? round.now;
        this.#lazySince.set(key, since);
        if (round.now - since < lazyMs) continue;
      }
      if (!this.#write(key, changes, round, edited)) continue;
      this.#lazySince.delete(key);
      written.add(key);
    }
    this.#join(pages, written, round);
    return edited;
  }

  /** What is to become of the records of these machines and of those that are pending, by page. */
  #changesByPage(
    round: ShardRound,
    looked: Iterable<MachineId>,
  ): ReadonlyMap<string, ReadonlyMap<MachineId, Change>> {
    const { replica } = this.owned.ctx;
    const byPage = new Map<string, Map<MachineId, Change>>();
    for (const id of new Set([...looked, ...this.#pending])) {
      const machine = replica.machines.get(id);
      // Pending ones of another shard have their turn in that shard's part of the round.
      if (machine !== undefined && machine.shard !== round.shard) continue;
      const key = replica.machinePageOf(id);
      const change = machine === undefined ? undefined : this.#change(id, machine, round);
      if (change === undefined || key === undefined) {
        this.#pending.delete(id);
        continue;
      }
      // Until a round in which it needs no change any more: the write may fail, or have to wait.
      this.#pending.add(id);
      const changes = byPage.get(key);
      if (changes === undefined) byPage.set(key, new Map([[id, change]]));
      else changes.set(id, change);
    }
    return byPage;
  }

  #write(
    key: string,
    changes: ReadonlyMap<MachineId, Change>,
    round: ShardRound,
    edited: Set<MachineId>,
  ): boolean {
    const { owned } = this;
    const { replica } = owned.ctx;
    const machines = round.batch.editMachinePage(key);
    if (machines === undefined) return false;
    for (const [id, change] of changes) {
      if (change.kind === "drop") machines.delete(id);
      else if (change.kind === "move") {
        const shard = replica.shardOwners.get(round.shard)?.rev;
        const page = round.batch.newMachinePage(
          keys.fleet(change.to.shard, `${shard}-${this.#names}`),
        );
        if (page === undefined) continue;
        machines.delete(id);
        page.set(id, change.to);
        edited.add(id);
      } else {
        owned.machineState(id).tokenRaise.clear();
        if (change.lazyMs === 0 || change.to.tokenFloor !== machines.get(id)?.tokenFloor)
          edited.add(id);
        machines.set(id, change.to);
        if (change.to.phase === "up") round.machinesToCall.add(id);
        else owned.machineState(id).departure.step({ kind: "transfer_ended" });
      }
    }
    return true;
  }

  /** A new name for the pages of the next round's moves. */
  nextPageNames(): void {
    this.#names++;
  }

  #change(id: MachineId, m: MachineRecord, round: ShardRound): Change | undefined {
    const { owned } = this;
    const { replica } = owned.ctx;
    const open = replica.shardJobs(round.shard).openAttemptsOn(id).size;
    if (replica.isGone(id))
      return open === (round.terminatedByMachine.get(id)?.size ?? 0) ? { kind: "drop" } : undefined;
    const s = owned.sessions.get(id);
    if (s === undefined || m.phase !== "up") return undefined;
    const { decommission, transfer: pending } = owned.machineState(id).departure;
    const empty = open === 0;
    if (decommission !== null && (decommission.force || empty)) {
      owned.ctx.log.info("machine retired", { machine: id, reason: decommission.reason });
      return { kind: "put", to: { ...m, phase: "retiring" }, lazyMs: 0 };
    }
    const endpoint = s.status?.endpoint ?? m.endpoint;
    const transfer = pending === null ? undefined : this.#transfer(id, { ...m, endpoint }, s);
    const raise = this.#raise(id, { ...m, endpoint }, s, round);
    if (transfer !== undefined || raise !== undefined) return transfer ?? raise;
    if (endpoint !== m.endpoint) return { kind: "put", to: { ...m, endpoint }, lazyMs: LAZY_MS };
    return undefined;
  }

  /** The move to another shard that the leader asked for, once nothing is left on the machine. */
  #transfer(id: MachineId, m: MachineRecord, s: WorkerSession): Change | undefined {
    const { owned } = this;
    const { departure } = owned.machineState(id);
    if (departure.transfer === null) return undefined;
    const { to, drain, whenEmpty } = departure.transfer;
    const empty = owned.ctx.replica.shardJobs(m.shard).openAttemptsOn(id).size === 0;
    // What has exited there the next owner forgets, under its higher token.
    const idle = [...s.tasks.values()].every((x) => x.phase === "ended");
    const proved = empty && idle && (s.state === "ready" || s.status === undefined);
    if (proved || !(drain || whenEmpty)) departure.step({ kind: "transfer_ended" });
    const tokenFloor = this.#above(owned.fencingTokenOf(m));
    if (!proved || to === m.shard || tokenFloor === undefined) return undefined;
    return { kind: "move", to: { ...m, shard: to, tokenFloor } };
  }

  /** A higher token, where a lost start or a kept exit needs one. */
  #raise(id: MachineId, m: MachineRecord, s: WorkerSession, round: ShardRound): Change | undefined {
    const { owned } = this;
    const note = owned.machineState(id);
    const open = owned.ctx.replica.shardJobs(round.shard).openAttemptsOn(id);
    const blocked = (): boolean => {
      for (const [task, o] of open) if (isBlockedByEarlierAttempt(s, task, o.attempt)) return true;
      return false;
    };
    const kept = s.startDeliveries.size > 0 && s.state === "ready";
    if (!kept) note.tokenRaise.clear();
    const pressing = mustRaiseToken(s) || (kept && (note.tokenRaise.pending || blocked()));
    if (!pressing && !(shouldRaiseToken(s) && s.state === "ready")) return undefined;
    const tokenFloor = this.#above(owned.fencingTokenOf(m));
    if (tokenFloor === undefined) return undefined;
    return { kind: "put", to: { ...m, tokenFloor }, lazyMs: pressing ? 0 : LAZY_BUMP_MS };
  }

  /**
   * A revision above a token that was in force: whoever commands under it, or takes the shard
   * over later, can't be taken for the one before.
   */
  #above(old: number): Revision | undefined {
    const { latestSeenRevision } = this.owned.ctx.replica;
    return latestSeenRevision > old ? latestSeenRevision : undefined;
  }

  /**
   * Small pages, as rents and moves leave them, are joined into one that is written anyway: each
   * costs one delete now, and one put less in every later round that has to do with its machines.
   */
  #join(
    pages: readonly (readonly [string, MachinePage])[],
    written: ReadonlySet<string>,
    round: ShardRound,
  ): void {
    const { ctx } = this.owned;
    if (pages.length < 3) return;
    if (written.size === 0 && ctx.store.writeLevel() < JOIN_LEVEL) return;
    const most =
      (maxPageBytes({ ...ctx.settings.state, shardCount: ctx.settings.shardCount }) * JOIN_PART) /
      MACHINE_BYTES;
    const bySize = [...pages].sort((a, b) => a[1].machines.size - b[1].machines.size);
    const least = bySize[0]?.[1].machines.size ?? 0;
    const into = bySize
      .slice(1)
      .filter(([, p]) => p.machines.size + least <= most)
      .filter(([key]) => written.size === 0 || written.has(key))
      .pop();
    const target = into === undefined ? undefined : round.batch.editMachinePage(into[0]);
    if (into === undefined || target === undefined) return;
    let joined = 0;
    for (const [key, p] of bySize) {
      if (joined >= MOST_JOINED) break;
      if (key === into[0] || target.size + p.machines.size > most) continue;
      const from = round.batch.editMachinePage(key);
      if (from === undefined) return;
      for (const [id, m] of from) target.set(id, m);
      from.clear();
      if (!written.has(key)) joined++;
    }
  }
}
