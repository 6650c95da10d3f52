import type { JobId } from "@umberfold/ids";
import type { Objective } from "../config/settings.js";
import { priorityOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { slackS, targetsOf } from "./objectives.js";

/** A job with tasks that wait, and what decides when it is its turn. */
export interface WaitingJob {
  readonly id: JobId;
  readonly job: LiveJob;
  readonly ageS: number;
  /** From its order to its start: the image's fetch. */
  readonly imageFetchS: number;
  readonly expectedRunS: number;
  /** It fits in its team's guarantee together with the team's earlier unfinished jobs. */
  readonly withinGuarantee: boolean;
}

export interface QueuedJob extends WaitingJob {
  /** Seconds until its next task must start for the next objective that can still be met. */
  readonly slackS: number;
  /** It has waited so long without a start that it goes before all others. */
  readonly overdue: boolean;
}

/**
 * Nothing is passed over for ever: a job that has waited this long without one start goes before
 * all others, or a stream of small urgent ones would hold the largest arrays out.
 */
const isOverdue = (q: WaitingJob, overdueS: number): boolean =>
  q.ageS > overdueS && q.job.nextAttempt === 1;

/** The overdue first, then work within a guarantee, then rank, then the least slack, then the fewest tasks left, then age. */
export const orderQueue = (
  waiting: readonly WaitingJob[],
  objectives: readonly Objective[],
  overdueS: number,
): readonly QueuedJob[] => {
  const keyed = waiting.map((q) => ({
    q,
    overdue: isOverdue(q, overdueS),
    rank: priorityOrder(q.job.spec.priority),
    slackS: slackS(
      targetsOf(q.job.spec, objectives, q.withinGuarantee),
      q.ageS + q.imageFetchS,
      q.expectedRunS,
    ),
    left: waitingTaskCount(q.job),
  }));
  keyed.sort(
    (a, b) =>
      Number(b.overdue) - Number(a.overdue) ||
      Number(b.q.withinGuarantee) - Number(a.q.withinGuarantee) ||
      a.rank - b.rank ||
      (a.slackS === b.slackS ? 0 : a.slackS - b.slackS) ||
      a.left - b.left ||
      a.q.job.acceptedAt - b.q.job.acceptedAt,
  );
  return keyed.map(({ q, slackS, overdue }) => ({ ...q, slackS, overdue }));
};
