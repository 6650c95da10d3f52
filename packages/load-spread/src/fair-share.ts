import type { JobId, TeamName } from "@umberfold/ids";

/** A job whose tasks wait, in the order in which jobs of its class are served. */
export interface WaitingWork {
  readonly id: JobId;
  readonly team: TeamName;
  readonly tasks: number;
  /** What one task takes, as a part of all room: its dominant share. */
  readonly dominant: number;
}

export interface FairTurnInput {
  /** Jobs of equal standing (guarantee and rank): only among them is anything reordered. */
  readonly jobs: readonly WaitingWork[];
  /** What each team's open attempts take of all room: its dominant share. */
  readonly shares: ReadonlyMap<TeamName, number>;
  /** How many tasks turns are made for; a round starts no more than that. */
  readonly mostTasks: number;
}

/** Up to so many tasks of a job. */
export interface FairTurn {
  readonly id: JobId;
  readonly tasks: number;
}

/** A turn takes at least this many tasks: fewer, larger turns cost a round less. */
const LEAST_TURNS = 64;

interface TeamQueue {
  readonly jobs: WaitingWork[];
  share: number;
  at: number;
  taken: number;
}

const queuesOf = (input: FairTurnInput): readonly TeamQueue[] => {
  const queues = new Map<TeamName, TeamQueue>();
  for (const job of input.jobs) {
    const known = queues.get(job.team);
    if (known !== undefined) known.jobs.push(job);
    else
      queues.set(job.team, {
        jobs: [job],
        share: input.shares.get(job.team) ?? 0,
        at: 0,
        taken: 0,
      });
  }
  return [...queues.values()];
};

const neediest = (queues: readonly TeamQueue[]): TeamQueue | undefined => {
  let least: TeamQueue | undefined;
  for (const queue of queues)
    if (queue.at < queue.jobs.length && (least === undefined || queue.share < least.share))
      least = queue;
  return least;
};

/**
 * Dominant resource fairness by progressive filling: the next tasks are those of the team with the
 * least dominant share, its open attempts counted. What a team got in earlier rounds still runs and
 * so counts against it: that is the deficit carried over rounds. Jobs of one team keep their order.
 */
export const fairTurns = (input: FairTurnInput): readonly FairTurn[] => {
  const queues = queuesOf(input);
  const chunk = Math.max(1, Math.ceil(input.mostTasks / LEAST_TURNS));
  const turns: FairTurn[] = [];
  let left = input.mostTasks;
  while (left > 0) {
    const queue = neediest(queues);
    const job = queue?.jobs[queue.at];
    if (queue === undefined || job === undefined) break;
    const tasks = Math.min(chunk, job.tasks - queue.taken, left);
    const last = turns.at(-1);
    if (last?.id === job.id) turns[turns.length - 1] = { id: job.id, tasks: last.tasks + tasks };
    else turns.push({ id: job.id, tasks });
    left -= tasks;
    queue.share += tasks * job.dominant;
    queue.taken += tasks;
    if (queue.taken >= job.tasks) {
      queue.at++;
      queue.taken = 0;
    }
  }
  return turns;
};
