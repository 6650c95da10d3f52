/**
 * Indexes over a shard's live jobs for scheduling rounds, updated incrementally with each change of
 * a job. The cost of a round therefore depends on the number of waiting and changed jobs, not of
 * all live jobs: a job whose tasks are all running costs nothing.
 *
 * Invariant: each index equals the result of a full scan over all live jobs.
 */
import type { JobId, TeamName } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { completedTaskCount, type LiveJob, waitingTaskCount } from "./job-records.js";

/** A team's guaranteed resources. Memory is not guaranteed. */
export interface TeamGuarantee {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
}

/** The number of attempts or jobs that require the same resources. */
export interface ResourceCount {
  readonly resources: Resources;
  count: number;
}

/** An entry of a team's list of jobs, which is sorted by time of acceptance. */
interface OrderedJob {
  readonly id: JobId;
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

/** Allows for the rounding error of sums of decimal resource amounts. */
const SUM_TOLERANCE = 1e-9;

const resourcesKey = ({ cpus, gpus, ramGb }: Resources): string => `${cpus}|${gpus}|${ramGb}`;

const adjustCount = (
  counts: Map<string, ResourceCount>,
  resources: Resources,
  change: number,
): void => {
  const key = resourcesKey(resources);
  const entry = counts.get(key);
  if (entry === undefined) counts.set(key, { resources, count: change });
  else if (entry.count + change === 0) counts.delete(key);
  else entry.count += change;
};

/** The indexes over one shard's live jobs; see the module comment for their invariant. */
export class JobIndex {
  /** Jobs with at least one waiting task. */
  readonly waitingJobs = new Map<JobId, LiveJob>();
  /** Cancelled jobs without a final record yet. */
  readonly cancelledJobs = new Map<JobId, LiveJob>();
  /** Jobs not cancelled whose tasks have all completed, without a final record yet. */
  readonly completedJobs = new Map<JobId, LiveJob>();
  readonly #jobCountsByResources = new Map<string, ResourceCount>();
  readonly #openAttemptCountsByTeam = new Map<TeamName, Map<string, ResourceCount>>();
  /** Jobs that are not cancelled, by time of acceptance. */
  readonly #orderedJobsByTeam = new Map<TeamName, OrderedJob[]>();

  /** Updates the indexes for a change of one job; `undefined` means that the job is not live. */
  replace(id: JobId, before: LiveJob | undefined, after: LiveJob | undefined): void {
    if (before !== undefined) this.#remove(id, before, after);
    if (after !== undefined) this.#add(id, before, after);
  }

  /** The distinct resource requirements per task of all live jobs. */
  *distinctResources(): Iterable<Resources> {
    for (const entry of this.#jobCountsByResources.values()) yield entry.resources;
  }

  /** The resources used by each team's open attempts. An attempt counts until it is terminated. */
  usedResourcesByTeam(): Map<TeamName, Resources> {
    const usedByTeam = new Map<TeamName, Resources>();
    for (const [team, counts] of this.#openAttemptCountsByTeam) {
      let used = { cpus: 0, gpus: 0, ramGb: 0 };
      for (const { resources, count } of counts.values())
        used = {
          cpus: used.cpus + count * resources.cpus,
          gpus: used.gpus + count * resources.gpus,
          ramGb: used.ramGb + count * resources.ramGb,
        };
      usedByTeam.set(team, used);
    }
    return usedByTeam;
  }

  /** Each team's open attempts, counted by resource requirement. */
  openAttemptCountsByTeam(): ReadonlyMap<TeamName, ReadonlyMap<string, Readonly<ResourceCount>>> {
    return this.#openAttemptCountsByTeam;
  }

  /** The number of live jobs of each team that are not cancelled. */
  *uncancelledJobCounts(): Iterable<readonly [TeamName, number]> {
    for (const [team, ordered] of this.#orderedJobsByTeam) yield [team, ordered.length];
  }

  /**
   * Jobs within their team's guarantee: a job is within it if its resources, added to those of the
   * team's earlier live jobs, do not exceed the guarantee. Stops at a team's first job that exceeds
   * it, because the sums only grow. `countedTasksOf` returns how many of a job's tasks count.
   */
  *jobsWithinGuarantee(
    teams: Iterable<TeamGuarantee>,
    countedTasksOf: (id: JobId, spec: JobSpec) => number = (_id, spec) => spec.taskCount,
  ): Iterable<JobId> {
    for (const team of teams) {
      if (team.cpus <= 0 && team.gpus <= 0) continue;
      let cpus = 0;
      let gpus = 0;
      for (const { id, spec } of this.#orderedJobsByTeam.get(team.name) ?? []) {
        const tasks = countedTasksOf(id, spec);
        cpus += tasks * spec.resources.cpus;
        gpus += tasks * spec.resources.gpus;
        if (cpus > team.cpus + SUM_TOLERANCE || gpus > team.gpus + SUM_TOLERANCE) break;
        yield id;
      }
    }
  }

  #remove(id: JobId, before: LiveJob, after: LiveJob | undefined): void {
    const { spec } = before;
    if (after === undefined) {
      this.waitingJobs.delete(id);
      this.cancelledJobs.delete(id);
      this.completedJobs.delete(id);
    }
    if (after?.spec !== spec) adjustCount(this.#jobCountsByResources, spec.resources, -1);
    if (before.open.length > 0) {
      const counts = this.#openAttemptCountsByTeam.get(spec.team);
      if (counts !== undefined) {
        adjustCount(counts, spec.resources, -before.open.length);
        if (counts.size === 0) this.#openAttemptCountsByTeam.delete(spec.team);
      }
    }
    if (before.cancelledAt === null && !hasSameOrderEntry(before, after))
      this.#removeFromOrder(id, before);
  }

  #add(id: JobId, before: LiveJob | undefined, after: LiveJob): void {
    const { spec } = after;
    if (waitingTaskCount(after) > 0) this.waitingJobs.set(id, after);
    else this.waitingJobs.delete(id);
    if (after.cancelledAt !== null) this.cancelledJobs.set(id, after);
    else this.cancelledJobs.delete(id);
    if (after.cancelledAt === null && completedTaskCount(after) === spec.taskCount)
      this.completedJobs.set(id, after);
    else this.completedJobs.delete(id);
    if (before?.spec !== spec) adjustCount(this.#jobCountsByResources, spec.resources, 1);
    if (after.open.length > 0) {
      const counts =
        this.#openAttemptCountsByTeam.get(spec.team) ?? new Map<string, ResourceCount>();
      this.#openAttemptCountsByTeam.set(spec.team, counts);
      adjustCount(counts, spec.resources, after.open.length);
    }
    if (after.cancelledAt === null && !hasSameOrderEntry(before, after))
      this.#insertIntoOrder(id, after);
  }

  #insertIntoOrder(id: JobId, job: LiveJob): void {
    const { spec, acceptedAt } = job;
    const ordered = this.#orderedJobsByTeam.get(spec.team) ?? [];
    this.#orderedJobsByTeam.set(spec.team, ordered);
    ordered.splice(indexAfter(ordered, acceptedAt), 0, { id, acceptedAt, spec });
  }

  #removeFromOrder(id: JobId, job: LiveJob): void {
    const ordered = this.#orderedJobsByTeam.get(job.spec.team);
    if (ordered === undefined) return;
    let index = indexAfter(ordered, job.acceptedAt) - 1;
    while (index >= 0 && ordered[index]?.id !== id) index--;
    if (index >= 0) ordered.splice(index, 1);
    if (ordered.length === 0) this.#orderedJobsByTeam.delete(job.spec.team);
  }
}

/** Whether a job's entry in its team's list is the same before and after a change. */
const hasSameOrderEntry = (before: LiveJob | undefined, after: LiveJob | undefined): boolean =>
  before !== undefined &&
  after !== undefined &&
  before.spec === after.spec &&
  before.acceptedAt === after.acceptedAt &&
  (before.cancelledAt === null) === (after.cancelledAt === null);

/** The index of the first job accepted later than `acceptedAt`, by binary search. */
const indexAfter = (ordered: readonly OrderedJob[], acceptedAt: number): number => {
  let low = 0;
  let high = ordered.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ordered[middle]?.acceptedAt ?? 0) <= acceptedAt) low = middle + 1;
    else high = middle;
  }
  return low;
};
