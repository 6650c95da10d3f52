import {
  type AttemptNumber,
  type JobId,
  type MachineId,
  type MonotonicMs,
  type TaskId,
  taskId,
} from "@umberfold/ids";
import type { TaskStatus } from "../../protocol/workers.js";
import { rangesAdd, rangesCount } from "../../storage/ranges.js";
import { type JobProgress, type LiveJob, NO_PROGRESS } from "../../storage/records.js";
import type { IndexedAttempt } from "../../storage/shard-jobs.js";
import { observeAttempt } from "../ownership/attempt-observation.js";
import type { ShardState } from "../ownership/shard-state.js";
import type { ShardRound } from "./shard-round.js";

/**
 * What part of a transaction the ends of jobs may fill: each takes two changes of its own. (In a flood
 * of one-task jobs they filled every transaction, and nothing could be started for minutes.)
 */
const ENDS_PART = 0.7;

/** How soon a machine on which something is to stop is called again. */
const STOP_AGAIN_MS = 400;

interface TerminatedAttempt {
  readonly key: string;
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
  /** Its last report, or undefined if it is gone without one. */
  readonly report: TaskStatus | undefined;
}

/** Is the attempt proved gone, and how did it end? Null: it isn't. */
const terminationEvidence = (
  owned: ShardState,
  job: LiveJob | undefined,
  task: TaskId,
  { attempt, key }: IndexedAttempt,
  machine: MachineId,
  round: ShardRound,
): { readonly report: TaskStatus | undefined } | null => {
  const { replica } = owned.ctx;
  const m = replica.machines.get(machine);
  // A machine leaves the records only after its attempts: one that is missing proves nothing.
  if (m === undefined) return null;
  if (replica.isGone(machine)) return { report: undefined };
  const s = owned.sessions.get(machine);
  if (s === undefined) return null;
  const stopped =
    job === undefined || job.cancelledAt !== null || owned.attemptStates.get(key)?.stopRequest;
  const found = observeAttempt(s, task, attempt, key);
  if (found.kind === "present") {
    if (found.report.phase === "ended") return { report: found.report };
    // Told already, and asked again after a while: it may need time to save, and its next heartbeat
    // is answered with the same.
    const told = round.now - owned.machineState(machine).call.lastCallAt < STOP_AGAIN_MS;
    if (stopped && told) owned.dirtyMachines.add(machine);
    else if (stopped) round.machinesToCall.add(machine);
    return null;
  }
  if (found.kind !== "absent") return null;
  const leaving = stopped || m.phase !== "up" || owned.heartbeatOverdue(machine, round.now);
  return leaving ? { report: undefined } : null;
};

/** Closes every open attempt that is proved gone on these machines, and ends jobs that are over. */
export const terminateAttempts = (
  owned: ShardState,
  round: ShardRound,
  machines: Iterable<MachineId>,
): void => {
  const byJob = provedGone(owned, round, machines);
  for (const [id, rows] of byJob) closeOfJob(owned, round, id, rows);
  finishCompletedJobs(owned, round, ENDS_PART);
};

/** Ends cancelled jobs with nothing open, and completed ones whose ends had to wait. */
export const finishCompletedJobs = (owned: ShardState, round: ShardRound, part = 1): void => {
  const { index } = owned.ctx.replica.shardJobs(round.shard);
  for (const due of [index.cancelled, index.complete])
    for (const [id, job] of due) {
      if (round.batch.ops >= round.batch.maxOps * part) return;
      if (job.open.length === 0 && !round.drafts.has(id)) closeOfJob(owned, round, id, []);
    }
};

/** Attempts on these machines that are proved gone, by job. */
const provedGone = (
  owned: ShardState,
  round: ShardRound,
  machines: Iterable<MachineId>,
): Map<JobId, TerminatedAttempt[]> => {
  const work = owned.ctx.replica.shardJobs(round.shard);
  const byJob = new Map<JobId, TerminatedAttempt[]>();
  for (const machine of machines)
    for (const [task, o] of work.openAttemptsOn(machine)) {
      const found = terminationEvidence(owned, work.jobs.get(o.job), task, o, machine, round);
      if (found === null) continue;
      const row = { ...o, machine, report: found.report };
      const rows = byJob.get(o.job);
      if (rows === undefined) byJob.set(o.job, [row]);
      else rows.push(row);
    }
  return byJob;
};

/** Writes the closings of one job; where the batch has no room for them they come up again. */
const closeOfJob = (
  owned: ShardState,
  round: ShardRound,
  id: JobId,
  rows: readonly TerminatedAttempt[],
): void => {
  const work = owned.ctx.replica.shardJobs(round.shard);
  const job = work.jobs.get(id);
  const old: JobProgress =
    job ?? work.pages.get(work.pageOf(id) ?? "")?.entries.get(id) ?? NO_PROGRESS;
  const gone = new Set(rows.map((r) => r.index));
  let { done } = old;
  for (const r of rows) if (r.report?.cause === "done") done = rangesAdd(done, r.index);
  const next: JobProgress = {
    done,
    open: old.open.filter((o) => !gone.has(o.index)),
    nextAttempt: old.nextAttempt,
  };
  if (!write(owned, round, id, job, next, rows.length > 0)) {
    for (const r of rows) owned.dirtyMachines.add(r.machine);
    return;
  }
  if (job !== undefined) round.drafts.set(id, { ...job, ...next });
  for (const r of rows) noteClosed(owned, round, id, job, r);
};

const noteClosed = (
  owned: ShardState,
  round: ShardRound,
  id: JobId,
  job: LiveJob | undefined,
  row: TerminatedAttempt,
): void => {
  owned.terminating.add(row.key);
  round.terminatedKeys.push(row.key);
  const on = round.terminatedByMachine.get(row.machine) ?? new Set();
  on.add(taskId(id, row.index));
  round.terminatedByMachine.set(row.machine, on);
  if (row.report === undefined) owned.counters.lost++;
  else if (job !== undefined) learn(owned, id, job, row, row.report, round.now);
  // Empty by now, perhaps: what waits for that is looked at in the next round.
  if (owned.machineState(row.machine).departure.isPending) owned.dirtyMachines.add(row.machine);
};

const write = (
  owned: ShardState,
  { shard, batch }: ShardRound,
  id: JobId,
  job: LiveJob | undefined,
  next: JobProgress,
  closed: boolean,
): boolean => {
  if (job === undefined) return batch.putJob(shard, id, next);
  const doneTasks = rangesCount(next.done);
  const over = job.cancelledAt !== null ? next.open.length === 0 : doneTasks === job.spec.taskCount;
  const rev = owned.ctx.replica.accepted.get(id)?.rev;
  const phase = job.cancelledAt !== null ? "cancelled" : "done";
  // An end of a job that has waited for it already is bounded by whoever asks for it.
  const room = !closed || batch.ops < batch.maxOps * ENDS_PART;
  if (over && rev !== undefined && room)
    if (batch.finishJob(shard, id, rev, { phase, done: doneTasks })) return true;
  // Its end can wait, but not the room that its tasks have left.
  return closed && batch.putJob(shard, id, next);
};

const learn = (
  owned: ShardState,
  id: JobId,
  job: LiveJob,
  o: TerminatedAttempt,
  t: TaskStatus,
  now: MonotonicMs,
): void => {
  const jn = owned.jobBackoff(id);
  const mn = owned.machineState(o.machine);
  if (t.cause === "done") {
    owned.counters.done++;
    owned.recordRunTime(job.spec, owned.attemptStates.get(o.key), now);
    jn.recordCompletion();
    mn.faults.recordCompletion();
    return;
  }
  if (t.cause === "halted") return;
  owned.counters.errors++;
  if (job.cancelledAt !== null) return;
  const { log } = owned.ctx;
  log.debug("attempt failed", { task: t.task, machine: o.machine, cause: t.cause ?? "" });
  if (t.cause === "error") {
    // Jobs failing on several machines are backed off; a machine failing several jobs goes.
    jn.recordFailure(o.machine, now);
    mn.faults.recordFailure(id, jn.isJobAtFault);
    if (mn.faults.isQuarantineDue && mn.departure.decommission === null) {
      log.info("machine quarantined", { machine: o.machine, failures: mn.faults.failures });
      mn.departure.step({ kind: "decommission_requested", reason: "faulty" });
    }
  } else {
    jn.recordInterruption(now);
  }
};
