/**
 * The evict phase of a round: requests the stops by which machines are emptied that the cloud takes
 * back, or that the leader wants for another shard.
 *
 * Owns no state. It changes the soft state of attempts and the departure of machines; what is stopped
 * is terminated and started again by later rounds.
 */
import type { JobId, MachineId, MonotonicMs } from "@umberfold/ids";
import type { JobSpec } from "../../protocol/jobs.js";
import type { AttemptSoftState } from "../ownership/attempt-soft-state.js";
import type { ShardState } from "../ownership/shard-state.js";

const specOf = (state: ShardState, id: JobId): JobSpec | undefined =>
  state.ctx.replica.accepted.get(id)?.value.spec;

/**
 * Whether an attempt ends by itself before its machine goes. The nominal notice may be half of the
 * true one, and estimates are often half wrong.
 */
const endsInTime = (
  attempt: AttemptSoftState,
  spec: JobSpec,
  leftS: number,
  now: MonotonicMs,
): boolean => {
  if (attempt.runningSince === null) return false;
  const ranS = (now - attempt.runningSince) / 1000;
  return spec.expectedRunS - ranS < leftS / 2;
};

/** Stops what can't end before the cloud takes the machine, with time to save if there is enough. */
const evictBeforePreemption = (
  state: ShardState,
  id: MachineId,
  leftS: number,
  now: MonotonicMs,
): void => {
  for (const { job, key } of state.ctx.replica.openAttemptsOn(id).values()) {
    const spec = specOf(state, job);
    if (spec === undefined) continue;
    const attempt = state.attemptState(key, id);
    const savesCheckpoints = spec.checkpointIntervalS > 0;
    if (!savesCheckpoints && endsInTime(attempt, spec, leftS, now)) continue;
    const graceS = spec.checkpointSaveS < leftS ? spec.checkpointSaveS : 0;
    state.requestStop(key, id, "notice", graceS);
  }
};

/**
 * Machines with a preemption notice are evicted and decommissioned: what can't end in time saves its
 * checkpoint, or is started elsewhere at once.
 */
export const handleSpotNotices = (state: ShardState, now: MonotonicMs): void => {
  for (const [id, session] of state.sessions) {
    const preemptionNoticeS = session.status?.preemptionNoticeS ?? null;
    if (preemptionNoticeS === null || session.state !== "ready") continue;
    const leftS = preemptionNoticeS - (now - session.lastHeardAt) / 1000;
    evictBeforePreemption(state, id, leftS, now);
    state.machineState(id).departure.step({ kind: "decommission_requested", reason: "notice" });
  }
};

/**
 * Machines that the leader wants for urgent work of another shard are drained. A request for a
 * transfer that has expired is dropped.
 */
export const drainRequestedMachines = (state: ShardState, now: MonotonicMs): void => {
  for (const [id, { departure }] of state.machineStates) {
    if (departure.transfer === null) continue;
    if (departure.transfer.expiresAt <= now) departure.step({ kind: "transfer_ended" });
    else if (departure.transfer.drain) drain(state, id);
  }
};

const drain = (state: ShardState, id: MachineId): void => {
  for (const { job, key } of state.ctx.replica.openAttemptsOn(id).values()) {
    const isStopping = state.attemptStates.get(key)?.stopRequest != null;
    if (!isStopping) state.counters.preempted++;
    state.requestStop(key, id, "preempted", specOf(state, job)?.checkpointSaveS ?? 0);
  }
};
