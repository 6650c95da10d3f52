/**
 * Divides the capacity beyond the teams' guarantees fairly between teams: reorders the queue of a
 * round and limits how many tasks of a job may start before other teams' jobs are considered.
 *
 * Owns no state. Only jobs with the same precedence are reordered: overdue jobs, jobs within a
 * guarantee and jobs of higher priority keep their places.
 */
import type { TeamName } from "@umberfold/ids";
import type { TaskBatch, TaskBatchInput } from "@umberfold/load-spread";
import { priorityOrder, type Resources } from "../../protocol/jobs.js";
import type { CandidateMachine } from "../../scheduling/placement.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, NO_RESOURCES } from "../../scheduling/resources.js";
import { waitingTaskCount } from "../../storage/records.js";

/** One step of the queue: a job, and how many of its tasks may start in this step. */
export interface QueueStep extends QueuedJob {
  /** The maximum number of tasks to start; unlimited if absent. */
  readonly maxStarts?: number;
}

/**
 * Lower bound of the quota fraction by which a team's use in this shard is divided. The quotient
 * estimates the use of a team that spans several shards in all of them. (When only the use in this
 * shard counted, a team whose burst had just reached the shard was served before the team whose
 * home shard it is.)
 */
const MIN_QUOTA_FRACTION = 0.01;
/**
 * Fair task batches are computed for at most this many tasks: about as many as one transaction can
 * start.
 */
const MAX_TASKS_IN_FAIR_BATCHES = 256;

/** The dominant share: the largest fraction of the capacity used among CPUs, GPUs and memory. */
const dominantShare = (resources: Resources, capacity: Resources): number =>
  Math.max(
    capacity.cpus > 0 ? resources.cpus / capacity.cpus : 0,
    capacity.gpus > 0 ? resources.gpus / capacity.gpus : 0,
    capacity.ramGb > 0 ? resources.ramGb / capacity.ramGb : 0,
  );

/**
 * Whether two jobs have the same precedence: the same priority, both or neither overdue, and both
 * or neither within a guarantee. Only such jobs may be reordered.
 */
const haveSamePrecedence = (a: QueuedJob, b: QueuedJob): boolean =>
  a.overdue === b.overdue &&
  a.withinGuarantee === b.withinGuarantee &&
  priorityOrder(a.job.spec.priority) === priorityOrder(b.job.spec.priority);

/** Splits the queue into segments of consecutive jobs with the same precedence. */
function* segmentsOfSamePrecedence(queue: readonly QueuedJob[]): Iterable<readonly QueuedJob[]> {
  let start = 0;
  for (let i = 1; i <= queue.length; i++) {
    const first = queue[start];
    const next = queue[i];
    if (first !== undefined && next !== undefined && haveSamePrecedence(first, next)) continue;
    yield queue.slice(start, i);
    start = i;
  }
}

const hasSeveralTeams = (segment: readonly QueuedJob[]): boolean =>
  segment.some((queued) => queued.job.spec.team !== segment[0]?.job.spec.team);

/** The function of the load-spread package that divides tasks between teams. */
type FairTaskBatches = (input: TaskBatchInput) => readonly TaskBatch[];

/** The dominant shares of the teams, and the capacity to which they relate. */
interface DominantShares {
  /** The total capacity of all candidate machines. */
  readonly capacity: Resources;
  /** Each team's dominant share of `capacity`, estimated for its use in all shards. */
  readonly shares: ReadonlyMap<TeamName, number>;
}

/** The jobs of one job class in fair order, with the number of tasks left in each batch. */
class FairClassQueue {
  readonly #remaining: { readonly queued: QueuedJob; tasks: number }[] = [];

  constructor(
    segment: readonly QueuedJob[],
    fairTaskBatches: FairTaskBatches,
    dominantShares: DominantShares,
  ) {
    const { capacity, shares } = dominantShares;
    const byId = new Map(segment.map((queued) => [queued.id, queued]));
    const jobs = segment.map((queued) => ({
      id: queued.id,
      team: queued.job.spec.team,
      taskCount: waitingTaskCount(queued.job),
      taskDominantShare: dominantShare(queued.job.spec.resources, capacity),
    }));
    for (const { id, taskCount } of fairTaskBatches({
      jobs,
      dominantShares: shares,
      maxTasks: MAX_TASKS_IN_FAIR_BATCHES,
    })) {
      const queued = byId.get(id);
      if (queued !== undefined) this.#remaining.push({ queued, tasks: taskCount });
    }
  }

  /** Removes and returns the next steps, which add up to at most this many tasks. */
  *takeSteps(taskCount: number): Iterable<QueueStep> {
    let remainingTasks = taskCount;
    while (remainingTasks > 0) {
      const [next] = this.#remaining;
      if (next === undefined) return;
      const maxStarts = Math.min(remainingTasks, next.tasks);
      yield { ...next.queued, maxStarts };
      next.tasks -= maxStarts;
      remainingTasks -= maxStarts;
      if (next.tasks === 0) this.#remaining.shift();
    }
  }
}

const groupByClass = (segment: readonly QueuedJob[]): ReadonlyMap<string, readonly QueuedJob[]> => {
  const byClass = new Map<string, QueuedJob[]>();
  for (const queued of segment) {
    const { jobClass } = queued.job.spec;
    const jobs = byClass.get(jobClass) ?? [];
    byClass.set(jobClass, jobs);
    jobs.push(queued);
  }
  return byClass;
};

/**
 * The steps for a segment of the queue: the order by slack between job classes is kept, and the
 * places of each class are divided fairly between its teams.
 */
function* fairSteps(
  segment: readonly QueuedJob[],
  fairTaskBatches: FairTaskBatches,
  dominantShares: DominantShares,
): Iterable<QueueStep> {
  const classes = new Map<string, FairClassQueue>();
  for (const [jobClass, jobs] of groupByClass(segment))
    if (hasSeveralTeams(jobs))
      classes.set(jobClass, new FairClassQueue(jobs, fairTaskBatches, dominantShares));
  for (const queued of segment) {
    const fairClass = classes.get(queued.job.spec.jobClass);
    if (fairClass === undefined) yield queued;
    else yield* fairClass.takeSteps(waitingTaskCount(queued.job));
  }
  // Each job of these classes gets a second step without a limit, so that capacity that the other
  // teams can't use does not stay idle.
  for (const queued of segment) if (classes.has(queued.job.spec.jobClass)) yield queued;
}

/**
 * Reorders the queue so that the capacity beyond guarantees is divided fairly between teams with
 * waiting jobs of the same job class. Jobs of different classes stay in the order of their slack,
 * because classes have different objectives and therefore different costs of waiting. Without
 * `fairTaskBatches` (fair shares are disabled, or the load-spread package is) the queue is
 * unchanged.
 *
 * @param usedByTeam the resources that each team's open attempts use in this shard
 * @param quotaFractionOf the fraction of a team's quota that this shard may use, from 0 to 1
 * @param candidates the machines whose total capacity is divided
 */
export const fairQueue = (
  queue: readonly QueuedJob[],
  fairTaskBatches: FairTaskBatches | undefined,
  usedByTeam: ReadonlyMap<TeamName, Resources>,
  quotaFractionOf: (team: TeamName) => number,
  candidates: Iterable<CandidateMachine>,
): readonly QueueStep[] => {
  if (fairTaskBatches === undefined) return queue;
  let capacity = NO_RESOURCES;
  for (const candidate of candidates) capacity = add(capacity, candidate.capacity);
  const shares = new Map(
    [...usedByTeam].map(([team, used]) => {
      const fraction = Math.max(MIN_QUOTA_FRACTION, quotaFractionOf(team));
      return [team, dominantShare(used, capacity) / fraction];
    }),
  );
  const steps: QueueStep[] = [];
  for (const segment of segmentsOfSamePrecedence(queue)) {
    const [first] = segment;
    if (first === undefined) continue;
    if (first.withinGuarantee || first.overdue) steps.push(...segment);
    else steps.push(...fairSteps(segment, fairTaskBatches, { capacity, shares }));
  }
  return steps;
};
