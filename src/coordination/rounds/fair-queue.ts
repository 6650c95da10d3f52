/**
 * Divides the room beyond guarantees fairly between teams: takes the ordered queue of a round and
 * returns the order and the number of tasks with which jobs are placed.
 *
 * Owns no state. Only jobs that are equal in every rule but fairness change places: the order given
 * by overdue jobs, guarantees and priorities holds.
 */
import type { TeamName } from "@umberfold/ids";
import type { FairTurn, FairTurnInput } from "@umberfold/load-spread";
import { priorityOrder, type Resources } from "../../protocol/jobs.js";
import type { CandidateMachine } from "../../scheduling/placement.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, NO_RESOURCES } from "../../scheduling/resources.js";
import { waitingTaskCount } from "../../storage/records.js";

/** One visit to a job in a round, with the number of tasks that may start during it. */
export interface QueueStep extends QueuedJob {
  /** No limit if absent. */
  readonly maxStarts?: number;
}

/**
 * A team that spans several shards is judged by what it uses in all of them, estimated as its use in
 * this shard divided by the part of its quota that is in this shard. (Judged by this shard alone, a
 * burst that had just come to a shard went before the team whose home is there.) Smaller parts are
 * raised to this one.
 */
const MIN_QUOTA_FRACTION = 0.01;
/** Tasks that fair turns are computed for: of the order of what one transaction can start. */
const MAX_FAIR_TASKS = 256;

/** The largest fraction of the capacity that these resources take: processors, devices or memory. */
const dominantShare = (resources: Resources, capacity: Resources): number =>
  Math.max(
    capacity.cpus > 0 ? resources.cpus / capacity.cpus : 0,
    capacity.gpus > 0 ? resources.gpus / capacity.gpus : 0,
    capacity.ramGb > 0 ? resources.ramGb / capacity.ramGb : 0,
  );

/** Jobs between which only fairness decides: guarantees, priorities and overdue jobs come first. */
const haveSamePrecedence = (a: QueuedJob, b: QueuedJob): boolean =>
  a.overdue === b.overdue &&
  a.withinGuarantee === b.withinGuarantee &&
  priorityOrder(a.job.spec.priority) === priorityOrder(b.job.spec.priority);

/** The queue cut into runs of neighbours that have the same precedence. */
function* runsOfSamePrecedence(queue: readonly QueuedJob[]): Iterable<readonly QueuedJob[]> {
  let begin = 0;
  for (let i = 1; i <= queue.length; i++) {
    const first = queue[begin];
    const next = queue[i];
    if (first !== undefined && next !== undefined && haveSamePrecedence(first, next)) continue;
    yield queue.slice(begin, i);
    begin = i;
  }
}

const hasSeveralTeams = (run: readonly QueuedJob[]): boolean =>
  run.some((queued) => queued.job.spec.team !== run[0]?.job.spec.team);

/** The load-spread package's division of tasks between teams. */
type FairTurns = (input: FairTurnInput) => readonly FairTurn[];

/** What fairness is measured against. */
interface FairnessBasis {
  /** Of all candidate machines together. */
  readonly capacity: Resources;
  /** Each team's dominant share of it. */
  readonly shares: ReadonlyMap<TeamName, number>;
}

/** The jobs of one class in fair order, consumed task by task. */
class FairClassQueue {
  readonly #remaining: { readonly queued: QueuedJob; tasks: number }[] = [];

  constructor(run: readonly QueuedJob[], fairTurns: FairTurns, basis: FairnessBasis) {
    const { capacity, shares } = basis;
    const byId = new Map(run.map((queued) => [queued.id, queued]));
    const jobs = run.map((queued) => ({
      id: queued.id,
      team: queued.job.spec.team,
      tasks: waitingTaskCount(queued.job),
      dominant: dominantShare(queued.job.spec.resources, capacity),
    }));
    for (const { id, tasks } of fairTurns({ jobs, shares, mostTasks: MAX_FAIR_TASKS })) {
      const queued = byId.get(id);
      if (queued !== undefined) this.#remaining.push({ queued, tasks });
    }
  }

  /** The next steps, with this many tasks altogether. */
  *take(tasks: number): Iterable<QueueStep> {
    let untaken = tasks;
    while (untaken > 0) {
      const [next] = this.#remaining;
      if (next === undefined) return;
      const maxStarts = Math.min(untaken, next.tasks);
      yield { ...next.queued, maxStarts };
      next.tasks -= maxStarts;
      untaken -= maxStarts;
      if (next.tasks === 0) this.#remaining.shift();
    }
  }
}

const groupByClass = (run: readonly QueuedJob[]): ReadonlyMap<string, readonly QueuedJob[]> => {
  const byClass = new Map<string, QueuedJob[]>();
  for (const queued of run) {
    const { jobClass } = queued.job.spec;
    const jobs = byClass.get(jobClass) ?? [];
    byClass.set(jobClass, jobs);
    jobs.push(queued);
  }
  return byClass;
};

/** Keeps a run's order of slack between classes, and divides the steps within a class fairly. */
function* fairRun(
  run: readonly QueuedJob[],
  fairTurns: FairTurns,
  basis: FairnessBasis,
): Iterable<QueueStep> {
  const classes = new Map<string, FairClassQueue>();
  for (const [jobClass, jobs] of groupByClass(run))
    if (hasSeveralTeams(jobs)) classes.set(jobClass, new FairClassQueue(jobs, fairTurns, basis));
  for (const queued of run) {
    const fairClass = classes.get(queued.job.spec.jobClass);
    if (fairClass === undefined) yield queued;
    else yield* fairClass.take(waitingTaskCount(queued.job));
  }
  // Room that the other teams can't use is not left idle: each job is visited again without a limit.
  for (const queued of run) if (classes.has(queued.job.spec.jobClass)) yield queued;
}

/**
 * The queue in which the room beyond guarantees is divided fairly between the teams that wait with
 * jobs of one class. Between classes slack decides, since their objectives and so their costs of
 * waiting differ. Without `fairTurns` (the load-spread package is off) the queue stays as it is.
 *
 * @param teamUse what each team's open attempts take in this shard
 * @param quotaFractionOf the part of a team's quota that this shard may use, 0 to 1
 * @param candidates the machines whose capacity is divided
 */
export const fairQueue = (
  queue: readonly QueuedJob[],
  fairTurns: FairTurns | undefined,
  teamUse: ReadonlyMap<TeamName, Resources>,
  quotaFractionOf: (team: TeamName) => number,
  candidates: Iterable<CandidateMachine>,
): readonly QueueStep[] => {
  if (fairTurns === undefined) return queue;
  let capacity = NO_RESOURCES;
  for (const candidate of candidates) capacity = add(capacity, candidate.capacity);
  const shares = new Map(
    [...teamUse].map(([team, use]) => {
      const fraction = Math.max(MIN_QUOTA_FRACTION, quotaFractionOf(team));
      return [team, dominantShare(use, capacity) / fraction];
    }),
  );
  const steps: QueueStep[] = [];
  for (const run of runsOfSamePrecedence(queue)) {
    const [first] = run;
    if (first === undefined) continue;
    if (first.withinGuarantee || first.overdue) steps.push(...run);
    else steps.push(...fairRun(run, fairTurns, { capacity, shares }));
  }
  return steps;
};
