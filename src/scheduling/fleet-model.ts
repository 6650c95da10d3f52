/**
 * The types of fleet planning: what is demanded, which machines there are, and the plan.
 *
 * Owns no state. All amounts are counts of task slots, seconds, or resources as in `Resources`.
 */
import type { MachineId, ShardId } from "@umberfold/ids";
import type { MachineType } from "../protocol/cloud.js";
import type { Resources } from "../protocol/jobs.js";
import type { MachineTransferRequest } from "../protocol/peer.js";

/** Tasks that are alike for renting: the same resources and the same permitted machines. */
export interface DemandGroup {
  readonly resources: Resources;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  /** Slots that there should be in addition to the running tasks, as long as they are cheap. */
  readonly desiredSlots: number;
  /** Those of the desired slots that are worth the more expensive offers too. */
  readonly requiredSlots: number;
  /** Number of tasks that wait now, by shard. */
  readonly waitingTasksByShard: ReadonlyMap<ShardId, number>;
  /** Lower numbers go first. */
  readonly priority: number;
  /** Its objectives leave no time to wait until a machine has booted. */
  readonly urgent: boolean;
}

/** A task with an open attempt on a machine, as far as preempting it is concerned. */
export interface FleetTask {
  readonly priority: number;
  readonly resources: Resources;
  /** Seconds of work that stopping it would throw away. */
  readonly lostWorkS: number;
}

/** A rented machine as fleet planning sees it. */
export interface FleetMachine {
  readonly id: MachineId;
  /** The shard it belongs to, or the one to which a transfer under way takes it. */
  readonly shard: ShardId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** It sends heartbeats and takes tasks; otherwise it is still booting. */
  readonly isUp: boolean;
  readonly usedResources: Resources;
  readonly openAttempts: number;
  readonly tasks: readonly FleetTask[];
  /** Seconds for which it has had no open attempt. */
  readonly idleS: number;
  /** Seconds since it was rented. */
  readonly heldS: number;
}

/** Machines of one offer to rent. */
export interface PlannedRental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The shard of each of the machines: as many entries as machines. */
  readonly shards: readonly ShardId[];
}

/** What to rent, to transfer between shards and to return. */
export interface FleetPlan {
  readonly rentals: readonly PlannedRental[];
  readonly transfers: readonly MachineTransferRequest[];
  readonly returns: readonly MachineId[];
}

/** What a fleet plan is made from. */
export interface FleetInput {
  readonly types: readonly MachineType[];
  readonly machines: readonly FleetMachine[];
  readonly demand: readonly DemandGroup[];
  /** Keys (`offerKey`) of offers that were refused recently and may not be tried again yet. */
  readonly refusedOffers: ReadonlySet<string>;
  /** Seconds for which an idle machine is kept: the minimum charge, and hysteresis. */
  readonly idleTimeoutS: number;
  /** The most machines that one plan rents. */
  readonly maxRentals: number;
  /** Mean seconds for which a rented machine is kept: its boot's cost is spread over them. */
  readonly meanMachineLifetimeS: number;
  readonly shardCount: number;
  /** Shards whose owners don't keep up with the machines they have: they are given no more. */
  readonly overloaded: ReadonlySet<ShardId>;
}

/** The part of the input that the transfer of idle machines needs. */
export type TransferInput = Pick<
  FleetInput,
  "types" | "machines" | "demand" | "shardCount" | "overloaded"
>;

/** Names one offer of the cloud: a machine type in a zone, as spot or ordinary machine. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}|${zone}|${spot ? "spot" : "ordinary"}`;
