import type { Objective, Team } from "../cli/settings.js";
import type { JobId, TeamName } from "../protocol/ids.js";
import { rankOrder } from "../protocol/jobs.js";
import { type LiveJob, waitingCount } from "../storage/records.js";
import { slackS, targetsOf } from "./objectives.js";

/**
 * Jobs within their team's guarantee: those that fit in it together with the team's earlier
 * unfinished jobs.
 */
export const owedJobs = (
  jobs: Iterable<readonly [JobId, LiveJob]>,
  teams: ReadonlyMap<TeamName, Team>,
): ReadonlySet<JobId> => {
  const owed = new Set<JobId>();
  const used = new Map<TeamName, { cpus: number; gpus: number }>();
  const ordered = [...jobs]
    .filter(([, j]) => j.cancelledAt === null)
    .sort(([, a], [, b]) => a.acceptedAt - b.acceptedAt);
  for (const [id, j] of ordered) {
    const team = teams.get(j.spec.team);
    if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) continue;
    const u = used.get(team.name) ?? { cpus: 0, gpus: 0 };
    const cpus = u.cpus + j.spec.tasks * j.spec.needs.cpus;
    const gpus = u.gpus + j.spec.tasks * j.spec.needs.gpus;
    if (cpus <= team.cpus + 1e-9 && gpus <= team.gpus + 1e-9) owed.add(id);
    used.set(team.name, { cpus, gpus });
  }
  return owed;
};

export interface Waiting {
  readonly id: JobId;
  readonly job: LiveJob;
  readonly ageS: number;
  /** From its order to its start: the image's fetch. */
  readonly leadS: number;
  readonly runS: number;
  readonly owed: boolean;
}

export interface Queued extends Waiting {
  /** Seconds until its next task must start for the next objective that can still be met. */
  readonly slack: number;
}

/**
 * Nothing is passed over for ever: a job that has waited this long without one start goes before
 * all others, or a stream of small urgent ones would hold the largest arrays out.
 */
const overdue = (q: Waiting, overdueS: number): boolean =>
  q.ageS > overdueS && q.job.nextAttempt === 1;

/** The overdue first, then rank, then what is owed, then the least slack, then the fewest tasks left, then age. */
export const queueOrder = (
  waiting: readonly Waiting[],
  objectives: readonly Objective[],
  overdueS: number,
): readonly Queued[] => {
  const keyed = waiting.map((q) => ({
    q,
    late: overdue(q, overdueS),
    rank: rankOrder(q.job.spec.rank),
    slack: slackS(targetsOf(q.job.spec, objectives, q.owed), q.ageS + q.leadS, q.runS),
    left: waitingCount(q.job),
  }));
  keyed.sort(
    (a, b) =>
      Number(b.late) - Number(a.late) ||
      Number(b.q.owed) - Number(a.q.owed) ||
      a.rank - b.rank ||
      (a.slack === b.slack ? 0 : a.slack - b.slack) ||
      a.left - b.left ||
      a.q.job.acceptedAt - b.q.job.acceptedAt,
  );
  return keyed.map((k) => ({ ...k.q, slack: k.slack }));
};
