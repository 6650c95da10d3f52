/**
 * Views of a shard's live jobs that a round needs, kept up to date by each change of a job. A round
 * then costs what waits or changed, not what lives: a job whose tasks all run costs it nothing.
 *
 * Invariant: each view equals the one that a pass over all live jobs would give.
 */
import type { JobId, TeamName } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { completedTaskCount, type LiveJob, waitingTaskCount } from "./job-records.js";

/** A team's guarantee; of cpus and gpus alone, for memory is not guaranteed. */
export interface TeamGuarantee {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
}

/** How many attempts or jobs ask for the same resources. */
export interface ResourceCount {
  readonly resources: Resources;
  count: number;
}

/** A job in its team's order of acceptance. */
interface OrderedJob {
  readonly id: JobId;
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

/** Sums of decimal amounts drift by a few units in the last place. */
const TOLERANCE = 1e-9;

const resourcesKey = ({ cpus, gpus, ramGb }: Resources): string => `${cpus}|${gpus}|${ramGb}`;

const addCount = (
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

/** The views; see the module's head for what holds of them. */
export class JobIndex {
  /** Jobs with tasks that wait. */
  readonly waitingJobs = new Map<JobId, LiveJob>();
  /** Jobs that were cancelled and have no final record yet. */
  readonly cancelledJobs = new Map<JobId, LiveJob>();
  /** Jobs whose tasks have all completed and that have no final record yet. */
  readonly completedJobs = new Map<JobId, LiveJob>();
  readonly #jobsByResources = new Map<string, ResourceCount>();
  readonly #openByTeam = new Map<TeamName, Map<string, ResourceCount>>();
  /** Jobs that were not cancelled, in the order in which they were accepted. */
  readonly #orderByTeam = new Map<TeamName, OrderedJob[]>();

  /** Replaces what is known of one job; `undefined` stands for a job that is not live. */
  replace(id: JobId, before: LiveJob | undefined, after: LiveJob | undefined): void {
    if (before !== undefined) this.#remove(id, before, after);
    if (after !== undefined) this.#add(id, before, after);
  }

  /** The distinct resources that a task of any live job asks for. */
  *distinctResources(): Iterable<Resources> {
    for (const entry of this.#jobsByResources.values()) yield entry.resources;
  }

  /** What the open attempts of each team use: every one counts until it is terminated. */
  usedResourcesByTeam(): Map<TeamName, Resources> {
    const useByTeam = new Map<TeamName, Resources>();
    for (const [team, counts] of this.#openByTeam) {
      let use = { cpus: 0, gpus: 0, ramGb: 0 };
      for (const { resources, count } of counts.values())
        use = {
          cpus: use.cpus + count * resources.cpus,
          gpus: use.gpus + count * resources.gpus,
          ramGb: use.ramGb + count * resources.ramGb,
        };
      useByTeam.set(team, use);
    }
    return useByTeam;
  }

  /** The open attempts of each team, as counts of attempts with the same resources. */
  openAttemptCountsByTeam(): ReadonlyMap<TeamName, ReadonlyMap<string, Readonly<ResourceCount>>> {
    return this.#openByTeam;
  }

  /** How many jobs of each team are live and not cancelled. */
  *uncancelledJobCounts(): Iterable<readonly [TeamName, number]> {
    for (const [team, ordered] of this.#orderByTeam) yield [team, ordered.length];
  }

  /**
   * Jobs within their team's guarantee: those that fit in it together with the team's earlier
   * unfinished jobs. Looks no further than the first job beyond it, for sums only grow. `tasksOf`
   * says how many of a job's tasks count.
   */
  *jobsWithinGuarantee(
    teams: Iterable<TeamGuarantee>,
    tasksOf: (id: JobId, spec: JobSpec) => number = (_id, spec) => spec.taskCount,
  ): Iterable<JobId> {
    for (const team of teams) {
      if (team.cpus <= 0 && team.gpus <= 0) continue;
      let cpus = 0;
      let gpus = 0;
      for (const { id, spec } of this.#orderByTeam.get(team.name) ?? []) {
        const tasks = tasksOf(id, spec);
        cpus += tasks * spec.resources.cpus;
        gpus += tasks * spec.resources.gpus;
        if (cpus > team.cpus + TOLERANCE || gpus > team.gpus + TOLERANCE) break;
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
    if (after?.spec !== spec) addCount(this.#jobsByResources, spec.resources, -1);
    if (before.open.length > 0) {
      const counts = this.#openByTeam.get(spec.team);
      if (counts !== undefined) {
        addCount(counts, spec.resources, -before.open.length);
        if (counts.size === 0) this.#openByTeam.delete(spec.team);
      }
    }
    if (before.cancelledAt === null && !sameOrder(before, after)) this.#leaveOrder(id, before);
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
    if (before?.spec !== spec) addCount(this.#jobsByResources, spec.resources, 1);
    if (after.open.length > 0) {
      const counts = this.#openByTeam.get(spec.team) ?? new Map<string, ResourceCount>();
      this.#openByTeam.set(spec.team, counts);
      addCount(counts, spec.resources, after.open.length);
    }
    if (after.cancelledAt === null && !sameOrder(before, after)) this.#enterOrder(id, after);
  }

  #enterOrder(id: JobId, job: LiveJob): void {
    const { spec, acceptedAt } = job;
    const ordered = this.#orderByTeam.get(spec.team) ?? [];
    this.#orderByTeam.set(spec.team, ordered);
    ordered.splice(positionAfter(ordered, acceptedAt), 0, { id, acceptedAt, spec });
  }

  #leaveOrder(id: JobId, job: LiveJob): void {
    const ordered = this.#orderByTeam.get(job.spec.team);
    if (ordered === undefined) return;
    let position = positionAfter(ordered, job.acceptedAt) - 1;
    while (position >= 0 && ordered[position]?.id !== id) position--;
    if (position >= 0) ordered.splice(position, 1);
    if (ordered.length === 0) this.#orderByTeam.delete(job.spec.team);
  }
}

/** Whether a job keeps its place in its team's order, and what the order says of it. */
const sameOrder = (before: LiveJob | undefined, after: LiveJob | undefined): boolean =>
  before !== undefined &&
  after !== undefined &&
  before.spec === after.spec &&
  before.acceptedAt === after.acceptedAt &&
  (before.cancelledAt === null) === (after.cancelledAt === null);

/** The position of the first job accepted later than `acceptedAt`, by binary search. */
const positionAfter = (ordered: readonly OrderedJob[], acceptedAt: number): number => {
  let low = 0;
  let high = ordered.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ordered[middle]?.acceptedAt ?? 0) <= acceptedAt) low = middle + 1;
    else high = middle;
  }
  return low;
};
