/**
 * The termination phase of a round: removes open attempts that are proved gone from the records of
 * their jobs, and writes the final records of jobs that have completed or were cancelled.
 *
 * Owns no state. It adds changes to the round's batch, and marks the attempts as terminating in the
 * shard's soft state, so that no start command is sent for an attempt whose record is about to be
 * closed. Changes that do not fit in the batch are retried in the next round.
 */
import {
  type AttemptNumber,
  type JobId,
  type MachineId,
  type TaskId,
  taskId,
} from "@umberfold/ids";
import { rangesAdd, rangesCount } from "../../storage/ranges.js";
import { type JobProgress, type LiveJob, NO_PROGRESS } from "../../storage/records.js";
import type { ShardState } from "../ownership/shard-state.js";
import { recordOutcome } from "./attempt-outcome.js";
import type { ShardRound } from "./shard-round.js";
import {
  examineMachine,
  type TerminationEvidence,
  terminationEvidence,
} from "./termination-evidence.js";

/**
 * The fraction of a transaction's operations that finished jobs may use. Each finished job takes
 * two operations of its own: under a burst of one-task jobs these used up every transaction, and no
 * task could start for minutes.
 */
const MAX_FINISHED_JOBS_BATCH_FRACTION = 0.7;

/** An open attempt that is proved gone. */
interface TerminatedAttempt {
  readonly key: string;
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
  readonly evidence: Exclude<TerminationEvidence, { kind: "none" }>;
}

/** A job of which attempts are terminated, or which is finished. */
interface TerminatedJob {
  readonly id: JobId;
  /** Undefined if the job is no longer live. */
  readonly job: LiveJob | undefined;
  readonly attempts: readonly TerminatedAttempt[];
}

/**
 * Terminates every open attempt on these machines that is proved gone, and finishes jobs that have
 * completed or were cancelled.
 */
export const terminateAttempts = (
  state: ShardState,
  round: ShardRound,
  machines: Iterable<MachineId>,
): void => {
  for (const [id, attempts] of terminatedAttemptsByJob(state, round, machines))
    terminateInJob(state, round, id, attempts);
  finishCompletedJobs(state, round, MAX_FINISHED_JOBS_BATCH_FRACTION);
};

/**
 * Finishes cancelled jobs that have no open attempts, and completed jobs whose final records have
 * not been written yet. Stops once the operations in the batch reach this fraction of its maximum.
 */
export const finishCompletedJobs = (
  state: ShardState,
  round: ShardRound,
  maxBatchFraction = 1,
): void => {
  const { index } = state.ctx.replica.shardJobs(round.shard);
  for (const finishable of [index.cancelledJobs, index.completedJobs])
    for (const [id, job] of finishable) {
      if (round.batch.opCount >= round.batch.maxOpCount * maxBatchFraction) return;
      if (job.open.length === 0 && !round.drafts.has(id)) terminateInJob(state, round, id, []);
    }
};

/** Finds the open attempts on these machines that are proved gone, grouped by job. */
const terminatedAttemptsByJob = (
  state: ShardState,
  round: ShardRound,
  machines: Iterable<MachineId>,
): ReadonlyMap<JobId, readonly TerminatedAttempt[]> => {
  const shardJobs = state.ctx.replica.shardJobs(round.shard);
  const byJob = new Map<JobId, TerminatedAttempt[]>();
  for (const machine of machines) {
    const openAttempts = shardJobs.openAttemptsOn(machine);
    const examined = openAttempts.size === 0 ? undefined : examineMachine(state, machine);
    if (examined === undefined) continue;
    for (const open of openAttempts) {
      const [, attempt] = open;
      const job = shardJobs.jobs.get(attempt.job);
      const evidence = terminationEvidence(state, round, machine, examined, open, job);
      if (evidence.kind === "none") continue;
      const terminated = { ...attempt, machine, evidence };
      const attempts = byJob.get(attempt.job);
      if (attempts === undefined) byJob.set(attempt.job, [terminated]);
      else attempts.push(terminated);
    }
  }
  return byJob;
};

/**
 * Adds the terminations of one job to the batch. If they do not fit, marks the machines of the
 * attempts dirty, so that the next round examines them again.
 */
const terminateInJob = (
  state: ShardState,
  round: ShardRound,
  id: JobId,
  attempts: readonly TerminatedAttempt[],
): void => {
  const shardJobs = state.ctx.replica.shardJobs(round.shard);
  const job = shardJobs.jobs.get(id);
  const before: JobProgress =
    job ?? shardJobs.pages.get(shardJobs.pageKeyOf(id) ?? "")?.entries.get(id) ?? NO_PROGRESS;
  const after = progressAfter(before, attempts);
  const terminated: TerminatedJob = { id, job, attempts };
  if (!writeProgress(state, round, terminated, after)) {
    for (const { machine } of attempts) state.dirtyMachines.add(machine);
    return;
  }
  if (job !== undefined) round.drafts.set(id, { ...job, ...after });
  for (const attempt of attempts) recordTermination(state, round, terminated, attempt);
};

const progressAfter = (
  before: JobProgress,
  attempts: readonly TerminatedAttempt[],
): JobProgress => {
  const terminatedIndexes = new Set(attempts.map((attempt) => attempt.index));
  let { done } = before;
  for (const { index, evidence } of attempts)
    if (evidence.kind === "ended" && evidence.status.cause === "done")
      done = rangesAdd(done, index);
  const open = before.open.filter((attempt) => !terminatedIndexes.has(attempt.index));
  return { done, open, nextAttempt: before.nextAttempt };
};

/**
 * Finishes the job if it has completed, or if it was cancelled and has no open attempts left; if
 * not, writes its progress. Returns false if nothing could be added to the batch.
 */
const writeProgress = (
  state: ShardState,
  { shard, batch }: ShardRound,
  { id, job, attempts }: TerminatedJob,
  progress: JobProgress,
): boolean => {
  if (job === undefined) return batch.putJob(shard, id, progress);
  const isCancelled = job.cancelledAt !== null;
  const doneTasks = rangesCount(progress.done);
  const isOver = isCancelled ? progress.open.length === 0 : doneTasks === job.spec.taskCount;
  const revision = state.ctx.replica.acceptedJobs.get(id)?.rev;
  const hasTerminations = attempts.length > 0;
  // Without terminations, the job comes from `finishCompletedJobs`, which applies its own limit.
  const mayFinish =
    !hasTerminations || batch.opCount < batch.maxOpCount * MAX_FINISHED_JOBS_BATCH_FRACTION;
  const phase = isCancelled ? "cancelled" : "done";
  if (isOver && revision !== undefined && mayFinish)
    if (batch.finishJob(shard, id, revision, { phase, done: doneTasks })) return true;
  // The final record may be delayed, but the terminations free capacity and are written now.
  return hasTerminations && batch.putJob(shard, id, progress);
};

const recordTermination = (
  state: ShardState,
  round: ShardRound,
  { id, job }: TerminatedJob,
  { key, index, machine, evidence }: TerminatedAttempt,
): void => {
  state.terminatingAttempts.add(key);
  round.terminatedAttemptKeys.push(key);
  const terminatedTasks = round.terminatedByMachine.get(machine) ?? new Set<TaskId>();
  terminatedTasks.add(taskId(id, index));
  round.terminatedByMachine.set(machine, terminatedTasks);
  if (evidence.kind === "lost") state.counters.lost++;
  else if (job !== undefined)
    recordOutcome(state, round, { id, job, key, machine, status: evidence.status });
  // The machine may have no open attempts left. If its transfer or decommission waits for that, the
  // next round has to examine it.
  if (state.machineState(machine).departure.isPending) state.dirtyMachines.add(machine);
};
