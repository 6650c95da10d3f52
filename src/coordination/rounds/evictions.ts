/**
 * The evict phase of a round: requests stops for the attempts on spot machines that the cloud is
 * about to preempt, and on machines that the leader wants to transfer to another shard.
 *
 * Owns no state. Changes the soft state of attempts and the departure state of machines. Later
 * rounds terminate the stopped attempts and start their tasks on other machines.
 */
import type { JobId, MachineId, MonotonicMs } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { AttemptSoftState } from "../ownership/attempt-soft-state.js";
import type { ShardState } from "../ownership/shard-state.js";

const specOf = (state: ShardState, id: JobId): JobSpec | undefined =>
  state.ctx.replica.acceptedJobs.get(id)?.value.spec;

/**
 * An attempt is left to complete only if its expected remaining run time, multiplied by this
 * factor, is below the time that the preemption notice leaves. The announced notice and the actual
 * time may differ by a factor of 2, and run time estimates are often wrong by half.
 */
const NOTICE_SAFETY_FACTOR = 2;

/** Whether a running attempt is expected to complete before its machine is preempted. */
const completesBeforePreemption = (
  attempt: AttemptSoftState,
  spec: JobSpec,
  remainingNoticeS: number,
  now: MonotonicMs,
): boolean => {
  if (attempt.runningSince === null) return false;
  const elapsedRunS = (now - attempt.runningSince) / 1000;
  return spec.expectedRunS - elapsedRunS < remainingNoticeS / NOTICE_SAFETY_FACTOR;
};

/**
 * Requests a stop of each attempt that is not expected to complete before the machine is preempted,
 * and of each attempt that saves checkpoints. The grace period covers the saving of a checkpoint;
 * it is 0 if the notice leaves too little time for that.
 */
const evictBeforePreemption = (
  state: ShardState,
  id: MachineId,
  remainingNoticeS: number,
  now: MonotonicMs,
): void => {
  for (const { job, key } of state.ctx.replica.openAttemptsOn(id).values()) {
    const spec = specOf(state, job);
    if (spec === undefined) continue;
    const attempt = state.attemptState(key, id);
    const savesCheckpoints = spec.checkpointIntervalS > 0;
    if (!savesCheckpoints && completesBeforePreemption(attempt, spec, remainingNoticeS, now))
      continue;
    const graceS = spec.checkpointSaveS < remainingNoticeS ? spec.checkpointSaveS : 0;
    state.requestStop(key, id, "notice", graceS);
  }
};

/**
 * Evicts and decommissions the machines with a preemption notice. Attempts that can't complete in
 * time save a checkpoint, or are stopped at once so that their tasks can start elsewhere.
 */
export const handlePreemptionNotices = (state: ShardState, now: MonotonicMs): void => {
  for (const [id, session] of state.sessions) {
    const preemptionNoticeS = session.status?.preemptionNoticeS ?? null;
    if (preemptionNoticeS === null || session.state !== "ready") continue;
    const remainingNoticeS = preemptionNoticeS - (now - session.lastHeardAt) / 1000;
    evictBeforePreemption(state, id, remainingNoticeS, now);
    state.machineState(id).departure.step({ kind: "decommission_requested", reason: "notice" });
  }
};

/**
 * Drains the machines that the leader has requested for urgent work of another shard, and drops
 * transfer requests that have expired.
 */
export const drainMachinesForTransfer = (state: ShardState, now: MonotonicMs): void => {
  for (const [id, { departure }] of state.machineStates) {
    if (departure.transfer === null) continue;
    if (departure.transfer.expiresAt <= now) departure.step({ kind: "transfer_ended" });
    else if (departure.transfer.drain) stopOpenAttempts(state, id);
  }
};

const stopOpenAttempts = (state: ShardState, id: MachineId): void => {
  for (const { job, key } of state.ctx.replica.openAttemptsOn(id).values()) {
    const isStopping = state.attemptStates.get(key)?.stopRequest != null;
    if (!isStopping) state.counters.preempted++;
    state.requestStop(key, id, "preempted", specOf(state, job)?.checkpointSaveS ?? 0);
  }
};
