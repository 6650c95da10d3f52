/**
 * Divides the tasks that a round may start fairly between the teams with waiting jobs.
 *
 * Implements dominant resource fairness by progressive filling: the next tasks are taken from the
 * team with the smallest dominant share. The share includes the team's open attempts, so tasks that
 * it started in earlier rounds count until they end; no state has to be kept between rounds.
 */
import type { JobId, TeamName } from "@umberfold/ids";

/** A job with waiting tasks. */
export interface WaitingJob {
  readonly id: JobId;
  readonly team: TeamName;
  /** The number of waiting tasks. */
  readonly taskCount: number;
  /**
   * The dominant share of one task, from 0 to 1: the largest fraction of the total capacity that it
   * uses of any resource.
   */
  readonly taskDominantShare: number;
}

/** The input of `fairTaskBatches`. */
export interface TaskBatchInput {
  /**
   * Jobs in the order of the queue. All are equal in guarantee and priority, because only such jobs
   * may be reordered.
   */
  readonly jobs: readonly WaitingJob[];
  /** The dominant share, from 0 to 1, of each team's open attempts; 0 for a team not in the map. */
  readonly dominantShares: ReadonlyMap<TeamName, number>;
  /** The maximum number of tasks in all batches together: a round starts no more. */
  readonly maxTasks: number;
}

/** A number of tasks of one job, to be placed before those of the next batch. */
export interface TaskBatch {
  readonly id: JobId;
  readonly taskCount: number;
}

/**
 * A round's tasks are divided into at least about this many batches. More and smaller batches would
 * be fairer but would make a round slower.
 */
const MIN_BATCHES = 64;

/** The jobs of one team, and how many of their tasks have been put into batches. */
interface TeamQueue {
  readonly jobs: WaitingJob[];
  /** The team's dominant share, including the tasks already put into batches. */
  dominantShare: number;
  nextJobIndex: number;
  /** The number of the next job's tasks that have already been put into batches. */
  nextJobBatchedTaskCount: number;
}

const teamQueues = (input: TaskBatchInput): readonly TeamQueue[] => {
  const queues = new Map<TeamName, TeamQueue>();
  for (const job of input.jobs) {
    const queue = queues.get(job.team);
    if (queue !== undefined) queue.jobs.push(job);
    else
      queues.set(job.team, {
        jobs: [job],
        dominantShare: input.dominantShares.get(job.team) ?? 0,
        nextJobIndex: 0,
        nextJobBatchedTaskCount: 0,
      });
  }
  return [...queues.values()];
};

const queueWithLeastShare = (queues: readonly TeamQueue[]): TeamQueue | undefined => {
  let least: TeamQueue | undefined;
  for (const queue of queues)
    if (
      queue.nextJobIndex < queue.jobs.length &&
      (least === undefined || queue.dominantShare < least.dominantShare)
    )
      least = queue;
  return least;
};

const recordBatch = (queue: TeamQueue, job: WaitingJob, taskCount: number): void => {
  queue.dominantShare += taskCount * job.taskDominantShare;
  queue.nextJobBatchedTaskCount += taskCount;
  if (queue.nextJobBatchedTaskCount < job.taskCount) return;
  queue.nextJobIndex++;
  queue.nextJobBatchedTaskCount = 0;
};

/**
 * Returns the batches in the order in which their tasks should be placed. Jobs of the same team
 * keep their order, and consecutive batches of one job are merged.
 */
export const fairTaskBatches = (input: TaskBatchInput): readonly TaskBatch[] => {
  const queues = teamQueues(input);
  const tasksPerBatch = Math.max(1, Math.ceil(input.maxTasks / MIN_BATCHES));
  const batches: TaskBatch[] = [];
  let remaining = input.maxTasks;
  while (remaining > 0) {
    const queue = queueWithLeastShare(queues);
    const job = queue?.jobs[queue.nextJobIndex];
    if (queue === undefined || job === undefined) break;
    const taskCount = Math.min(
      tasksPerBatch,
      job.taskCount - queue.nextJobBatchedTaskCount,
      remaining,
    );
    const last = batches.at(-1);
    if (last?.id === job.id)
      batches[batches.length - 1] = { id: job.id, taskCount: last.taskCount + taskCount };
    else batches.push({ id: job.id, taskCount });
    remaining -= taskCount;
    recordBatch(queue, job, taskCount);
  }
  return batches;
};
