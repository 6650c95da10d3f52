/**
 * What an owner learns from the end of an attempt: run times, backoff of jobs that fail, quarantine of
 * machines on which several jobs failed.
 *
 * Owns no state; changes the soft state of jobs and machines. It steers later rounds and proves
 * nothing.
 */
import type { JobId, MachineId } from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import type { LiveJob } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./shard-round.js";

/** An attempt that ended with a status of its worker. */
export interface EndedAttempt {
  readonly id: JobId;
  readonly job: LiveJob;
  /** See `attemptKey`. */
  readonly key: string;
  readonly machine: MachineId;
  readonly status: TaskStatus;
}

/** Counts the outcome, and draws the consequences for the job and its machine. */
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

/** Jobs that fail on several machines are backed off; a machine that fails several jobs goes. */
const quarantineIfDue = (state: ShardState, machine: MachineId): void => {
  const { faults, departure } = state.machineState(machine);
  if (!faults.isQuarantineDue || departure.decommission !== null) return;
  state.ctx.log.info("machine quarantined", { machine, failures: faults.failureCount });
  departure.step({ kind: "decommission_requested", reason: "faulty" });
};
