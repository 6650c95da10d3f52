/**
 * Adds up the demand of all jobs by group: jobs whose tasks are alike for renting machines.
 *
 * State: `DemandTotals` lives for one computation. Jobs are added one by one, and a team's waiting
 * tasks count only as far as its limit allows: jobs added earlier use it up first. `finish` is called
 * once, after the last job.
 */
import type { JobId, ShardId, TeamName, WallClockMs } from "@umberfold/ids";
import type { Objective, Team } from "../config/settings.js";
import type { MachineType } from "../protocol/cloud.js";
import { type JobSpec, priorityOrder, type Resources } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { type DueWork, demandBound } from "./demand-bound.js";
import { maxTimeInSystemS, targetsOf, workWindowS } from "./objectives.js";
import { fits } from "./resources.js";

/** Tasks that take no processors count as taking this many: a demand of none has no bound. */
const MIN_CPUS_PER_TASK = 0.1;
/** No window is shorter: work is divided by it. */
const MIN_WINDOW_S = 1;
/** In processors: a limit that is short of a whole task by less than this still allows the task. */
const LIMIT_TOLERANCE_CPUS = 1e-9;

/** What the demand is computed from, apart from the smoothing. */
export interface DemandSource {
  readonly jobs: Iterable<readonly [JobId, LiveJob]>;
  /** Undefined for a job that belongs to no shard: it is left out. */
  readonly shardOf: (id: JobId) => ShardId | undefined;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<JobId>;
  readonly objectives: readonly Objective[];
  /** Expected run time of the job's tasks, in seconds. */
  readonly expectedRunS: (job: LiveJob) => number;
  readonly types: readonly MachineType[];
  /** Seconds of the fastest boot on offer: what must start sooner needs a machine that is up. */
  readonly fastestBootS: number;
  /** The part (0 to 1) of its spare time that a class should wait at most. */
  readonly desiredSlackFraction: number;
  /** The part of its spare time that it may wait if capacity is expensive; more than `patience`. */
  readonly requiredSlackFraction: number;
  readonly now: WallClockMs;
}

/** `required`: slots that only just see the work through in time. `desired`: in good time. */
export type DemandTier = "desired" | "required";
const TIERS: readonly DemandTier[] = ["desired", "required"];

/**
 * Groups whose tasks fit the same machine types, and so use the same processors one after the
 * other. They are kept apart by types, because work that only some types can take gains nothing
 * from processors that become free on the others.
 */
interface MachineTypePool {
  readonly dueWork: Readonly<Record<DemandTier, DueWork[]>>;
  /** Processors that the groups would need if each were served separately. */
  readonly separateCpus: Record<DemandTier, number>;
}

/** The demand of one group. */
export interface GroupTotals {
  readonly resources: Resources;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  readonly priority: number;
  readonly pool: MachineTypePool;
  openAttempts: number;
  waitingTasks: number;
  readonly waitingTasksByShard: Map<ShardId, number>;
  /** Slots that the group would need alone, running tasks included. */
  readonly slots: Record<DemandTier, number>;
  /** Tasks whose objectives leave less time than a machine takes to boot. */
  tasksDueBeforeBoot: number;
  urgent: boolean;
}

/** What one job adds to its group's work. */
interface JobWork {
  readonly waiting: number;
  readonly open: number;
  readonly runS: number;
}

const groupKeys = new WeakMap<JobSpec, string>();

/** Tasks with the same key are alike for renting. The job class comes first: the log shows it. */
const groupKey = (spec: JobSpec): string => {
  const cached = groupKeys.get(spec);
  if (cached !== undefined) return cached;
  const { resources, machineTypes, zone, spotAllowed, jobClass } = spec;
  const shape = [jobClass, resources.cpus, resources.gpus, resources.ramGb];
  const key = [...shape, machineTypes?.join() ?? "*", zone ?? "*", spotAllowed].join("|");
  groupKeys.set(spec, key);
  return key;
};

/** Adds up what jobs demand, by group. */
export class DemandTotals {
  readonly #groups = new Map<string, GroupTotals>();
  readonly #pools = new Map<string, MachineTypePool>();
  /** Processors that each team's limit leaves for jobs not added yet. */
  readonly #cpusLeft = new Map<TeamName, number>();

  constructor(private readonly source: DemandSource) {}

  /** Adds a job's open and waiting tasks to its group. */
  add(id: JobId, job: LiveJob): void {
    const { source } = this;
    const { spec, open } = job;
    const shard = source.shardOf(id);
    if (shard === undefined) return;
    const group = this.#groupOf(spec);
    const waiting = this.#waitingWithinLimit(job);
    const runS = source.expectedRunS(job);
    const targets = targetsOf(spec, source.objectives, source.withinGuarantee.has(id));
    group.openAttempts += open.length;
    group.waitingTasks += waiting;
    if (waiting > 0)
      group.waitingTasksByShard.set(shard, (group.waitingTasksByShard.get(shard) ?? 0) + waiting);
    // Counted by task, so that one long job doesn't make its whole class urgent.
    if (maxTimeInSystemS(targets, runS, source.desiredSlackFraction) < source.fastestBootS)
      group.tasksDueBeforeBoot += waiting + open.length;
    const ageS = Math.max(0, (source.now - job.acceptedAt) / 1000);
    const work = { waiting, open: open.length, runS };
    addWork(group, work, "desired", workWindowS(targets, ageS, runS, source.desiredSlackFraction));
    addWork(
      group,
      work,
      "required",
      workWindowS(targets, ageS, runS, source.requiredSlackFraction),
    );
  }

  /** The groups by key, once all jobs are added: decides which are urgent, and fills the pools. */
  finish(): ReadonlyMap<string, GroupTotals> {
    for (const group of this.#groups.values()) {
      const tasks = group.openAttempts + group.waitingTasks;
      group.urgent = 2 * group.tasksDueBeforeBoot > tasks;
      const cpus = Math.max(group.resources.cpus, MIN_CPUS_PER_TASK);
      for (const tier of TIERS) {
        if (group.urgent) group.slots[tier] = tasks;
        group.pool.separateCpus[tier] += group.slots[tier] * cpus;
      }
    }
    return this.#groups;
  }

  #groupOf(spec: JobSpec): GroupTotals {
    const key = groupKey(spec);
    const existing = this.#groups.get(key);
    if (existing !== undefined) return existing;
    const { resources, machineTypes, zone, spotAllowed, priority } = spec;
    const group: GroupTotals = {
      resources,
      machineTypes,
      zone,
      spotAllowed,
      priority: priorityOrder(priority),
      pool: this.#poolOf(spec),
      openAttempts: 0,
      waitingTasks: 0,
      waitingTasksByShard: new Map(),
      slots: { desired: 0, required: 0 },
      tasksDueBeforeBoot: 0,
      urgent: false,
    };
    this.#groups.set(key, group);
    return group;
  }

  #poolOf({ resources, machineTypes }: JobSpec): MachineTypePool {
    const fitting = this.source.types.filter(
      (type) =>
        fits(resources, type.capacity) &&
        (machineTypes === null || machineTypes.includes(type.name)),
    );
    const key = fitting.map((type) => type.name).join("|");
    const pool = this.#pools.get(key) ?? {
      dueWork: { desired: [], required: [] },
      separateCpus: { desired: 0, required: 0 },
    };
    this.#pools.set(key, pool);
    return pool;
  }

  /** A job's waiting tasks that its team's limit still allows; they and the open ones use it up. */
  #waitingWithinLimit(job: LiveJob): number {
    const { team, resources, taskCount } = job.spec;
    const cpusLeft = this.#cpusLeft.get(team) ?? this.source.teams.get(team)?.cpusMax ?? 0;
    const maxTasks =
      resources.cpus > 0
        ? Math.floor((cpusLeft + LIMIT_TOLERANCE_CPUS) / resources.cpus)
        : taskCount;
    const waiting = Math.max(0, Math.min(waitingTaskCount(job), maxTasks - job.open.length));
    this.#cpusLeft.set(team, cpusLeft - (waiting + job.open.length) * resources.cpus);
    return waiting;
  }
}

/** Adds the work left, over the time there is for it. Running tasks count as half done on average. */
const addWork = (
  group: GroupTotals,
  { waiting, open, runS }: JobWork,
  tier: DemandTier,
  windowS: number,
): void => {
  group.slots[tier] +=
    waiting * Math.min(1, runS / windowS) + open * Math.min(1, runS / 2 / windowS);
  group.pool.dueWork[tier].push({
    // No work is done in less time than a task runs.
    windowS: Math.max(windowS, runS, MIN_WINDOW_S),
    cpuSeconds: (waiting + open / 2) * runS * Math.max(group.resources.cpus, MIN_CPUS_PER_TASK),
  });
};

/**
 * The part (0 to 1) of the slots that the groups of a pool would need separately which they need
 * together, by the demand bound. `margin`: what machines need beyond the bound, which takes work
 * for perfectly divisible.
 */
export const sharedFraction = (pool: MachineTypePool, tier: DemandTier, margin: number): number => {
  const separate = pool.separateCpus[tier];
  return separate > 0 ? Math.min(1, (margin * demandBound(pool.dueWork[tier])) / separate) : 1;
};
