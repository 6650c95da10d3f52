/** What the records want of the attempts on one machine, as reconciliation takes it in. */
import type { MachineId, TaskId } from "@umberfold/ids";
import { monotonicNow } from "../../transport/clock.js";
import type { DesiredAttempt, DesiredAttempts } from "../ownership/reconciliation.js";
import type { ShardState } from "../ownership/shard-state.js";

/** The desired attempts of a machine; none if no record shows the machine. */
export const desiredAttemptsOn = (state: ShardState, id: MachineId): DesiredAttempts => {
  const { replica } = state.ctx;
  const desired = new Map<TaskId, DesiredAttempt>();
  const machine = replica.machines.get(id);
  if (machine === undefined) return desired;
  const takesStarts =
    machine.phase === "up" && !replica.isGone(id) && !state.isHeartbeatOverdue(id, monotonicNow());
  const work = replica.shardJobs(machine.shard);
  for (const [task, { job: jobOfTask, attempt, key }] of work.openAttemptsOn(id)) {
    const job = work.jobs.get(jobOfTask);
    const stopRequest = state.attemptStates.get(key)?.stopRequest;
    // Nothing of a cancelled job is of use: its attempts stop without saving.
    const stopGraceS =
      job === undefined || job.cancelledAt !== null ? 0 : (stopRequest?.graceS ?? null);
    const isStartForbidden = !takesStarts || state.terminatingAttempts.has(key);
    desired.set(task, { task, attempt, stopGraceS, isStartForbidden });
  }
  return desired;
};
