/**
 * Planning of the fleet: its size follows the demand of all shards, and free machines go to shards
 * whose tasks wait.
 *
 * Owns the time of the newest plan; what is kept between plans is in `MachineView`, `FleetDemand`
 * and `PendingTransfers`. What must hold: only the active leader plans, and nothing is planned
 * before the machine types are known.
 */
import type { MonotonicMs, ShardId } from "@umberfold/ids";
import { MAX_RENTALS_PER_CALL } from "../../protocol/cloud.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import { planFleet, planIdleTransfers } from "../../scheduling/fleet-plan.js";
import { monotonicNow } from "../../transport/clock.js";
import type { ControllerContext } from "../context.js";
import type { FleetDemand } from "./fleet-demand.js";
import type { FleetRecords } from "./fleet-records.js";
import type { MachineTypes } from "./machine-types.js";
import { MachineView } from "./machine-view.js";
import { overloadedShards } from "./overloaded-shards.js";
import type { OwnerRequests } from "./owner-requests.js";
import { PendingTransfers } from "./pending-transfers.js";
import { logFleetPlan } from "./plan-log.js";
import type { Rentals } from "./rentals.js";

/** Sizes the fleet to the demand of all shards, and moves free machines between shards. */
export class FleetPlanner {
  readonly #transfers = new PendingTransfers();
  readonly #view: MachineView;
  #plannedAt: MonotonicMs = monotonicNow();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly types: MachineTypes,
    private readonly rentals: Rentals,
    private readonly owners: OwnerRequests,
    private readonly demand: FleetDemand,
  ) {
    this.#view = new MachineView(ctx, types, this.#transfers);
  }

  /** Plans rentals, returns and transfers, asks the owners for theirs and writes rental intents. */
  async plan(): Promise<void> {
    const { replica, operators, settings, log } = this.ctx;
    if (!this.records.writable || replica.machineTypes === undefined) return;
    if (replica.teams === undefined) return;
    const now = monotonicNow();
    const elapsedS = (now - this.#plannedAt) / 1000;
    this.#plannedAt = now;
    const { machines, neverBooted } = this.#view.all(now, this.demand.withinGuarantee());
    this.owners.requestDecommission(neverBooted, "never booted");
    const plan = planFleet({
      types: this.types.all(),
      machines,
      demand: this.demand.groups(elapsedS),
      refusedOffers: this.rentals.refusedOffers(now),
      idleTimeoutS: operators.idleReturnS,
      maxRentals: MAX_RENTALS_PER_CALL * Math.max(1, Math.floor(settings.cloud.rps)),
      meanMachineLifetimeS: operators.lifeS,
      shardCount: settings.shardCount,
      overloaded: this.#overloaded(),
    });
    if (log.enabled("debug")) logFleetPlan(this.ctx, machines, plan, this.demand.levels);
    this.#transfers.record(plan.transfers, now);
    this.owners.requestTransfers(plan.transfers, plan.returns);
    await this.rentals.intend(plan.rentals);
  }

  /**
   * Between two plans: idle machines go to shards whose tasks wait, for a job array that arrives at
   * one shard may want more than its part of what is idle. Looks at idle machines only; what its
   * own machines have room for a shard's owner has placed by then.
   */
  async rebalance(): Promise<void> {
    if (!this.records.writable || this.ctx.replica.machineTypes === undefined) return;
    if (!this.demand.hasUnplacedTasks()) return;
    const now = monotonicNow();
    const machines = this.#view.idle(now);
    if (machines.length === 0) return;
    const { shardCount } = this.ctx.settings;
    const overloaded = this.#overloaded();
    const demand = this.demand.groups(0);
    const input = { types: this.types.all(), machines, demand, shardCount, overloaded };
    this.#requestTransfers(planIdleTransfers(input), now);
  }

  /** Transfers that others decided on: they count as planned here. */
  requestTransfers(transfers: readonly MachineTransferRequest[]): void {
    this.#requestTransfers(transfers, monotonicNow());
  }

  #requestTransfers(transfers: readonly MachineTransferRequest[], now: MonotonicMs): void {
    this.#transfers.record(transfers, now);
    this.owners.requestTransfers(transfers);
  }

  #overloaded(): ReadonlySet<ShardId> {
    return overloadedShards(this.ctx.replica, this.ctx.settings.workers.reportS);
  }
}
