/**
 * What must hold of the whole day, so that a service which breaks no rule because it does nothing
 * is noticed: most of each team's jobs are served, and the largest begin in time.
 */
import type { UserJob } from "../user-job.js";

/** A large job must have started by then after its submission. */
const MAX_WAIT_OF_LARGEST_MS = 240_000;
/** One of so many jobs counts as a large one. */
const LARGEST_ONE_IN = 10;

const isServed = (job: UserJob): boolean => job.finalState === "done";

/** What of these jobs was not served: names of groups less than half done, and large jobs. */
export const unservedOf = (asked: readonly UserJob[]): readonly string[] => {
  const groups = new Map<string, UserJob[]>();
  for (const job of asked) {
    const team = String(job.spec.crew);
    const group = groups.get(team);
    if (group === undefined) groups.set(team, [job]);
    else group.push(job);
  }
  const bySize = [...asked].sort((a, b) => Number(b.spec.threads) - Number(a.spec.threads));
  const largest = bySize.slice(0, Math.max(1, Math.ceil(asked.length / LARGEST_ONE_IN)));
  const rows = [...groups, ["the largest", largest], ["all", asked]] as const;
  const unserved = rows
    .filter(([, group]) => group.filter(isServed).length * 2 < group.length)
    .map(([name]) => name);
  const late = largest
    .filter((job) => {
      const startedAt = job.startedAt ?? Number.POSITIVE_INFINITY;
      return startedAt - job.submittedAt > MAX_WAIT_OF_LARGEST_MS;
    })
    .map((job) => `${job.id} did not begin`);
  return [...unserved, ...late];
};
