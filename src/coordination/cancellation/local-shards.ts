/**
 * What cancellations need of the shards owned here. `ShardOwner` satisfies it; being structural, it
 * keeps cancellations independent of rounds.
 */
import type { MachineId } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

/** Calls machines of the shards owned here with the commands that their records ask for. */
export interface MachineCaller {
  /**
   * Sends the machine its commands, stop commands for cancelled tasks among them.
   *
   * @param first ahead of all calls that wait already
   */
  callMachine(machine: MachineId, first?: boolean): void;
}

/** The shards owned by this controller, as cancellations see them. */
export interface LocalShards {
  /** Sessions and soft state of the machines. */
  readonly state: ShardState;
  /** The way to the machines. */
  readonly channel: MachineCaller;
}
