import type { Mono } from "@umberfold/ids";
import type { ShardState } from "../ownership/shard-state.js";

/** The cloud takes a machine away: what can't end in time is saved, or started elsewhere now. */
export const handleSpotNotices = (owned: ShardState, now: Mono): void => {
  const { replica } = owned.ctx;
  for (const [id, s] of owned.sessions) {
    const noticeS = s.report?.noticeS ?? null;
    if (noticeS === null || s.state !== "ready") continue;
    const leftS = noticeS - (now - s.heardAt) / 1000;
    for (const o of replica.openOn(id).values()) {
      const job = replica.accepted.get(o.job)?.value;
      if (job === undefined) continue;
      const { key } = o;
      const note = owned.attemptNote(key, id);
      const ranS = note.runningSince === null ? 0 : (now - note.runningSince) / 1000;
      // The nominal notice may be half of the true one, and estimates are often half wrong.
      const ends = note.runningSince !== null && job.spec.expectS - ranS < leftS / 2;
      if (job.spec.checkpointS > 0 || !ends)
        owned.stop(key, id, "notice", job.spec.saveS < leftS ? job.spec.saveS : 0);
    }
    owned.note(id).retire ??= { reason: "notice", force: false };
  }
};

/** Machines that the leader wants for urgent work of another shard are cleared for it. */
export const drainRequested = (owned: ShardState, now: Mono): void => {
  const { replica } = owned.ctx;
  for (const [id, note] of owned.machines) {
    if (note.move === null) continue;
    if (note.move.until <= now) note.move = null;
    else if (note.move.drain)
      for (const o of replica.openOn(id).values()) {
        const saveS = replica.accepted.get(o.job)?.value.spec.saveS ?? 0;
        const { key } = o;
        if (!owned.attempts.get(key)?.stop) owned.counters.preempted++;
        owned.stop(key, id, "preempted", saveS);
      }
  }
};
