/**
 * Plans the fleet: sizes it to the demand of all shards, and transfers free machines to shards with
 * waiting tasks.
 *
 * Owns the time of the latest plan; `MachineView`, `FleetDemand` and `PendingTransfers` hold the
 * other state that is kept between plans. Only the active leader plans, and only once the machine
 * types are known.
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

/** Plans rentals, returns and transfers, and passes them on to be carried out. */
export class FleetPlanner {
  readonly #pendingTransfers = new PendingTransfers();
  readonly #machineView: MachineView;
  #lastPlannedAt: MonotonicMs = monotonicNow();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: FleetRecords,
    private readonly machineTypes: MachineTypes,
    private readonly rentals: Rentals,
    private readonly ownerRequests: OwnerRequests,
    private readonly demand: FleetDemand,
  ) {
    this.#machineView = new MachineView(ctx, machineTypes, this.#pendingTransfers);
  }

  /** Makes a plan, requests transfers and returns from the owners, and writes rental intents. */
  async plan(): Promise<void> {
    const { replica, operators, settings, log } = this.ctx;
    if (!this.records.canWrite || replica.machineTypes === undefined) return;
    if (replica.teams === undefined) return;
    const now = monotonicNow();
    const elapsedS = (now - this.#lastPlannedAt) / 1000;
    this.#lastPlannedAt = now;
    const { machines, neverBooted } = this.#machineView.snapshot(
      now,
      this.demand.jobsWithinGuarantee(),
    );
    this.ownerRequests.forceDecommission(neverBooted, "never booted");
    const plan = planFleet({
      types: this.machineTypes.all(),
      machines,
      demand: this.demand.computeGroups(elapsedS),
      refusedOffers: this.rentals.refusedOffers(now),
      idleTimeoutS: operators.idleReturnS,
      maxRentals: MAX_RENTALS_PER_CALL * Math.max(1, Math.floor(settings.cloud.rps)),
      meanMachineLifetimeS: operators.expectedMachineLifeS,
      shardCount: settings.shardCount,
      overloaded: this.#overloadedShards(),
    });
    if (log.enabled("debug")) logFleetPlan(this.ctx, machines, plan, this.demand.smoothedLevels);
    this.#pendingTransfers.recordRequests(plan.transfers, now);
    this.ownerRequests.requestTransfers(plan.transfers, plan.returns);
    await this.rentals.writeIntents(plan.rentals);
  }

  /**
   * Transfers idle machines to shards with waiting tasks, between two plans. A job array submitted
   * to one shard may need more than that shard's share of the idle machines. Machines with open
   * attempts are not considered: by now the owners have filled the free capacity of their own.
   */
  async rebalance(): Promise<void> {
    if (!this.records.canWrite || this.ctx.replica.machineTypes === undefined) return;
    if (!this.demand.hasUnplacedTasks()) return;
    const now = monotonicNow();
    const machines = this.#machineView.idleMachines(now);
    if (machines.length === 0) return;
    const { shardCount } = this.ctx.settings;
    const overloaded = this.#overloadedShards();
    const demand = this.demand.computeGroups(0);
    const input = { types: this.machineTypes.all(), machines, demand, shardCount, overloaded };
    this.#requestTransfers(planIdleTransfers(input), now);
  }

  /** Requests transfers decided by load spreading; they count as pending like planned ones. */
  requestTransfers(transfers: readonly MachineTransferRequest[]): void {
    this.#requestTransfers(transfers, monotonicNow());
  }

  #requestTransfers(transfers: readonly MachineTransferRequest[], now: MonotonicMs): void {
    this.#pendingTransfers.recordRequests(transfers, now);
    this.ownerRequests.requestTransfers(transfers);
  }

  #overloadedShards(): ReadonlySet<ShardId> {
    return overloadedShards(this.ctx.replica, this.ctx.settings.workers.heartbeatPeriodS);
  }
}
