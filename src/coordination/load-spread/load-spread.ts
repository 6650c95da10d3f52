import type { JobId, ShardId, TeamName } from "@umberfold/ids";
import {
  chooseShard,
  decideSpan,
  dissolvable,
  fairTurns,
  LoadSpreadPlanner,
  type LoadSpreadSettings,
  NO_PRESSURE,
  nextTransfer,
  type OwnerLoad,
  type Pressure,
  stepPressure,
  type TeamLoad,
  teamPressure,
} from "@umberfold/load-spread";
import { homeSpan, type Span, spanValue, stepSpan } from "@umberfold/spans";
import type { JobSpec } from "../../protocol/jobs.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { Transaction } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { LeaderRecords } from "../fleet/leader-records.js";
import type { Membership } from "../membership/membership.js";
import type { ShardOwner } from "../rounds/shard-owner.js";
import type { LoadSpreadHooks } from "./hooks.js";
import { MachineBalance } from "./machine-balance.js";
import { SpanRecords } from "./span-records.js";
import { ownerLoads, quotaPart, quotaShare, teamLoads } from "./team-loads.js";

/**
 * Load spreading, wired to the records: the leader changes and plans spans, each owner hands on what
 * its shards have beyond their targets. While it is off, spans of an earlier time are drained home.
 */
export class LoadSpread {
  readonly #spans: SpanRecords;
  readonly #planner: LoadSpreadPlanner;
  readonly #pressures = new Map<TeamName, Pressure>();
  readonly #balance: MachineBalance;
  #transfers = 0;
  #machinesMoved = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    private readonly owner: ShardOwner,
    private readonly settings: LoadSpreadSettings,
    /** Asks the machines' owners to hand them over once they are empty. */
    private readonly moveMachines: (moves: readonly MachineTransferRequest[]) => void,
  ) {
    this.#spans = new SpanRecords(ctx, new LeaderRecords(ctx, membership));
    this.#planner = new LoadSpreadPlanner(settings, monotonicNow);
    this.#balance = new MachineBalance(ctx);
  }

  /** What other parts may ask while it is on. */
  hooks(): LoadSpreadHooks {
    const placeJob = (spec: JobSpec): ShardId | null => this.#placeJob(spec.team, spec.id);
    return this.settings.fairShares ? { placeJob, fairTurns } : { placeJob };
  }

  async tick(): Promise<void> {
    if (!this.ctx.synced) return;
    if (this.#spans.writable && this.ctx.replica.teams !== undefined) await this.#lead();
    else this.#pressures.clear();
    await this.#handOn();
  }

  stats(): Readonly<Record<string, unknown>> {
    const { replica } = this.ctx;
    const spans = Object.fromEntries(
      [...replica.spans.records].map(([team, { value }]) => [
        team,
        value?.entries.map((e) => [e.shard, e.state, e.share, e.target, e.weight]) ?? "unreadable",
      ]),
    );
    return {
      spans,
      placedJobs: replica.spans.placedJobs,
      transfers: this.#transfers,
      machinesMoved: this.#machinesMoved,
      ...this.#spans.counters,
      ...this.#planner.counters,
    };
  }

  #placeJob(team: TeamName, id: JobId): ShardId | null {
    const { replica } = this.ctx;
    const span = replica.spans.records.get(team)?.value;
    if (span === undefined || span.home !== replica.teams?.value.get(team)) return null;
    const shard = chooseShard(span, id);
    return shard === span.home ? null : shard;
  }

  // ---- The leader's part --------------------------------------------------------------------

  async #lead(): Promise<void> {
    const loads = teamLoads(this.ctx);
    const owners = ownerLoads(this.ctx);
    this.#balanceMachines(loads);
    const settled: TeamLoad[] = [];
    for (const load of loads) if (!(await this.#changeSpan(load, owners))) settled.push(load);
    await this.#plan(
      settled.filter((load) => load.span !== undefined),
      owners,
    );
  }

  #balanceMachines(loads: readonly TeamLoad[]): void {
    const { enabled, balanceMachines } = this.settings;
    if (!enabled || !balanceMachines) return;
    const moves = this.#balance.moves(loads);
    if (moves.length === 0) return;
    this.#machinesMoved += moves.length;
    this.moveMachines(moves);
  }

  /** True if the team's span was changed, or can't be read: nothing is planned for it now. */
  async #changeSpan(load: TeamLoad, owners: readonly OwnerLoad[]): Promise<boolean> {
    const { team, home } = load;
    const record = this.ctx.replica.spans.records.get(team);
    if (record !== undefined && record.value?.home !== home) {
      await this.#spans.repair(team, record.rev);
      return true;
    }
    const now = monotonicNow();
    const pressure = stepPressure(
      this.#pressures.get(team) ?? NO_PRESSURE,
      teamPressure(load, owners),
      this.settings,
      now,
    );
    this.#pressures.set(team, pressure);
    const decision = decideSpan(load, pressure, owners, this.settings, now);
    const span = load.span ?? homeSpan(home);
    if (decision !== undefined) {
      if (decision.answersPressure) this.#pressures.set(team, { ...pressure, since: now });
      return this.#spans.apply(team, span, decision.event);
    }
    if (load.span === undefined || !dissolvable(load.span)) return false;
    await this.#spans.dissolve(team);
    return true;
  }

  async #plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): Promise<void> {
    for (const [team, plan] of this.#planner.plan(loads, owners)) {
      const span = loads.find((load) => load.team === team)?.span;
      if (span !== undefined) await this.#spans.apply(team, span, { kind: "plan", plan });
    }
  }

  // ---- An owner's part ----------------------------------------------------------------------

  /** What the shards owned here have beyond their targets goes to those that lack it. */
  async #handOn(): Promise<void> {
    const { replica } = this.ctx;
    for (const shard of this.membership.ownedShards())
      for (const team of [...replica.spans.records.keys()]) {
        const written = await this.owner.writeBetweenRounds(() => this.#transfer(team, shard));
        if (written) this.#transfers++;
      }
  }

  #transfer(team: TeamName, shard: ShardId): Transaction | undefined {
    const span = this.ctx.replica.spans.records.get(team)?.value;
    if (span === undefined || !this.membership.ownsShard(shard)) return undefined;
    const event = nextTransfer({ span, from: shard, used: this.#used(team, shard) });
    const stepped = event === undefined ? undefined : stepSpan(span, event);
    if (event === undefined || stepped?.ok !== true) return undefined;
    this.ctx.log.info("quota handed on", { team, from: shard, to: event.to, amount: event.amount });
    return this.#transferTxn(team, shard, stepped.span);
  }

  #transferTxn(team: TeamName, shard: ShardId, span: Span): Transaction {
    const { replica } = this.ctx;
    const key = keys.span(team);
    return {
      conditions: [
        { key, rev: replica.revisionOf(key) },
        { key: keys.shard(shard), rev: replica.revisionOf(keys.shard(shard)) },
      ],
      ops: [{ kind: "put", key, value: spanValue(span) }],
    };
  }

  /** What the team's open attempts in a shard take of its quota. */
  #used(team: TeamName, shard: ShardId) {
    const settings = this.ctx.teams.get(team);
    const use = this.ctx.replica.shardJobs(shard).index.teamUse().get(team);
    return quotaShare(settings === undefined || use === undefined ? 0 : quotaPart(settings, use));
  }
}
