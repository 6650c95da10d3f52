import {
  type AttemptNo,
  attemptKey,
  type JobId,
  type MachineId,
  type Mono,
  mono,
  type ShareNo,
  type TaskId,
  taskId,
} from "../protocol/ids.js";
import type { TaskReport } from "../protocol/workers.js";
import { rangesAdd, rangesCount } from "../storage/ranges.js";
import { type LiveJob, NO_PROGRESS, type Progress } from "../storage/records.js";
import type { Batch } from "./batch.js";
import { type Held, MANY_MACHINES } from "./held.js";
import { findAttempt } from "./session.js";

interface Closing {
  readonly key: string;
  readonly index: number;
  readonly attempt: AttemptNo;
  readonly machine: MachineId;
  /** Its last report, or undefined if it is gone without one. */
  readonly report: TaskReport | undefined;
}

/** What a round has decided of one share so far. */
export interface ShareRound {
  readonly share: ShareNo;
  readonly batch: Batch;
  readonly now: Mono;
  /** Jobs as this round will write them. */
  readonly drafts: Map<JobId, LiveJob>;
  /** Machines that should hear from us once this is written. */
  readonly call: Set<MachineId>;
  /** Closings in the batch, by machine, and their attempts' keys. */
  readonly closed: Map<MachineId, Set<TaskId>>;
  readonly closedKeys: string[];
}

/** Is the attempt proved gone, and how did it end? Null: it isn't. */
const proof = (
  held: Held,
  job: LiveJob | undefined,
  task: TaskId,
  attempt: AttemptNo,
  machine: MachineId,
  round: ShareRound,
): { readonly report: TaskReport | undefined } | null => {
  const { replica } = held.ctx;
  const m = replica.machines.get(machine);
  // A machine leaves the records only after its attempts: one that is missing proves nothing.
  if (m === undefined) return null;
  if (replica.isGone(machine)) return { report: undefined };
  const s = held.sessions.get(machine);
  if (s === undefined) return null;
  const key = attemptKey(task, attempt);
  const stopped = job === undefined || job.cancelledAt !== null || held.attempts.get(key)?.stop;
  const found = findAttempt(s, task, attempt);
  if (found.kind === "present") {
    if (found.report.stage === "ended") return { report: found.report };
    if (stopped) round.call.add(machine);
    return null;
  }
  if (found.kind !== "absent") return null;
  const leaving = stopped || m.stage !== "up" || held.unheard(machine, round.now);
  return leaving ? { report: undefined } : null;
};

/** Closes every open attempt that is proved gone on these machines, and ends jobs that are over. */
export const closeAttempts = (
  held: Held,
  round: ShareRound,
  machines: Iterable<MachineId>,
): void => {
  const { replica } = held.ctx;
  const { share } = round;
  const work = replica.work(share);
  const byJob = new Map<JobId, Closing[]>();
  for (const machine of machines)
    for (const [task, o] of work.openOn(machine)) {
      const found = proof(held, work.jobs.get(o.job), task, o.attempt, machine, round);
      if (found === null) continue;
      const row = { ...o, machine, report: found.report };
      const rows = byJob.get(o.job);
      if (rows === undefined) byJob.set(o.job, [row]);
      else rows.push(row);
    }
  for (const [id, job] of work.index.cancelled)
    if (job.open.length === 0 && !byJob.has(id)) byJob.set(id, []);
  for (const [id, rows] of byJob) {
    const job = work.jobs.get(id);
    const old: Progress =
      job ?? work.pages.get(work.pageOf(id) ?? "")?.entries.get(id) ?? NO_PROGRESS;
    const gone = new Set(rows.map((r) => r.index));
    let { done } = old;
    for (const r of rows) if (r.report?.cause === "done") done = rangesAdd(done, r.index);
    const next: Progress = {
      done,
      open: old.open.filter((o) => !gone.has(o.index)),
      nextAttempt: old.nextAttempt,
    };
    if (!write(held, round, id, job, next)) {
      for (const r of rows) held.disturbed.add(r.machine);
      continue;
    }
    if (job !== undefined) round.drafts.set(id, { ...job, ...next });
    for (const r of rows) {
      held.closing.add(r.key);
      round.closedKeys.push(r.key);
      const on = round.closed.get(r.machine) ?? new Set();
      on.add(taskId(id, r.index));
      round.closed.set(r.machine, on);
      if (r.report === undefined) held.counters.lost++;
      else if (job !== undefined) learn(held, id, job, r, r.report, round.now);
    }
  }
};

const write = (
  held: Held,
  { share, batch }: ShareRound,
  id: JobId,
  job: LiveJob | undefined,
  next: Progress,
): boolean => {
  if (job === undefined) return batch.putJob(share, id, next);
  const doneTasks = rangesCount(next.done);
  const over = job.cancelledAt !== null ? next.open.length === 0 : doneTasks === job.spec.tasks;
  if (!over) return batch.putJob(share, id, next);
  const rev = held.ctx.replica.accepted.get(id)?.rev;
  if (rev === undefined) return false;
  const stage = job.cancelledAt !== null ? "cancelled" : "done";
  return batch.finish(share, id, rev, { stage, done: doneTasks });
};

const learn = (held: Held, id: JobId, job: LiveJob, o: Closing, t: TaskReport, now: Mono): void => {
  const jn = held.jobNote(id);
  const mn = held.note(o.machine);
  if (t.cause === "done") {
    held.counters.done++;
    held.learnRun(job.spec, held.attempts.get(o.key), now);
    jn.failures = 0;
    mn.failures = 0;
    mn.failedJobs.clear();
    return;
  }
  if (t.cause === "halted") return;
  held.counters.errors++;
  if (job.cancelledAt !== null) return;
  const { log } = held.ctx;
  log.debug("attempt failed", { task: t.task, machine: o.machine, cause: t.cause ?? "" });
  if (t.cause === "error") {
    jn.failures++;
    jn.failedOn.add(o.machine);
    mn.failures++;
    // A job that fails on one machine after the other says nothing against the next of them.
    if (jn.failedOn.size < MANY_MACHINES) mn.failedJobs.add(id);
    // Jobs failing on several machines are backed off; a machine failing several jobs goes.
    if (jn.failedOn.size >= MANY_MACHINES)
      jn.notBefore = mono(now + Math.min(30_000, 1000 * 2 ** Math.min(5, jn.failures - 3)));
    if (mn.failedJobs.size >= 2 && mn.retire === null) {
      log.info("machine quarantined", { machine: o.machine, failures: mn.failures });
      mn.retire = { reason: "faulty", force: false };
    }
  } else {
    jn.notBefore = mono(now + 500);
  }
};
