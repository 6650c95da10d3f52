/**
 * Adds up the demand of all jobs by group. A group consists of the jobs whose tasks have the same
 * class and resource demand and may run on the same machines.
 *
 * State: a `DemandTotals` exists for one computation. Jobs are added one by one. A team's waiting
 * tasks are counted only up to the team's limit, which the jobs added earlier use up first.
 * `finish` is called once, after the last job.
 */
import type { JobId, ShardId, TeamName, WallClockMs } from "@umberfold/ids";
import type { Objective, Team } from "../config/settings.js";
import type { MachineType } from "../protocol/cloud.js";
import { type JobSpec, priorityOrder, type Resources } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { type DueWork, demandBound } from "./demand-bound.js";
import { maxTimeInSystemS, targetsOf, workWindowS } from "./objectives.js";
import { fits } from "./resources.js";

/**
 * Tasks that demand fewer processors are counted as demanding this many: the demand bound is
 * computed in processors, and would be 0 for tasks that demand none.
 */
const MIN_CPUS_PER_TASK = 0.1;
/** The minimum window. Work is divided by the window, so a window of 0 is not possible. */
const MIN_WINDOW_S = 1;
/**
 * A task is still within its team's limit if it exceeds the limit by less than this. It allows for
 * rounding in sums of processors.
 */
const LIMIT_TOLERANCE_CPUS = 1e-9;

/** The inputs of the demand computation, without those of the smoothing. */
export interface DemandSource {
  readonly jobs: Iterable<readonly [JobId, LiveJob]>;
  /** The shard of a job. Jobs for which it returns undefined are not counted. */
  readonly shardOf: (id: JobId) => ShardId | undefined;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<JobId>;
  readonly objectives: readonly Objective[];
  /** Expected run time of the job's tasks, in seconds. */
  readonly expectedRunS: (job: LiveJob) => number;
  readonly types: readonly MachineType[];
  /**
   * Boot time of the fastest machine type, in seconds. Tasks that must start sooner can only run on
   * machines that are running already.
   */
  readonly fastestBootS: number;
  /** The fraction (0 to 1) of a job's slack within which `desired` slots finish its work. */
  readonly desiredSlackFraction: number;
  /**
   * The same for `required` slots, which may be rented on expensive machines. It is larger, so that
   * fewer slots are required than desired.
   */
  readonly requiredSlackFraction: number;
  readonly now: WallClockMs;
}

/**
 * `desired` slots finish the work well before its targets. `required` slots, usually fewer, finish
 * it later, but still in time.
 */
export type DemandTier = "desired" | "required";
const TIERS: readonly DemandTier[] = ["desired", "required"];

/**
 * The groups whose tasks fit the same machine types, so that they can use the same processors one
 * after the other. Groups that fit different types are in different pools, because a group can't
 * use processors that become free on machines that its tasks don't fit.
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
  /** Slots that the group would need if it shared none with others, including its running tasks. */
  readonly slots: Record<DemandTier, number>;
  /** Tasks whose objectives allow less time than the fastest boot takes. */
  tasksDueBeforeBoot: number;
  /** Whether more than half of the tasks are due before a machine could boot. */
  urgent: boolean;
}

/** One job's tasks that are added to its group: counts of waiting and open ones, and run time. */
interface JobWork {
  readonly waiting: number;
  readonly open: number;
  readonly expectedRunS: number;
}

const groupKeys = new WeakMap<JobSpec, string>();

/** The key of a job's group. It begins with the job class, which the log event shows. */
const groupKey = (spec: JobSpec): string => {
  const cached = groupKeys.get(spec);
  if (cached !== undefined) return cached;
  const { resources, machineTypes, zone, spotAllowed, jobClass } = spec;
  const shape = [jobClass, resources.cpus, resources.gpus, resources.ramGb];
  const key = [...shape, machineTypes?.join() ?? "*", zone ?? "*", spotAllowed].join("|");
  groupKeys.set(spec, key);
  return key;
};

/** Adds up the demand of jobs by group. */
export class DemandTotals {
  readonly #groups = new Map<string, GroupTotals>();
  readonly #pools = new Map<string, MachineTypePool>();
  /** Processors of each team's limit that the jobs added so far have not used up. */
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
    const expectedRunS = source.expectedRunS(job);
    const targets = targetsOf(spec, source.objectives, source.withinGuarantee.has(id));
    group.openAttempts += open.length;
    group.waitingTasks += waiting;
    if (waiting > 0)
      group.waitingTasksByShard.set(shard, (group.waitingTasksByShard.get(shard) ?? 0) + waiting);
    // Counted by task, so that a single job with a long run time doesn't make its group urgent.
    if (maxTimeInSystemS(targets, expectedRunS, source.desiredSlackFraction) < source.fastestBootS)
      group.tasksDueBeforeBoot += waiting + open.length;
    const ageS = Math.max(0, (source.now - job.acceptedAt) / 1000);
    const work = { waiting, open: open.length, expectedRunS };
    addWork(
      group,
      work,
      "desired",
      workWindowS(targets, ageS, expectedRunS, source.desiredSlackFraction),
    );
    addWork(
      group,
      work,
      "required",
      workWindowS(targets, ageS, expectedRunS, source.requiredSlackFraction),
    );
  }

  /**
   * Returns the groups by key after all jobs have been added. It decides which groups are urgent
   * and adds up the processors of each pool.
   */
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

  /**
   * The number of a job's waiting tasks that its team's limit still allows. Subtracts them and the
   * job's open attempts from what is left of the limit.
   */
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

/**
 * Adds a job's remaining work, and the slots that finish it within the window. Running tasks are
 * counted as half done, which they are on average.
 */
const addWork = (
  group: GroupTotals,
  { waiting, open, expectedRunS }: JobWork,
  tier: DemandTier,
  windowS: number,
): void => {
  group.slots[tier] +=
    waiting * Math.min(1, expectedRunS / windowS) + open * Math.min(1, expectedRunS / 2 / windowS);
  group.pool.dueWork[tier].push({
    // More processors can't finish a task in less than its run time.
    windowS: Math.max(windowS, expectedRunS, MIN_WINDOW_S),
    cpuSeconds:
      (waiting + open / 2) * expectedRunS * Math.max(group.resources.cpus, MIN_CPUS_PER_TASK),
  });
};

/**
 * The slots that the groups of a pool need together, as a fraction (0 to 1) of the sum of what each
 * would need separately. Computed from the demand bound, which assumes perfectly divisible work,
 * times `capacityFactor`, which accounts for the difference to real tasks.
 */
export const sharedFraction = (
  pool: MachineTypePool,
  tier: DemandTier,
  capacityFactor: number,
): number => {
  const separate = pool.separateCpus[tier];
  return separate > 0
    ? Math.min(1, (capacityFactor * demandBound(pool.dueWork[tier])) / separate)
    : 1;
};
