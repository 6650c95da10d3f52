import type { JobId, ShardId, TeamName, WallClockMs } from "@umberfold/ids";
import type { Objective, Team } from "../config/settings.js";
import type { MachineType } from "../protocol/cloud.js";
import { type JobSpec, priorityOrder, type Resources } from "../protocol/jobs.js";
import { type LiveJob, waitingTaskCount } from "../storage/records.js";
import { type DemandGroup, smoothToward } from "./fleet-plan.js";
import { patienceS, targetsOf, windowS } from "./objectives.js";
import { fits } from "./resources.js";

/** Guards against division by nothing for tasks that take no processors or no time. */
const LEAST_CPUS = 0.1;
const LEAST_WINDOW_S = 1;

export interface DemandInput {
  readonly jobs: Iterable<readonly [JobId, LiveJob]>;
  readonly shardOf: (id: JobId) => ShardId | undefined;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<JobId>;
  readonly objectives: readonly Objective[];
  readonly runS: (job: LiveJob) => number;
  readonly types: readonly MachineType[];
  /** The fastest boot on offer: what must start sooner needs room that is there already. */
  readonly bootS: number;
  readonly headroom: number;
  /** The part of its spare time that a class should wait at most, and may wait if room is dear. */
  readonly patience: number;
  readonly lastPatience: number;
  readonly riseS: number;
  readonly fallS: number;
  /** What machines need beyond the bound, which takes work for perfectly divisible. */
  readonly margin: number;
  readonly dtS: number;
  readonly now: WallClockMs;
  /** Level kept from the last look, by group. */
  readonly levels: ReadonlyMap<string, number>;
}

/**
 * Groups whose tasks fit the same machine types, and so use the same processors in turn. Work that
 * only some types can take gains nothing from the ends of work on the others. In processors.
 */
interface SharedTypes {
  readonly due: { readonly wanted: DueWork[]; readonly needed: DueWork[] };
  readonly alone: { wanted: number; needed: number };
}

const newSharedTypes = (): SharedTypes => ({
  due: { wanted: [], needed: [] },
  alone: { wanted: 0, needed: 0 },
});

interface Sum {
  readonly needs: Resources;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spotAllowed: boolean;
  readonly rank: number;
  readonly sharing: SharedTypes;
  open: number;
  readonly waiting: Map<ShardId, number>;
  waits: number;
  /** Slots that would see its work through in good time, and only just. */
  wanted: number;
  needed: number;
  /** Tasks whose objectives leave less than a boot's time. */
  hasty: number;
  urgent: boolean;
}

/** Work that is to be done within a window. */
export interface DueWork {
  readonly windowS: number;
  /** Processor seconds. */
  readonly work: number;
}

/**
 * Processors that can do all work in its window, the most pressing first: over every window, the
 * work due in it by its length (the processor demand of earliest deadline first). Less than the
 * sum of what each job would want alone, for the same processors serve one after the other.
 */
export const demandBound = (due: readonly DueWork[]): number => {
  let work = 0;
  let most = 0;
  for (const d of [...due].sort((a, b) => a.windowS - b.windowS)) {
    work += d.work;
    most = Math.max(most, work / d.windowS);
  }
  return most;
};

const groupKeys = new WeakMap<JobSpec, string>();

/** Tasks with the same key are alike for renting. The class comes first, for the log. */
const groupKey = (spec: JobSpec): string => {
  const known = groupKeys.get(spec);
  if (known !== undefined) return known;
  const { resources, machineTypes, zone, spotAllowed, jobClass } = spec;
  const shape = [jobClass, resources.cpus, resources.gpus, resources.ramGb];
  const key = [...shape, machineTypes?.join() ?? "*", zone ?? "*", spotAllowed].join("|");
  groupKeys.set(spec, key);
  return key;
};

type Tier = "wanted" | "needed";
const TIERS: readonly Tier[] = ["wanted", "needed"];
const LIMIT_TOLERANCE = 1e-9;

export interface Demand {
  readonly groups: readonly DemandGroup[];
  readonly levels: ReadonlyMap<string, number>;
}

/** Adds up what jobs want, by group. */
class DemandSums {
  readonly #groups = new Map<string, Sum>();
  readonly #byTypes = new Map<string, SharedTypes>();
  /** Processors that each team may still use. */
  readonly #teamRoom = new Map<TeamName, number>();

  constructor(private readonly input: DemandInput) {}

  add(id: JobId, job: LiveJob): void {
    const { input } = this;
    const { spec, open } = job;
    const shard = input.shardOf(id);
    if (shard === undefined) return;
    const sum = this.#group(spec);
    const waiting = this.#waitingWithin(job);
    const runS = input.runS(job);
    const targets = targetsOf(spec, input.objectives, input.withinGuarantee.has(id));
    sum.open += open.length;
    sum.waits += waiting;
    if (waiting > 0) sum.waiting.set(shard, (sum.waiting.get(shard) ?? 0) + waiting);
    // One long job must not make its whole class urgent.
    if (patienceS(targets, runS, input.patience) < input.bootS) sum.hasty += waiting + open.length;
    const ageS = Math.max(0, (input.now - job.acceptedAt) / 1000);
    const work = { waiting, open: open.length, runS };
    this.#addWork(sum, work, "wanted", windowS(targets, ageS, runS, input.patience));
    this.#addWork(sum, work, "needed", windowS(targets, ageS, runS, input.lastPatience));
  }

  #group(spec: JobSpec): Sum {
    const key = groupKey(spec);
    const known = this.#groups.get(key);
    if (known !== undefined) return known;
    const { resources, machineTypes, zone, spotAllowed, priority } = spec;
    const sum: Sum = {
      needs: resources,
      types: machineTypes,
      zone,
      spotAllowed,
      rank: priorityOrder(priority),
      sharing: this.#sharing(spec),
      open: 0,
      waits: 0,
      waiting: new Map(),
      wanted: 0,
      needed: 0,
      hasty: 0,
      urgent: false,
    };
    this.#groups.set(key, sum);
    return sum;
  }

  #sharing({ resources, machineTypes }: JobSpec): SharedTypes {
    const fitting = this.input.types.filter(
      (t) =>
        fits(resources, t.capacity) && (machineTypes === null || machineTypes.includes(t.name)),
    );
    const key = fitting.map((t) => t.name).join("|");
    const sharing = this.#byTypes.get(key) ?? newSharedTypes();
    this.#byTypes.set(key, sharing);
    return sharing;
  }

  /** Waiting tasks of a job for which its team's limit leaves room. */
  #waitingWithin(job: LiveJob): number {
    const { team, resources, taskCount } = job.spec;
    const room = this.#teamRoom.get(team) ?? this.input.teams.get(team)?.cpusMax ?? 0;
    const most =
      resources.cpus > 0 ? Math.floor((room + LIMIT_TOLERANCE) / resources.cpus) : taskCount;
    const waiting = Math.max(0, Math.min(waitingTaskCount(job), most - job.open.length));
    this.#teamRoom.set(team, room - (waiting + job.open.length) * resources.cpus);
    return waiting;
  }

  /** Work left, over the time there is for it. The running are half done on the whole. */
  #addWork(
    sum: Sum,
    work: { readonly waiting: number; readonly open: number; readonly runS: number },
    tier: Tier,
    window: number,
  ): void {
    const { waiting, open, runS } = work;
    sum[tier] += waiting * Math.min(1, runS / window) + open * Math.min(1, runS / 2 / window);
    sum.sharing.due[tier].push({
      // Nothing is done sooner than it runs.
      windowS: Math.max(window, runS, LEAST_WINDOW_S),
      work: (waiting + open / 2) * runS * Math.max(sum.needs.cpus, LEAST_CPUS),
    });
  }

  /** The groups, urgent or not, once all jobs are in. */
  finish(): ReadonlyMap<string, Sum> {
    for (const sum of this.#groups.values()) {
      sum.urgent = 2 * sum.hasty > sum.open + sum.waits;
      const cpus = Math.max(sum.needs.cpus, LEAST_CPUS);
      for (const tier of TIERS) {
        if (sum.urgent) sum[tier] = sum.open + sum.waits;
        sum.sharing.alone[tier] += sum[tier] * cpus;
      }
    }
    return this.#groups;
  }
}

/** What part of the slots wanted by each group alone the demand bound of all together comes to. */
const partOfAlone = (sharing: SharedTypes, tier: Tier, margin: number): number => {
  const alone = sharing.alone[tier];
  return alone > 0 ? Math.min(1, (margin * demandBound(sharing.due[tier])) / alone) : 1;
};

/**
 * Slots wanted by group. A class whose objectives leave less time than a machine takes to boot
 * wants room for all that is in the system, and some more; one with time to spare wants enough
 * for its backlog to drain within a part of that time. Both are smoothed: a burst that is over
 * before a machine has booted is no reason to rent one.
 */
export const computeDemand = (input: DemandInput): Demand => {
  const sums = new DemandSums(input);
  for (const [id, job] of input.jobs) sums.add(id, job);
  const levels = new Map<string, number>();
  const smoothed = (key: string, sum: Sum, tier: Tier): number => {
    const name = `${key}|${tier}`;
    const level = sum[tier] * partOfAlone(sum.sharing, tier, input.margin);
    const before = input.levels.get(name) ?? level;
    const seen = smoothToward(before, level, input.dtS, input.riseS, input.fallS);
    levels.set(name, seen);
    return seen;
  };
  const groups = [...sums.finish()].map(([key, sum]): DemandGroup => {
    const { needs, types, zone, spotAllowed, rank, urgent, waiting, open } = sum;
    const beside = (slots: number): number => Math.max(0, Math.ceil(slots) - open);
    const needed = smoothed(key, sum, "needed");
    const wanted = smoothed(key, sum, "wanted");
    return {
      resources: needs,
      machineTypes: types,
      zone,
      spotAllowed,
      priority: rank,
      urgent,
      waiting,
      requiredSlots: beside(needed),
      desiredSlots: beside(urgent ? wanted * (1 + input.headroom) : Math.max(wanted, needed)),
    };
  });
  return { groups: groups.sort((a, b) => a.priority - b.priority), levels };
};
