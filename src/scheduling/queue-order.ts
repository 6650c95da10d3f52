/**
 * The order in which waiting jobs are served in a round.
 *
 * Owns no state. Priority decides among jobs of equal standing towards their team's guarantee, and
 * slack among jobs of equal priority; the overdue go before all.
 */
import type { JobId } from "@umberfold/ids";
import type { Objective } from "../config/settings.js";
import { priorityOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { slackS, targetsOf } from "./objectives.js";

/** A job with waiting tasks, and what its place in the queue depends on. */
export interface WaitingJob {
  readonly id: JobId;
  readonly job: LiveJob;
  /** Seconds since its submission. */
  readonly ageS: number;
  /** Seconds from a start command to the task's start: the image is fetched first. */
  readonly imageFetchS: number;
  readonly expectedRunS: number;
  /** It fits into its team's guarantee together with the team's earlier unfinished jobs. */
  readonly withinGuarantee: boolean;
}

/** A waiting job in its place in the queue. */
export interface QueuedJob extends WaitingJob {
  /** Seconds until its next task must start for the next target that can still be met. */
  readonly slackS: number;
  /** It has waited so long without a start that it goes before all others. */
  readonly overdue: boolean;
}

/**
 * Whether a job has waited for so long without one start that it goes before all others. Without
 * this a stream of small urgent jobs would starve the largest job arrays.
 */
const isOverdue = (waiting: WaitingJob, overdueS: number): boolean =>
  waiting.ageS > overdueS && waiting.job.nextAttempt === 1;

/**
 * Sorts jobs: the overdue first, then those within a guarantee, then by priority, then the least
 * slack, then the fewest waiting tasks, then the oldest. `overdueS`: seconds without a start after
 * which a job is overdue.
 */
export const orderQueue = (
  waiting: readonly WaitingJob[],
  objectives: readonly Objective[],
  overdueS: number,
): readonly QueuedJob[] => {
  const keyed = waiting.map((entry) => ({
    entry,
    overdue: isOverdue(entry, overdueS),
    priority: priorityOrder(entry.job.spec.priority),
    slackS: slackS(
      targetsOf(entry.job.spec, objectives, entry.withinGuarantee),
      entry.ageS + entry.imageFetchS,
      entry.expectedRunS,
    ),
    waitingTasks: waitingTaskCount(entry.job),
  }));
  keyed.sort(
    (a, b) =>
      Number(b.overdue) - Number(a.overdue) ||
      Number(b.entry.withinGuarantee) - Number(a.entry.withinGuarantee) ||
      a.priority - b.priority ||
      // Two infinite slacks are equal, but their difference is not a number.
      (a.slackS === b.slackS ? 0 : a.slackS - b.slackS) ||
      a.waitingTasks - b.waitingTasks ||
      a.entry.job.acceptedAt - b.entry.job.acceptedAt,
  );
  return keyed.map(({ entry, slackS, overdue }) => ({ ...entry, slackS, overdue }));
};
