import type { JobId, TeamName } from "@umberfold/ids";
import type { JobSpec, Resources } from "../protocol/jobs.js";
import { completedTaskCount, type LiveJob, waitingTaskCount } from "./records.js";

/** A team as far as guarantees go. */
export interface Guarantee {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
}

export interface ResourceCount {
  readonly resources: Resources;
  count: number;
}

interface Ordered {
  readonly id: JobId;
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

/** Sums of decimal amounts drift by a few units in the last place. */
const TOLERANCE = 1e-9;

const needsKey = (n: Resources): string => `${n.cpus}|${n.gpus}|${n.ramGb}`;

const addCount = (map: Map<string, ResourceCount>, resources: Resources, by: number): void => {
  const key = needsKey(resources);
  const entry = map.get(key);
  if (entry === undefined) map.set(key, { resources, count: by });
  else if (entry.count + by === 0) map.delete(key);
  else entry.count += by;
};

/**
 * Views of a shard's live jobs that a round needs, kept up to date by each change of a job. A round
 * then costs what waits or changed, not what lives: a job whose tasks all run costs it nothing.
 *
 * Invariant: each view equals the one that a pass over all live jobs would give.
 */
export class JobIndex {
  /** Jobs with tasks that wait. */
  readonly waiting = new Map<JobId, LiveJob>();
  /** Jobs that were cancelled and have no final record yet. */
  readonly cancelled = new Map<JobId, LiveJob>();
  /** Jobs whose tasks have all completed and that have no final record yet. */
  readonly complete = new Map<JobId, LiveJob>();
  readonly #needs = new Map<string, ResourceCount>();
  readonly #openByTeam = new Map<TeamName, Map<string, ResourceCount>>();
  /** Jobs that were not cancelled, in the order in which they were accepted. */
  readonly #order = new Map<TeamName, Ordered[]>();

  /** Replaces what is known of one job; `undefined` stands for a job that is not live. */
  replace(id: JobId, before: LiveJob | undefined, after: LiveJob | undefined): void {
    if (before !== undefined) this.#remove(id, before, after);
    if (after !== undefined) this.#add(id, before, after);
  }

  /** The distinct needs of all live jobs. */
  *distinctResources(): Iterable<Resources> {
    for (const entry of this.#needs.values()) yield entry.resources;
  }

  /** What the open attempts of each team take: every one counts until it is closed. */
  teamUse(): Map<TeamName, Resources> {
    const out = new Map<TeamName, Resources>();
    for (const [team, counts] of this.#openByTeam) {
      let use = { cpus: 0, gpus: 0, ramGb: 0 };
      for (const { resources, count } of counts.values())
        use = {
          cpus: use.cpus + count * resources.cpus,
          gpus: use.gpus + count * resources.gpus,
          ramGb: use.ramGb + count * resources.ramGb,
        };
      out.set(team, use);
    }
    return out;
  }

  /** What the open attempts of each team need, as counts of attempts with the same needs. */
  openByTeam(): ReadonlyMap<TeamName, ReadonlyMap<string, Readonly<ResourceCount>>> {
    return this.#openByTeam;
  }

  /** How many jobs of each team were not cancelled. */
  *liveJobs(): Iterable<readonly [TeamName, number]> {
    for (const [team, rows] of this.#order) yield [team, rows.length];
  }

  /**
   * Jobs within their team's guarantee: those that fit in it together with the team's earlier
   * unfinished jobs. Looks no further than the first job beyond it, for sums only grow.
   */
  *withinGuarantee(
    teams: Iterable<Guarantee>,
    tasksOf: (id: JobId, spec: JobSpec) => number = (_id, spec) => spec.taskCount,
  ): Iterable<JobId> {
    for (const team of teams) {
      if (team.cpus <= 0 && team.gpus <= 0) continue;
      let cpus = 0;
      let gpus = 0;
      for (const { id, spec } of this.#order.get(team.name) ?? []) {
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
      this.waiting.delete(id);
      this.cancelled.delete(id);
      this.complete.delete(id);
    }
    if (after?.spec !== spec) addCount(this.#needs, spec.resources, -1);
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
    if (waitingTaskCount(after) > 0) this.waiting.set(id, after);
    else this.waiting.delete(id);
    if (after.cancelledAt !== null) this.cancelled.set(id, after);
    else this.cancelled.delete(id);
    if (after.cancelledAt === null && completedTaskCount(after) === spec.taskCount)
      this.complete.set(id, after);
    else this.complete.delete(id);
    if (before?.spec !== spec) addCount(this.#needs, spec.resources, 1);
    if (after.open.length > 0) {
      const counts = this.#openByTeam.get(spec.team) ?? new Map<string, ResourceCount>();
      this.#openByTeam.set(spec.team, counts);
      addCount(counts, spec.resources, after.open.length);
    }
    if (after.cancelledAt === null && !sameOrder(before, after)) this.#enterOrder(id, after);
  }

  #enterOrder(id: JobId, job: LiveJob): void {
    const { spec, acceptedAt } = job;
    const rows = this.#order.get(spec.team) ?? [];
    this.#order.set(spec.team, rows);
    rows.splice(firstAfter(rows, acceptedAt), 0, { id, acceptedAt, spec });
  }

  #leaveOrder(id: JobId, job: LiveJob): void {
    const rows = this.#order.get(job.spec.team);
    if (rows === undefined) return;
    let at = firstAfter(rows, job.acceptedAt) - 1;
    while (at >= 0 && rows[at]?.id !== id) at--;
    if (at >= 0) rows.splice(at, 1);
    if (rows.length === 0) this.#order.delete(job.spec.team);
  }
}

const sameOrder = (before: LiveJob | undefined, after: LiveJob | undefined): boolean =>
  before !== undefined &&
  after !== undefined &&
  before.spec === after.spec &&
  before.acceptedAt === after.acceptedAt &&
  (before.cancelledAt === null) === (after.cancelledAt === null);

/** Where the rows accepted after `acceptedAt` begin. */
const firstAfter = (rows: readonly Ordered[], acceptedAt: number): number => {
  let low = 0;
  let high = rows.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((rows[middle]?.acceptedAt ?? 0) <= acceptedAt) low = middle + 1;
    else high = middle;
  }
  return low;
};
