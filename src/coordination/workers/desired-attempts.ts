/** Derives from the stored records which attempts should run on a machine, for reconciliation. */
import type { MachineId, TaskId } from "@umberfold/ids";
import { monotonicNow } from "../../transport/clock.js";
import type { DesiredAttempt, DesiredAttempts } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";

/** The desired attempts of a machine; empty if no record of the machine exists. */
export const desiredAttemptsOn = (state: ShardState, id: MachineId): DesiredAttempts => {
  const { replica } = state.ctx;
  const desired = new Map<TaskId, DesiredAttempt>();
  const machine = replica.machines.get(id);
  if (machine === undefined) return desired;
  const acceptsStarts =
    machine.phase === "up" && !replica.isGone(id) && !state.isHeartbeatOverdue(id, monotonicNow());
  const shardJobs = replica.shardJobs(machine.shard);
  for (const [task, { job: jobId, attempt, key }] of shardJobs.openAttemptsOn(id)) {
    const job = shardJobs.jobs.get(jobId);
    const stopRequest = state.attemptStates.get(key)?.stopRequest;
    // A checkpoint of a cancelled job is never used: its attempts stop without saving.
    const stopGraceS =
      job === undefined || job.cancelledAt !== null ? 0 : (stopRequest?.graceS ?? null);
    const isStartForbidden = !acceptsStarts || state.terminatingAttempts.has(key);
    desired.set(task, { task, attempt, stopGraceS, isStartForbidden });
  }
  return desired;
};
