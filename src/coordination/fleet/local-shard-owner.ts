/**
 * What the leader's part needs of the owner of shards on the same controller. `ShardOwner` satisfies
 * it; being structural, it keeps the fleet independent of an owner's rounds.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";

/** What an owner has learnt of jobs; it steers choices and proves nothing. */
export interface OwnerEstimates {
  /** Live jobs that failed on so many machines that they are at fault themselves. */
  failingJobs(): Iterable<JobId>;
  /** How long a task of the job runs, in seconds, corrected by what its class was seen to take. */
  expectedRunS(spec: JobSpec): number;
}

/** The owner of the shards on this controller. Requests about machines of others are ignored. */
export interface LocalShardOwner {
  /** What it has learnt of its jobs. */
  readonly state: OwnerEstimates;
  /** Asks for a machine to be handed over to another shard. */
  requestTransfer(request: MachineTransferRequest): void;
  /** Without a reason the machine is surplus, and goes once it is empty; else it goes at once. */
  requestDecommission(machine: MachineId, reason?: string): void;
}
