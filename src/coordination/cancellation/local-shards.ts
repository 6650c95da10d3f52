/**
 * The interface through which cancellations use the shards that this controller owns. `ShardOwner`
 * implements it; the interface keeps this folder independent of the `rounds` folder.
 */
import type { MachineId } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

/** Calls the machines of the shards that this controller owns. */
export interface MachineCaller {
  /**
   * Sends the machine the commands that follow from its records, among them stop commands for
   * cancelled tasks.
   *
   * @param isUrgent whether the call goes ahead of all calls that are already queued
   */
  callMachine(machine: MachineId, isUrgent?: boolean): void;
}

/** What cancellations use of the shards that this controller owns. */
export interface LocalShards {
  /** Worker sessions and soft state of the machines. */
  readonly state: ShardState;
  /** Sends commands to the machines. */
  readonly channel: MachineCaller;
}
