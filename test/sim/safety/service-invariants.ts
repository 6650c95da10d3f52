/**
 * Liveness checks of a whole day: at least half of each team's jobs are done, and the largest jobs
 * start in time. They detect a service that violates no safety rule because it does nothing.
 */
import type { UserJob } from "../user-job.js";

/** Longest time from the submission of a large job to the start of its first task. */
const MAX_LARGE_JOB_WAIT_MS = 240_000;
/** One in this many jobs, by number of tasks, counts as large. */
const JOBS_PER_LARGE_JOB = 10;

const isServed = (job: UserJob): boolean => job.finalState === "done";

/**
 * Lists what was not served: the groups of jobs (by team, the largest, all) of which less than half
 * are done, and the large jobs that started late or never.
 */
export const findUnserved = (jobs: readonly UserJob[]): readonly string[] => {
  const groups = new Map<string, UserJob[]>();
  for (const job of jobs) {
    const team = String(job.spec.crew);
    const group = groups.get(team);
    if (group === undefined) groups.set(team, [job]);
    else group.push(job);
  }
  const bySize = [...jobs].sort((a, b) => Number(b.spec.threads) - Number(a.spec.threads));
  const largest = bySize.slice(0, Math.max(1, Math.ceil(jobs.length / JOBS_PER_LARGE_JOB)));
  const rows = [...groups, ["the largest", largest], ["all", jobs]] as const;
  const unserved = rows
    .filter(([, group]) => group.filter(isServed).length * 2 < group.length)
    .map(([name]) => name);
  const late = largest
    .filter((job) => {
      const startedAt = job.startedAt ?? Number.POSITIVE_INFINITY;
      return startedAt - job.submittedAt > MAX_LARGE_JOB_WAIT_MS;
    })
    .map((job) => `${job.id} did not begin`);
  return [...unserved, ...late];
};
