/**
 * The leader's part of load spreading: changes and plans the spans of busy teams, and requests
 * machine transfers to shards that have less than their fair amount of capacity.
 *
 * Owns the pressure of each team, which is reset when this controller stops leading. Invariant: a
 * team whose span was just changed or repaired is not planned in the same pass.
 */
import type { TeamName } from "@umberfold/ids";
import {
  decideSpan,
  INITIAL_PRESSURE,
  isDissolvable,
  LoadSpreadPlanner,
  type LoadSpreadSettings,
  type OwnerLoad,
  type PlannerCounters,
  type Pressure,
  stepPressure,
  type TeamLoad,
  teamPressure,
} from "@umberfold/load-spread";
import { homeSpan } from "@umberfold/spans";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import { MachineBalance } from "./machine-balance.js";
import { ownerLoads } from "./owner-loads.js";
import type { SpanRecords } from "./span-records.js";
import { teamLoads } from "./team-loads.js";

/** Changes and plans spans. Runs only on the active leader. */
export class SpanLeader {
  readonly #planner: LoadSpreadPlanner;
  readonly #pressures = new Map<TeamName, Pressure>();
  readonly #balance: MachineBalance;
  #machinesMoved = 0;

  /**
   * @param spans writes the records of spans
   * @param transferMachines asks the owners of the machines to transfer them once they are empty
   */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly settings: LoadSpreadSettings,
    private readonly spans: SpanRecords,
    private readonly transferMachines: (transfers: readonly MachineTransferRequest[]) => void,
  ) {
    this.#planner = new LoadSpreadPlanner(settings, monotonicNow);
    this.#balance = new MachineBalance(ctx);
  }

  /** The number of machine transfers requested since the start. */
  get machinesMoved(): number {
    return this.#machinesMoved;
  }

  /** How often each planner was used, and why, since the start. */
  get plannerCounters(): PlannerCounters {
    return this.#planner.counters;
  }

  /**
   * Checks all teams once: requests machine transfers, then changes spans, then plans the spans
   * that did not change.
   */
  async lead(): Promise<void> {
    const loads = teamLoads(this.ctx);
    const owners = ownerLoads(this.ctx);
    this.#balanceMachines(loads);
    const unchanged: TeamLoad[] = [];
    for (const load of loads) if (!(await this.#changeSpan(load, owners))) unchanged.push(load);
    await this.#plan(
      unchanged.filter((load) => load.span !== undefined),
      owners,
    );
  }

  /** Resets the pressure of all teams because this controller doesn't lead. */
  stopLeading(): void {
    this.#pressures.clear();
  }

  #balanceMachines(loads: readonly TeamLoad[]): void {
    const { enabled, balanceMachines } = this.settings;
    if (!enabled || !balanceMachines) return;
    const transfers = this.#balance.dueTransfers(loads);
    if (transfers.length === 0) return;
    this.#machinesMoved += transfers.length;
    this.transferMachines(transfers);
  }

  /**
   * Returns true if the team's span was changed or is unreadable, so that it must not be planned.
   */
  async #changeSpan(load: TeamLoad, owners: readonly OwnerLoad[]): Promise<boolean> {
    const { team, home } = load;
    const record = this.ctx.replica.spans.records.get(team);
    if (record !== undefined && record.value?.home !== home) {
      await this.spans.repair(team, record.rev);
      return true;
    }
    const now = monotonicNow();
    const pressure = stepPressure(
      this.#pressures.get(team) ?? INITIAL_PRESSURE,
      teamPressure(load, owners),
      this.settings,
      now,
    );
    this.#pressures.set(team, pressure);
    const decision = decideSpan(load, pressure, owners, this.settings, now);
    const span = load.span ?? homeSpan(home);
    if (decision !== undefined) {
      if (decision.restartsPressureTimer) this.#pressures.set(team, { ...pressure, sinceMs: now });
      return this.spans.apply(team, span, decision.event);
    }
    if (load.span === undefined || !isDissolvable(load.span)) return false;
    await this.spans.dissolve(team);
    return true;
  }

  async #plan(loads: readonly TeamLoad[], owners: readonly OwnerLoad[]): Promise<void> {
    for (const [team, plan] of this.#planner.plan(loads, owners)) {
      const span = loads.find((load) => load.team === team)?.span;
      if (span !== undefined) await this.spans.apply(team, span, { kind: "plan", plan });
    }
  }
}
