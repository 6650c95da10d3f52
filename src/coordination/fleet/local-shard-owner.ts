/**
 * What the leader needs of the shard owner on the same controller. `ShardOwner` satisfies these
 * interfaces structurally, so that this folder does not depend on `rounds`.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { MachineTransferRequest } from "../../protocol/peer.js";

/** An owner's estimates about its jobs. They guide decisions and are never evidence. */
export interface OwnerEstimates {
  /** Live jobs that failed on so many machines that the job is presumed to be at fault. */
  failingJobs(): Iterable<JobId>;
  /** Expected run time of a task, in seconds, corrected by the measured run times of its class. */
  expectedRunS(spec: JobSpec): number;
}

/** The shard owner on this controller. It ignores requests for machines that it does not own. */
export interface LocalShardOwner {
  /** Its estimates about the jobs of its shards. */
  readonly state: OwnerEstimates;
  /** Requests the transfer of a machine to another shard. */
  requestTransfer(request: MachineTransferRequest): void;
  /**
   * Requests the decommission of a machine. With a reason the machine counts as lost and is
   * returned at once; without one it is surplus and is returned once it is empty.
   */
  requestDecommission(machine: MachineId, reason?: string): void;
}
