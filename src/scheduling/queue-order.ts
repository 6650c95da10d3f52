/**
 * The order in which waiting jobs are served in a round.
 *
 * Owns no state. Overdue jobs come first, then jobs within their team's guarantee. Among jobs that
 * are equal in both respects, priority decides, then slack.
 */
import type { JobId } from "@umberfold/ids";
import type { Objective } from "../config/settings.js";
import { priorityOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { slackS, targetsOf } from "./objectives.js";

/** A job with waiting tasks, and the properties that decide its position in the queue. */
export interface WaitingJob {
  readonly id: JobId;
  readonly job: LiveJob;
  /** Seconds since its submission. */
  readonly ageS: number;
  /** Seconds from a start command to the task's start, in which the image is fetched. */
  readonly imageFetchS: number;
  readonly expectedRunS: number;
  /**
   * Whether the job and its team's earlier unfinished jobs fit into the team's guarantee together.
   */
  readonly withinGuarantee: boolean;
}

/** A waiting job in the sorted queue. */
export interface QueuedJob extends WaitingJob {
  /** Seconds until its next task must start for the next target that can still be met. */
  readonly slackS: number;
  /** Whether it has waited too long without a start, and so comes before all other jobs. */
  readonly overdue: boolean;
}

/**
 * Whether a job has waited for more than `overdueS` seconds without starting any task. Such jobs
 * come before all others: otherwise a stream of small urgent jobs would starve the largest job
 * arrays.
 */
const isOverdue = (waiting: WaitingJob, overdueS: number): boolean =>
  waiting.ageS > overdueS && waiting.job.nextAttempt === 1;

/**
 * Sorts jobs: overdue ones first, then those within a guarantee, then by priority, least slack,
 * fewest waiting tasks and earliest acceptance. `overdueS`: seconds without a start after which a
 * job is overdue.
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
