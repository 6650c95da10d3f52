/**
 * Divides what a round may start fairly between the teams whose jobs wait.
 *
 * Dominant resource fairness by progressive filling: the next tasks are those of the team with the
 * least dominant share, its open attempts included. What a team got in earlier rounds still runs and
 * so counts against it: that carries a deficit over rounds without any state of its own.
 */
import type { JobId, TeamName } from "@umberfold/ids";

/** A job with waiting tasks; a list of them is in the order in which the queue serves them. */
export interface WaitingJob {
  readonly id: JobId;
  readonly team: TeamName;
  /** Number of waiting tasks. */
  readonly taskCount: number;
  /** The dominant share of one task: the part (0 to 1) of all capacity that it takes. */
  readonly taskDominantShare: number;
}

/** What fair turns are computed from. */
export interface TaskBatchInput {
  /** Jobs of equal standing (guarantee and priority): only among them is anything reordered. */
  readonly jobs: readonly WaitingJob[];
  /** Dominant share (0 to 1) of each team's open attempts; a team left out has none. */
  readonly dominantShares: ReadonlyMap<TeamName, number>;
  /** For how many tasks turns are computed: a round starts no more. */
  readonly maxTasks: number;
}

/** Up to this many tasks of a job are to be placed next. */
export interface TaskBatch {
  readonly id: JobId;
  readonly taskCount: number;
}

/**
 * All tasks of a round are divided into about this many turns at least. More, smaller turns would
 * be fairer, but cost a round more.
 */
const MIN_BATCHES = 64;

/** The jobs of one team, and how far they have been given turns. */
interface TeamQueue {
  readonly jobs: WaitingJob[];
  /** The team's dominant share, the tasks given turns included. */
  dominantShare: number;
  nextJobIndex: number;
  /** Tasks of the next job that have been given turns already. */
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

const recordBatch = (queue: TeamQueue, job: WaitingJob, tasks: number): void => {
  queue.dominantShare += tasks * job.taskDominantShare;
  queue.nextJobBatchedTaskCount += tasks;
  if (queue.nextJobBatchedTaskCount < job.taskCount) return;
  queue.nextJobIndex++;
  queue.nextJobBatchedTaskCount = 0;
};

/** The turns in their order. Jobs of one team keep theirs; successive turns of a job are one. */
export const fairTaskBatches = (input: TaskBatchInput): readonly TaskBatch[] => {
  const queues = teamQueues(input);
  const tasksPerTurn = Math.max(1, Math.ceil(input.maxTasks / MIN_BATCHES));
  const turns: TaskBatch[] = [];
  let remaining = input.maxTasks;
  while (remaining > 0) {
    const queue = queueWithLeastShare(queues);
    const job = queue?.jobs[queue.nextJobIndex];
    if (queue === undefined || job === undefined) break;
    const taskCount = Math.min(
      tasksPerTurn,
      job.taskCount - queue.nextJobBatchedTaskCount,
      remaining,
    );
    const last = turns.at(-1);
    if (last?.id === job.id)
      turns[turns.length - 1] = { id: job.id, taskCount: last.taskCount + taskCount };
    else turns.push({ id: job.id, taskCount });
    remaining -= taskCount;
    recordBatch(queue, job, taskCount);
  }
  return turns;
};
