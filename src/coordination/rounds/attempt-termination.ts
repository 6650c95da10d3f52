/**
 * The first deciding phase of a round: open attempts that are proved gone are terminated in their
 * jobs' records, and jobs that are over are finished.
 *
 * Owns no state. It writes to the round's batch, and marks the attempts as terminating in the shard's
 * soft state, so that no start is sent for what the records are about to call gone. What has no room
 * in the batch comes up again in the next round.
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
 * What part of a transaction finished jobs may fill: each takes two operations of its own. (In a flood
 * of one-task jobs they filled every transaction, and nothing could be started for minutes.)
 */
const MAX_FINISH_FRACTION = 0.7;

/** An open attempt that is proved gone. */
interface TerminatedAttempt {
  readonly key: string;
  readonly index: number;
  readonly attempt: AttemptNumber;
  readonly machine: MachineId;
  readonly evidence: Exclude<TerminationEvidence, { kind: "none" }>;
}

/** A job whose record changes by terminations or by its end. */
interface TerminatedJob {
  readonly id: JobId;
  /** Undefined if it is not live any more. */
  readonly job: LiveJob | undefined;
  readonly attempts: readonly TerminatedAttempt[];
}

/** Terminates every open attempt on these machines that is proved gone, and finishes jobs that are over. */
export const terminateAttempts = (
  state: ShardState,
  round: ShardRound,
  machines: Iterable<MachineId>,
): void => {
  for (const [id, attempts] of provedGone(state, round, machines))
    terminateInJob(state, round, id, attempts);
  finishCompletedJobs(state, round, MAX_FINISH_FRACTION);
};

/**
 * Finishes cancelled jobs that have no open attempts, and completed ones whose final records had to
 * wait, until they fill this fraction of the batch.
 */
export const finishCompletedJobs = (
  state: ShardState,
  round: ShardRound,
  maxBatchFraction = 1,
): void => {
  const { index } = state.ctx.replica.shardJobs(round.shard);
  for (const finishable of [index.cancelled, index.complete])
    for (const [id, job] of finishable) {
      if (round.batch.ops >= round.batch.maxOps * maxBatchFraction) return;
      if (job.open.length === 0 && !round.drafts.has(id)) terminateInJob(state, round, id, []);
    }
};

/** Attempts on these machines that are proved gone, by job. */
const provedGone = (
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

/** Writes the terminations of one job; its machines are examined again if the batch has no room. */
const terminateInJob = (
  state: ShardState,
  round: ShardRound,
  id: JobId,
  attempts: readonly TerminatedAttempt[],
): void => {
  const shardJobs = state.ctx.replica.shardJobs(round.shard);
  const job = shardJobs.jobs.get(id);
  const before: JobProgress =
    job ?? shardJobs.pages.get(shardJobs.pageOf(id) ?? "")?.entries.get(id) ?? NO_PROGRESS;
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

/** Finishes the job if it is over, or writes its progress. Returns false if the batch has no room. */
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
  const revision = state.ctx.replica.accepted.get(id)?.rev;
  const hasTerminations = attempts.length > 0;
  // Jobs that have waited for their final records already are limited by the caller.
  const mayFinish = !hasTerminations || batch.ops < batch.maxOps * MAX_FINISH_FRACTION;
  const phase = isCancelled ? "cancelled" : "done";
  if (isOver && revision !== undefined && mayFinish)
    if (batch.finishJob(shard, id, revision, { phase, done: doneTasks })) return true;
  // Its final record can wait, but not the room that its tasks have left.
  return hasTerminations && batch.putJob(shard, id, progress);
};

const recordTermination = (
  state: ShardState,
  round: ShardRound,
  { id, job }: TerminatedJob,
  { key, index, machine, evidence }: TerminatedAttempt,
): void => {
  state.terminatingAttempts.add(key);
  round.terminatedKeys.push(key);
  const terminatedTasks = round.terminatedByMachine.get(machine) ?? new Set<TaskId>();
  terminatedTasks.add(taskId(id, index));
  round.terminatedByMachine.set(machine, terminatedTasks);
  if (evidence.kind === "lost") state.counters.lost++;
  else if (job !== undefined)
    recordOutcome(state, round, { id, job, key, machine, status: evidence.status });
  // The machine may be empty by now: a departure that waits for that is looked at in the next round.
  if (state.machineState(machine).departure.isPending) state.dirtyMachines.add(machine);
};
