/**
 * Updates soft state when an attempt ends: expected run times, the backoff of failing jobs, and the
 * quarantine of machines on which several jobs failed.
 *
 * Owns no state. The soft state that it changes influences the decisions of later rounds, but is
 * never evidence that an attempt has terminated.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import type { LiveJob } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./shard-round.js";

/** An attempt that its worker has reported as ended. */
export interface EndedAttempt {
  readonly id: JobId;
  readonly job: LiveJob;
  /** See `attemptKey`. */
  readonly key: string;
  readonly machine: MachineId;
  readonly status: TaskStatus;
}

/** Counts the outcome, and updates the backoff of the job and the faults of its machine. */
export const recordOutcome = (
  state: ShardState,
  { now }: ShardRound,
  { id, job, key, machine, status }: EndedAttempt,
): void => {
  const backoff = state.jobBackoff(id);
  const { faults } = state.machineState(machine);
  if (status.cause === "done") {
    state.counters.done++;
    state.recordRunTime(job.spec, state.attemptStates.get(key), now);
    backoff.recordCompletion();
    faults.recordCompletion();
    return;
  }
  if (status.cause === "halted") return;
  state.counters.errors++;
  if (job.cancelledAt !== null) return;
  const { task, cause = "" } = status;
  state.ctx.log.debug("attempt failed", { task, machine, cause });
  if (cause !== "error") {
    backoff.recordInterruption(now);
    return;
  }
  backoff.recordFailure(machine, now);
  faults.recordFailure(id, backoff.isJobAtFault);
  quarantineIfDue(state, machine);
};

/** Requests the decommission of a machine on which several jobs have failed. */
const quarantineIfDue = (state: ShardState, machine: MachineId): void => {
  const { faults, departure } = state.machineState(machine);
  if (!faults.isQuarantineDue || departure.decommission !== null) return;
  state.ctx.log.info("machine quarantined", { machine, failures: faults.failureCount });
  departure.step({ kind: "decommission_requested", reason: "faulty" });
};
