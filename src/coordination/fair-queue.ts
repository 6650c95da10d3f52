import type { TeamName } from "@umberfold/ids";
import type { FairTurn, FairTurnInput } from "@umberfold/load-spread";
import { type Resources, rankOrder } from "../protocol/jobs.js";
import type { Queued } from "../scheduling/order.js";
import type { Place } from "../scheduling/placement.js";
import { NOTHING, plus } from "../scheduling/resources.js";
import { waitingCount } from "../storage/records.js";

/** A job's turn in a round, with the most tasks that it may start in it. */
export interface QueueStep extends Queued {
  readonly mostStarts?: number;
}

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
const sameStanding = (a: Queued, b: Queued): boolean =>
  a.overdue === b.overdue &&
  a.withinGuarantee === b.withinGuarantee &&
  rankOrder(a.job.spec.rank) === rankOrder(b.job.spec.rank);

function* runsOfSameStanding(queue: readonly Queued[]): Iterable<readonly Queued[]> {
  let begin = 0;
  for (let i = 1; i <= queue.length; i++) {
    const first = queue[begin];
    const next = queue[i];
    if (first !== undefined && next !== undefined && sameStanding(first, next)) continue;
    yield queue.slice(begin, i);
    begin = i;
  }
}

const severalTeams = (run: readonly Queued[]): boolean =>
  run.some((q) => q.job.spec.team !== run[0]?.job.spec.team);

/**
 * The queue with the room beyond guarantees divided fairly between the teams that wait. After the
 * fair turns each job comes once more without a bound: what the others can't use is not left idle.
 */
export const fairQueue = (
  queue: readonly Queued[],
  fairTurns: ((input: FairTurnInput) => readonly FairTurn[]) | undefined,
  use: ReadonlyMap<TeamName, Resources>,
  places: Iterable<Place>,
): readonly QueueStep[] => {
  if (fairTurns === undefined) return queue;
  let capacity = NOTHING;
  for (const place of places) capacity = plus(capacity, place.capacity);
  const shares = new Map([...use].map(([team, taken]) => [team, dominantShare(taken, capacity)]));
  const out: QueueStep[] = [];
  for (const run of runsOfSameStanding(queue)) {
    const [first] = run;
    if (first === undefined) continue;
    if (first.withinGuarantee || first.overdue || !severalTeams(run)) {
      out.push(...run);
      continue;
    }
    const byId = new Map(run.map((q) => [q.id, q]));
    const jobs = run.map((q) => ({
      id: q.id,
      team: q.job.spec.team,
      tasks: waitingCount(q.job),
      dominant: dominantShare(q.job.spec.needs, capacity),
    }));
    for (const turn of fairTurns({ jobs, shares, mostTasks: MOST_TASKS })) {
      const queued = byId.get(turn.id);
      if (queued !== undefined) out.push({ ...queued, mostStarts: turn.tasks });
    }
    out.push(...run);
  }
  return out;
};
