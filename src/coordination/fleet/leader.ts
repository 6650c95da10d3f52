/**
 * Facade of the leader's work: all calls to the cloud, the size of the fleet, and which shard each
 * free machine serves.
 *
 * Owns no state besides its parts. Every controller has one instance. Only the active leader writes
 * and calls the cloud, which the parts check each time.
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

/** Delegates the leader's cluster-wide work to the parts of this folder. */
export class Leader {
  readonly #records: FleetRecords;
  readonly #machineTypes: MachineTypes;
  readonly #rentals: Rentals;
  readonly #returns: Returns;
  readonly #unknownMachines: UnknownMachines;
  readonly #ownerRequests: OwnerRequests;
  readonly #failingJobs: FailingJobs;
  readonly #planner: FleetPlanner;

  /**
   * @param owner the shard owner on this controller
   * @param cloudCalls connections to the cloud; calls are kept within its rate limit
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
    this.#machineTypes = new MachineTypes(ctx, this.#records, cloud);
    this.#rentals = new Rentals(ctx, this.#records, cloud);
    this.#returns = new Returns(ctx, this.#records, cloud);
    this.#unknownMachines = new UnknownMachines(
      ctx,
      this.#records,
      this.#machineTypes,
      cloud,
      workers,
    );
    this.#ownerRequests = new OwnerRequests(ctx, membership, owner, peers);
    this.#failingJobs = new FailingJobs(ctx, owner, peers);
    this.#planner = new FleetPlanner(
      ctx,
      this.#records,
      this.#machineTypes,
      this.#rentals,
      this.#ownerRequests,
      new FleetDemand(ctx, this.#machineTypes, this.#failingJobs, owner),
    );
  }

  /**
   * Does all work that waits for responses of the cloud: returns, the machine types, rentals and
   * the list of machines. Separate from planning, because it may take seconds while the cloud is
   * down.
   */
  async callCloud(): Promise<void> {
    if (!this.#records.canWrite) return;
    await this.#returns.returnDecommissioned();
    await this.#machineTypes.refresh();
    await this.#rentals.executeIntents();
    this.#ownerRequests.forceDecommission(await this.#unknownMachines.scanCloudList(), "failed");
  }

  /** Handles a heartbeat of a machine without a record: the machine is checked, then adopted. */
  handleUnknownMachine(status: WorkerStatus): void {
    this.#unknownMachines.recordHeartbeat(status);
  }

  /** Writes records for the unknown machines whose existence is confirmed. */
  async adoptMachines(): Promise<void> {
    await this.#unknownMachines.adoptConfirmed();
  }

  /** Records an owner's report that these jobs fail on every machine. */
  recordFailingJobs(ids: Iterable<JobId>): void {
    this.#failingJobs.recordReport(ids);
  }

  /** Reports failing jobs of this controller's shards to the leader, on any controller. */
  async reportFailingJobs(): Promise<void> {
    await this.#failingJobs.reportToLeader();
  }

  /** Plans rentals, returns and transfers for the demand of all shards. */
  async plan(): Promise<void> {
    await this.#planner.plan();
  }

  /** Requests transfers of machines from their owners, on behalf of load spreading. */
  requestTransfers(transfers: readonly MachineTransferRequest[]): void {
    this.#planner.requestTransfers(transfers);
  }

  /** Transfers idle machines to shards with waiting tasks, between two plans. */
  async rebalance(): Promise<void> {
    await this.#planner.rebalance();
  }

  /** Counters since the process started, for the log event `stats`. */
  stats(): Readonly<Record<string, unknown>> {
    return {
      ...this.#rentals.counters,
      ...this.#returns.counters,
      ...this.#ownerRequests.counters,
      ...this.#unknownMachines.counters,
    };
  }
}
