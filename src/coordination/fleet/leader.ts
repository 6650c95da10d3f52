import type { JobId } from "@umberfold/ids";
import type { MachineTransferRequest } from "../../protocol/peer.js";
import type { WorkerStatus } from "../../protocol/workers.js";
import type { HttpClient } from "../../transport/client.js";
import type { ControllerContext } from "../context.js";
import type { Membership } from "../membership/membership.js";
import type { ShardOwner } from "../rounds/shard-owner.js";
import { CloudClient } from "./cloud-client.js";
import { FailingJobs } from "./failing-jobs.js";
import { FleetPlanner } from "./fleet-planner.js";
import { FleetRecords } from "./fleet-records.js";
import { MachineTypes } from "./machine-types.js";
import { OwnerRequests } from "./owner-requests.js";
import { Rentals } from "./rentals.js";
import { Returns } from "./returns.js";
import { UnknownMachines } from "./unknown-machines.js";

/** The leader's work: all calls of the cloud, and which shard a free machine serves. */
export class Leader {
  readonly #records: FleetRecords;
  readonly #types: MachineTypes;
  readonly #rentals: Rentals;
  readonly #returns: Returns;
  readonly #unknown: UnknownMachines;
  readonly #owners: OwnerRequests;
  readonly #failing: FailingJobs;
  readonly #planner: FleetPlanner;

  constructor(
    ctx: ControllerContext,
    membership: Membership,
    owner: ShardOwner,
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
      this.#failing,
      owner,
    );
  }

  /** All that waits for the cloud, apart from planning: it may take seconds in an outage. */
  async callCloud(): Promise<void> {
    if (!this.#records.writable) return;
    await this.#returns.carryOut();
    await this.#types.refresh();
    await this.#rentals.carryOut();
    this.#owners.requestDecommission(await this.#unknown.list(), "failed");
  }

  /** A report of a machine that no record knows. */
  adoptMachine(report: WorkerStatus): void {
    this.#unknown.recordStatus(report);
  }

  /** Takes in unknown machines that have shown themselves. */
  async adoptAll(): Promise<void> {
    await this.#unknown.adopt();
  }

  /** An owner's notice that these jobs fail wherever they are started. */
  recordFailingJobs(ids: Iterable<JobId>): void {
    this.#failing.record(ids);
  }

  async reportFailingJobs(): Promise<void> {
    await this.#failing.reportToLeader();
  }

  async plan(): Promise<void> {
    await this.#planner.plan();
  }

  /** Asks owners for machines, to be handed over once they are empty. */
  transferMachines(moves: readonly MachineTransferRequest[]): void {
    this.#planner.requestMoves(moves);
  }

  async rebalance(): Promise<void> {
    await this.#planner.rebalance();
  }

  stats(): Readonly<Record<string, unknown>> {
    return {
      ...this.#rentals.counters,
      ...this.#returns.counters,
      ...this.#owners.counters,
      ...this.#unknown.counters,
    };
  }
}
