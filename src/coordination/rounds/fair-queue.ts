import type { TeamName } from "@umberfold/ids";
import type { FairTurn, FairTurnInput } from "@umberfold/load-spread";
import { priorityOrder, type Resources } from "../../protocol/jobs.js";
import type { CandidateMachine } from "../../scheduling/placement.js";
import type { QueuedJob } from "../../scheduling/queue-order.js";
import { add, NO_RESOURCES } from "../../scheduling/resources.js";
import { waitingTaskCount } from "../../storage/records.js";

/** A job's turn in a round, with the most tasks that it may start in it. */
export interface QueueStep extends QueuedJob {
  readonly mostStarts?: number;
}

/**
 * A team that spans several shards is judged by what it has in all of them: what it has here, by the
 * part of its quota that is here. (Judged by this shard alone, a burst that had just come to a shard
 * went before the team at home there.) A smaller part is taken for this one.
 */
const LEAST_PART = 0.01;
/** Tasks that turns are made for; what a transaction holds is of this order. */
const MOST_TASKS = 256;

/** The largest part of all room that these resources take, over processors, devices and memory. */
const dominantShare = (needs: Resources, capacity: Resources): number =>
  Math.max(
    capacity.cpus > 0 ? needs.cpus / capacity.cpus : 0,
    capacity.gpus > 0 ? needs.gpus / capacity.gpus : 0,
    capacity.ramGb > 0 ? needs.ramGb / capacity.ramGb : 0,
  );

/** Jobs among which nothing but fairness decides: guarantees, ranks and overdue jobs come before. */
const haveSamePrecedence = (a: QueuedJob, b: QueuedJob): boolean =>
  a.overdue === b.overdue &&
  a.withinGuarantee === b.withinGuarantee &&
  priorityOrder(a.job.spec.priority) === priorityOrder(b.job.spec.priority);

function* runsOfSameStanding(queue: readonly QueuedJob[]): Iterable<readonly QueuedJob[]> {
  let begin = 0;
  for (let i = 1; i <= queue.length; i++) {
    const first = queue[begin];
    const next = queue[i];
    if (first !== undefined && next !== undefined && haveSamePrecedence(first, next)) continue;
    yield queue.slice(begin, i);
    begin = i;
  }
}

const severalTeams = (run: readonly QueuedJob[]): boolean =>
  run.some((q) => q.job.spec.team !== run[0]?.job.spec.team);

type FairTurns = (input: FairTurnInput) => readonly FairTurn[];

interface Room {
  readonly capacity: Resources;
  readonly shares: ReadonlyMap<TeamName, number>;
}

/** The turns of one class's jobs, in a queue that is taken from task by task. */
class ClassTurns {
  readonly #turns: { readonly queued: QueuedJob; left: number }[] = [];

  constructor(run: readonly QueuedJob[], fairTurns: FairTurns, { capacity, shares }: Room) {
    const byId = new Map(run.map((q) => [q.id, q]));
    const jobs = run.map((q) => ({
      id: q.id,
      team: q.job.spec.team,
      tasks: waitingTaskCount(q.job),
      dominant: dominantShare(q.job.spec.resources, capacity),
    }));
    for (const turn of fairTurns({ jobs, shares, mostTasks: MOST_TASKS })) {
      const queued = byId.get(turn.id);
      if (queued !== undefined) this.#turns.push({ queued, left: turn.tasks });
    }
  }

  /** The next turns, for so many tasks together. */
  *take(tasks: number): Iterable<QueueStep> {
    let rest = tasks;
    while (rest > 0) {
      const turn = this.#turns[0];
      if (turn === undefined) return;
      const mostStarts = Math.min(rest, turn.left);
      yield { ...turn.queued, mostStarts };
      turn.left -= mostStarts;
      rest -= mostStarts;
      if (turn.left === 0) this.#turns.shift();
    }
  }
}

const byClass = (run: readonly QueuedJob[]): ReadonlyMap<string, readonly QueuedJob[]> => {
  const out = new Map<string, QueuedJob[]>();
  for (const q of run) {
    const jobs = out.get(q.job.spec.jobClass) ?? [];
    out.set(q.job.spec.jobClass, jobs);
    jobs.push(q);
  }
  return out;
};

/** A run in its order of slack between classes, with the turns within a class divided fairly. */
function* fairRun(
  run: readonly QueuedJob[],
  fairTurns: FairTurns,
  room: Room,
): Iterable<QueueStep> {
  const classes = new Map<string, ClassTurns>();
  for (const [jobClass, jobs] of byClass(run))
    if (severalTeams(jobs)) classes.set(jobClass, new ClassTurns(jobs, fairTurns, room));
  for (const q of run) {
    const turns = classes.get(q.job.spec.jobClass);
    if (turns === undefined) yield q;
    else yield* turns.take(waitingTaskCount(q.job));
  }
  // What the others can't use is not left idle: each comes once more without a bound.
  for (const q of run) if (classes.has(q.job.spec.jobClass)) yield q;
}

/**
 * The queue with the room beyond guarantees divided fairly between the teams that wait with jobs of
 * one class. Between classes slack decides as before: their objectives differ, and so does what
 * waiting costs them.
 */
export const fairQueue = (
  queue: readonly QueuedJob[],
  fairTurns: FairTurns | undefined,
  use: ReadonlyMap<TeamName, Resources>,
  partOf: (team: TeamName) => number,
  places: Iterable<CandidateMachine>,
): readonly QueueStep[] => {
  if (fairTurns === undefined) return queue;
  let capacity = NO_RESOURCES;
  for (const place of places) capacity = add(capacity, place.capacity);
  const shares = new Map(
    [...use].map(([team, taken]) => {
      const part = Math.max(LEAST_PART, partOf(team));
      return [team, dominantShare(taken, capacity) / part];
    }),
  );
  const out: QueueStep[] = [];
  for (const run of runsOfSameStanding(queue)) {
    const [first] = run;
    if (first === undefined) continue;
    if (first.withinGuarantee || first.overdue) out.push(...run);
    else out.push(...fairRun(run, fairTurns, { capacity, shares }));
  }
  return out;
};
