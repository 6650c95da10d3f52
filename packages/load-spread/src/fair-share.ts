/**
 * Divides what a round may start fairly between the teams whose jobs wait.
 *
 * Dominant resource fairness by progressive filling: the next tasks are those of the team with the
 * least dominant share, its open attempts included. What a team got in earlier rounds still runs and
 * so counts against it: that carries a deficit over rounds without any state of its own.
 */
import type { JobId, TeamName } from "@umberfold/ids";

/** A job with waiting tasks; a list of them is in the order in which the queue serves them. */
export interface WaitingWork {
  readonly id: JobId;
  readonly team: TeamName;
  /** Number of waiting tasks. */
  readonly tasks: number;
  /** The dominant share of one task: the part (0 to 1) of all capacity that it takes. */
  readonly dominant: number;
}

/** What fair turns are computed from. */
export interface FairTurnInput {
  /** Jobs of equal standing (guarantee and priority): only among them is anything reordered. */
  readonly jobs: readonly WaitingWork[];
  /** Dominant share (0 to 1) of each team's open attempts; a team left out has none. */
  readonly shares: ReadonlyMap<TeamName, number>;
  /** For how many tasks turns are computed: a round starts no more. */
  readonly mostTasks: number;
}

/** Up to this many tasks of a job are to be placed next. */
export interface FairTurn {
  readonly id: JobId;
  readonly tasks: number;
}

/**
 * All tasks of a round are divided into about this many turns at least. More, smaller turns would
 * be fairer, but cost a round more.
 */
const MIN_TURNS = 64;

/** The jobs of one team, and how far they have been given turns. */
interface TeamQueue {
  readonly jobs: WaitingWork[];
  /** The team's dominant share, the tasks given turns included. */
  share: number;
  nextJob: number;
  /** Tasks of the next job that have been given turns already. */
  nextJobTasks: number;
}

const queuesOf = (input: FairTurnInput): readonly TeamQueue[] => {
  const queues = new Map<TeamName, TeamQueue>();
  for (const job of input.jobs) {
    const queue = queues.get(job.team);
    if (queue !== undefined) queue.jobs.push(job);
    else
      queues.set(job.team, {
        jobs: [job],
        share: input.shares.get(job.team) ?? 0,
        nextJob: 0,
        nextJobTasks: 0,
      });
  }
  return [...queues.values()];
};

const leastServed = (queues: readonly TeamQueue[]): TeamQueue | undefined => {
  let least: TeamQueue | undefined;
  for (const queue of queues)
    if (queue.nextJob < queue.jobs.length && (least === undefined || queue.share < least.share))
      least = queue;
  return least;
};

const countTurn = (queue: TeamQueue, job: WaitingWork, tasks: number): void => {
  queue.share += tasks * job.dominant;
  queue.nextJobTasks += tasks;
  if (queue.nextJobTasks < job.tasks) return;
  queue.nextJob++;
  queue.nextJobTasks = 0;
};

/** The turns in their order. Jobs of one team keep theirs; successive turns of a job are one. */
export const fairTurns = (input: FairTurnInput): readonly FairTurn[] => {
  const queues = queuesOf(input);
  const tasksPerTurn = Math.max(1, Math.ceil(input.mostTasks / MIN_TURNS));
  const turns: FairTurn[] = [];
  let remaining = input.mostTasks;
  while (remaining > 0) {
    const queue = leastServed(queues);
    const job = queue?.jobs[queue.nextJob];
    if (queue === undefined || job === undefined) break;
    const tasks = Math.min(tasksPerTurn, job.tasks - queue.nextJobTasks, remaining);
    const last = turns.at(-1);
    if (last?.id === job.id) turns[turns.length - 1] = { id: job.id, tasks: last.tasks + tasks };
    else turns.push({ id: job.id, tasks });
    remaining -= tasks;
    countTurn(queue, job, tasks);
  }
  return turns;
};
