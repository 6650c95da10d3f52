/**
 * The types of fleet planning: what is demanded, which machines there are, and the plan.
 *
 * Owns no state. All amounts are counts of task slots, seconds, or resources as in `Resources`.
 */
import type { MachineId, ShardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import type { Resources } from "../protocol/jobs.js";
import type { MachineTransferRequest } from "../protocol/peer.js";

/** Tasks with the same job class, resource demand and permitted machines. */
export interface DemandGroup {
  readonly resources: Resources;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  /** Slots wanted in addition to the running tasks, if spot machines can provide them. */
  readonly desiredSlots: number;
  /** Slots among the desired ones for which ordinary machines may be rented too. */
  readonly requiredSlots: number;
  /** Number of waiting tasks by shard. */
  readonly waitingTasksByShard: ReadonlyMap<ShardId, number>;
  /** A lower number is a higher priority. */
  readonly priority: number;
  /** Whether its objectives allow less time than a machine takes to boot. */
  readonly urgent: boolean;
}

/** A task with an open attempt on a machine: the properties that preemption depends on. */
export interface FleetTask {
  /** A lower number is a higher priority. */
  readonly priority: number;
  readonly resources: Resources;
  /** Seconds of work that would be lost if it were stopped. */
  readonly lostWorkS: number;
}

/** A rented machine: the properties that fleet planning depends on. */
export interface FleetMachine {
  readonly id: MachineId;
  /** Its shard, or the receiving shard while a transfer is in progress. */
  readonly shard: ShardId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Whether it has booted: it sends heartbeats and can run tasks. */
  readonly isUp: boolean;
  /** The resources that its open attempts use. */
  readonly usedResources: Resources;
  /** Number of open attempts. */
  readonly openAttempts: number;
  readonly tasks: readonly FleetTask[];
  /** Seconds since it last had an open attempt. */
  readonly idleS: number;
  /** Seconds since it was rented. Nothing reads it. */
  readonly heldS: number;
}

/** Machines to rent of one offer. */
export interface PlannedRental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard of each machine to rent: one entry per machine. */
  readonly shards: readonly ShardId[];
}

/** The machines to rent, to transfer between shards and to return. */
export interface FleetPlan {
  readonly rentals: readonly PlannedRental[];
  readonly transfers: readonly MachineTransferRequest[];
  readonly returns: readonly MachineId[];
}

/** The inputs of a fleet plan. */
export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly demand: readonly DemandGroup[];
  /**
   * Keys (`offerKey`) of offers that the cloud refused recently and that must not be requested yet.
   */
  readonly refusedOffers: ReadonlySet<string>;
  /**
   * Seconds after which an idle machine is returned. It covers the cloud's minimum charge, and
   * keeps machines from being returned and rented again in quick succession.
   */
  readonly idleTimeoutS: number;
  /** The maximum number of machines that one plan rents. */
  readonly maxRentals: number;
  /** Mean seconds between rental and return, over which the cost of the boot is spread. */
  readonly meanMachineLifetimeS: number;
  readonly shardCount: number;
  /** Shards whose owners can't keep up with the machines they have. They get no more machines. */
  readonly overloaded: ReadonlySet<ShardId>;
}

/** The inputs of a plan that only transfers machines. */
export type TransferInput = Pick<
  FleetInput,
  "types" | "machines" | "demand" | "shardCount" | "overloaded"
>;

/** The key of an offer of the cloud: a machine type in a zone, as spot or ordinary machine. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}|${zone}|${spot ? "spot" : "ordinary"}`;
