import type { MonotonicMs } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

/** The cloud takes a machine away: what can't end in time is saved, or started elsewhere now. */
export const handleSpotNotices = (owned: ShardState, now: MonotonicMs): void => {
  const { replica } = owned.ctx;
  for (const [id, s] of owned.sessions) {
    const noticeS = s.status?.preemptionNoticeS ?? null;
    if (noticeS === null || s.state !== "ready") continue;
    const leftS = noticeS - (now - s.lastHeardAt) / 1000;
    for (const o of replica.openAttemptsOn(id).values()) {
      const job = replica.accepted.get(o.job)?.value;
      if (job === undefined) continue;
      const { key } = o;
      const note = owned.attemptState(key, id);
      const ranS = note.runningSince === null ? 0 : (now - note.runningSince) / 1000;
      // The nominal notice may be half of the true one, and estimates are often half wrong.
      const ends = note.runningSince !== null && job.spec.expectedRunS - ranS < leftS / 2;
      if (job.spec.checkpointIntervalS > 0 || !ends)
        owned.stop(
          key,
          id,
          "notice",
          job.spec.checkpointSaveS < leftS ? job.spec.checkpointSaveS : 0,
        );
    }
    owned.machineState(id).departure.step({ kind: "decommission_requested", reason: "notice" });
  }
};

/** Machines that the leader wants for urgent work of another shard are cleared for it. */
export const drainRequestedMachines = (owned: ShardState, now: MonotonicMs): void => {
  const { replica } = owned.ctx;
  for (const [id, { departure }] of owned.machineStates) {
    if (departure.transfer === null) continue;
    if (departure.transfer.until <= now) departure.step({ kind: "transfer_ended" });
    else if (departure.transfer.drain)
      for (const o of replica.openAttemptsOn(id).values()) {
        const saveS = replica.accepted.get(o.job)?.value.spec.checkpointSaveS ?? 0;
        const { key } = o;
        if (!owned.attemptStates.get(key)?.stopRequest) owned.counters.preempted++;
        owned.stop(key, id, "preempted", saveS);
      }
  }
};
