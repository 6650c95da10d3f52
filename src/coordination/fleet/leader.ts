/**
 * The leader's work: all calls of the cloud, and which shard a free machine serves. The facade over
 * the parts in this folder.
 *
 * Owns no state beside its parts. It exists on each controller; what must hold is that it writes and
 * calls the cloud on the active leader alone, which its parts check each time.
 */
import type { JobId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import { CloudClient } from "./cloud-client.js";
import { FailingJobs } from "./failing-jobs.js";
import { FleetDemand } from "./fleet-demand.js";
import { FleetPlanner } from "./fleet-planner.js";
import { FleetRecords } from "./fleet-records.js";
import type { LocalShardOwner } from "./local-shard-owner.js";
import { MachineTypes } from "./machine-types.js";
import { OwnerRequests } from "./owner-requests.js";
import { Rentals } from "./rentals.js";
import { Returns } from "./returns.js";
import { UnknownMachines } from "./unknown-machines.js";

/** What the leader does for the whole cluster. */
export class Leader {
  readonly #records: FleetRecords;
  readonly #types: MachineTypes;
  readonly #rentals: Rentals;
  readonly #returns: Returns;
  readonly #unknown: UnknownMachines;
  readonly #owners: OwnerRequests;
  readonly #failing: FailingJobs;
  readonly #planner: FleetPlanner;

  /**
   * @param owner the owner of shards on this controller
   * @param cloudCalls connections to the cloud, used within its limit
   * @param peers connections to the other controllers
   * @param workers direct connections to machines
   */
  constructor(
    ctx: ControllerContext,
    membership: Membership,
    owner: LocalShardOwner,
    cloudCalls: HttpClient,
    peers: HttpClient,
    workers: HttpClient,
  ) {
    const cloud = new CloudClient(cloudCalls, ctx.settings.cloudAddress, ctx.settings.cloud.rps);
    this.#records = new FleetRecords(ctx, membership);
    this.#types = new MachineTypes(ctx, this.#records, cloud);
    this.#rentals = new Rentals(ctx, this.#records, cloud);
    this.#returns = new Returns(ctx, this.#records, cloud);
    this.#unknown = new UnknownMachines(ctx, this.#records, this.#types, cloud, workers);
    this.#owners = new OwnerRequests(ctx, membership, owner, peers);
    this.#failing = new FailingJobs(ctx, owner, peers);
    this.#planner = new FleetPlanner(
      ctx,
      this.#records,
      this.#types,
      this.#rentals,
      this.#owners,
      new FleetDemand(ctx, this.#types, this.#failing, owner),
    );
  }

  /** All that waits for the cloud, apart from planning: it may take seconds in an outage. */
  async callCloud(): Promise<void> {
    if (!this.#records.canWrite) return;
    await this.#returns.returnDecommissioned();
    await this.#types.refresh();
    await this.#rentals.executeIntents();
    this.#owners.forceDecommission(await this.#unknown.scanCloudList(), "failed");
  }

  /** Takes in a heartbeat of a machine that no record knows. */
  handleUnknownMachine(status: WorkerStatus): void {
    this.#unknown.recordHeartbeat(status);
  }

  /** Enters unknown machines that have shown themselves into the records. */
  async adoptMachines(): Promise<void> {
    await this.#unknown.adoptConfirmed();
  }

  /** An owner's notice that these jobs fail wherever they are started. */
  recordFailingJobs(ids: Iterable<JobId>): void {
    this.#failing.recordReport(ids);
  }

  /** Tells the leader, on whichever controller, of jobs that fail in the shards owned here. */
  async reportFailingJobs(): Promise<void> {
    await this.#failing.reportToLeader();
  }

  /** Sizes the fleet to demand, and moves machines between shards. */
  async plan(): Promise<void> {
    await this.#planner.plan();
  }

  /** Asks owners for machines, to be handed over once they are empty. */
  requestTransfers(transfers: readonly MachineTransferRequest[]): void {
    this.#planner.requestTransfers(transfers);
  }

  /** Between two plans: gives idle machines to shards whose tasks wait. */
  async rebalance(): Promise<void> {
    await this.#planner.rebalance();
  }

  /** Counts since the start, for the log event `stats`. */
  stats(): Readonly<Record<string, unknown>> {
    return {
      ...this.#rentals.counters,
      ...this.#returns.counters,
      ...this.#owners.counters,
      ...this.#unknown.counters,
    };
  }
}
