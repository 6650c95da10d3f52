/**
 * One run of the loopback cluster: real controllers as processes, stand-ins and users in this one,
 * a quiet spell, a burst of one team, and the time to see everything through.
 */
import { Controllers } from "./controllers.js";
import { History, type Waits } from "./history.js";
import { RealClock } from "./real-clock.js";
import { MACHINE_CPUS, StandIns } from "./stand-ins.js";
import { Users } from "./users.js";

/** What a run is asked to do. */
export interface ClusterOptions {
  readonly seed: number;
  readonly controllers: number;
  readonly workers: number;
  readonly teams: number;
  /** Jobs a second of each team on a quiet night, and how many times as many the busy one sends. */
  readonly jobsPerSecond: number;
  readonly burstFactor: number;
  /** Controllers find each other, and the first machines come up, before anything is measured. */
  readonly warmUpS: number;
  /** Quiet so long; then the burst so long; then so long for what is left. */
  readonly quietS: number;
  readonly burstS: number;
  readonly restS: number;
  /** The owner of the busy team's home shard is killed so long after the burst began; 0: it isn't. */
  readonly endOwnerAfterS: number;
  readonly loadSpread: Readonly<Record<string, unknown>>;
  /** What each team is guaranteed, and its limit, in processors. */
  readonly guarantee: number;
  readonly limit: number;
}

/** What a run measured. */
export interface ClusterResult {
  readonly options: ClusterOptions;
  readonly machineCpus: number;
  readonly jobs: number;
  readonly done: number;
  readonly violations: readonly string[];
  readonly starts: number;
  readonly imagesAtHand: number;
  readonly busyTeam: string;
  readonly busyStarts: number;
  readonly maxWorkers: number;
  /** Milliseconds from submission to first start, by team. */
  readonly quiet: Readonly<Record<string, Waits>>;
  readonly burst: Readonly<Record<string, Waits>>;
  readonly cpuMs: Readonly<Record<string, unknown>>;
  readonly loadSpreadStats: Readonly<Record<string, unknown>>;
  readonly events: readonly Record<string, unknown>[];
}

const BUSY_TEAM = "t0";
const LEASE_S = 20;
const TASK_CPUS = 4;
const MAX_TASKS = 4;
const RUN_MS = [2000, 5000] as const;
const EXPECT_S = 3.5;
const FIRST_ARRIVAL_MS = 4000;
const BACK_MS = 5000;
const LOOK_MS = 250;

/** When the spells of a run begin and end, in milliseconds of the run. */
interface Timetable {
  readonly quietFromMs: number;
  readonly burstFromMs: number;
  readonly burstUntilMs: number;
  readonly untilMs: number;
}

/** The parts of one run. */
interface Cluster {
  readonly options: ClusterOptions;
  readonly timetable: Timetable;
  readonly clock: RealClock;
  /** Milliseconds since the run began. */
  readonly now: () => number;
  readonly history: History;
  readonly teamNames: readonly string[];
  readonly controllers: Controllers;
  readonly users: Users;
  readonly standIns: StandIns;
}

const timetableOf = ({ warmUpS, quietS, burstS, restS }: ClusterOptions): Timetable => {
  const quietFromMs = warmUpS * 1000;
  const burstFromMs = quietFromMs + quietS * 1000;
  const burstUntilMs = burstFromMs + burstS * 1000;
  return { quietFromMs, burstFromMs, burstUntilMs, untilMs: burstUntilMs + restS * 1000 };
};

const startCluster = async (options: ClusterOptions): Promise<Cluster> => {
  const clock = new RealClock(options.seed);
  const startedAt = clock.now;
  const now = (): number => clock.now - startedAt;
  const history = new History(now, () => options.limit);
  const teams = Array.from({ length: options.teams }, (_, i) => ({
    name: `t${i}`,
    cpus: options.guarantee,
    cpusMax: options.limit,
  }));
  const packages = { load_spread: options.loadSpread };
  const controllers = new Controllers(
    { count: options.controllers, teams, leaseS: LEASE_S, packages },
    history,
  );
  await controllers.reserve();
  const { fronts } = controllers;
  const users = new Users(clock, history, startedAt, {
    fronts,
    cpus: TASK_CPUS,
    maxTasks: MAX_TASKS,
    expectS: EXPECT_S,
  });
  const standIns = new StandIns(
    clock,
    history,
    { workers: options.workers, leaseMs: LEASE_S * 1000, runMs: RUN_MS, controllers: fronts },
    (task) => users.imageOf(task),
  );
  await standIns.start();
  controllers.start(standIns.stateAddress, standIns.cloudAddress);
  const timetable = timetableOf(options);
  const teamNames = teams.map(({ name }) => name);
  return { options, timetable, clock, now, history, teamNames, controllers, users, standIns };
};

/** Starts all arrivals; each promise resolves when its spell is over. */
const beginArrivals = ({ options, timetable, teamNames, users }: Cluster): Promise<void>[] => {
  const { jobsPerSecond, burstFactor } = options;
  const { burstFromMs, burstUntilMs: untilMs } = timetable;
  const arrivals = teamNames.map((team) =>
    users.arrive({ team, jobsPerSecond, fromMs: FIRST_ARRIVAL_MS, untilMs }),
  );
  if (burstFactor > 1)
    arrivals.push(
      users.arrive({
        team: BUSY_TEAM,
        jobsPerSecond: jobsPerSecond * (burstFactor - 1),
        fromMs: burstFromMs,
        untilMs,
      }),
    );
  return arrivals;
};

/** Kills the owner of the busy team's home shard in the burst, and starts it again. */
const scheduleOwnerEnd = ({ options, timetable, clock, now, controllers, standIns }: Cluster) => {
  if (options.endOwnerAfterS <= 0) return;
  const endAtMs = timetable.burstFromMs + options.endOwnerAfterS * 1000;
  clock.after(endAtMs - now(), () => {
    const label = ownerOfHome(standIns);
    controllers.end(label);
    clock.after(BACK_MS, () => controllers.spawn(label));
  });
};

/** Waits until all jobs are done or the time is over; returns the most workers seen at once. */
const seeThrough = async ({ timetable, clock, now, history, standIns }: Cluster) => {
  const { burstUntilMs, untilMs } = timetable;
  const isUnfinished = (): boolean =>
    [...history.jobs.values()].some(({ doneAt }) => doneAt === undefined);
  let maxWorkers = 0;
  while (now() < untilMs && (now() < burstUntilMs || isUnfinished())) {
    maxWorkers = Math.max(maxWorkers, standIns.workers.size);
    await clock.sleep(LOOK_MS);
  }
  return maxWorkers;
};

const resultOf = (cluster: Cluster, maxWorkers: number): ClusterResult => {
  const { options, timetable, history, controllers } = cluster;
  const stats = [...controllers.stats];
  return {
    options,
    machineCpus: MACHINE_CPUS,
    jobs: history.jobs.size,
    done: [...history.jobs.values()].filter(({ doneAt }) => doneAt !== undefined).length,
    violations: history.violations,
    starts: history.starts,
    imagesAtHand: history.imagesAtHand,
    busyTeam: BUSY_TEAM,
    busyStarts: history.startsOf(BUSY_TEAM),
    maxWorkers,
    quiet: history.waits(timetable.quietFromMs, timetable.burstFromMs),
    burst: history.waits(timetable.burstFromMs, timetable.burstUntilMs),
    cpuMs: Object.fromEntries(stats.map(([label, logged]) => [label, logged.cpuMs])),
    loadSpreadStats: Object.fromEntries(
      stats.map(([label, logged]) => [label, logged.loadSpread ?? null]),
    ),
    events: history.events,
  };
};

/** Plays one run and ends all that it started. */
export const runCluster = async (options: ClusterOptions): Promise<ClusterResult> => {
  const cluster = await startCluster(options);
  const arrivals = beginArrivals(cluster);
  scheduleOwnerEnd(cluster);
  const maxWorkers = await seeThrough(cluster);
  await Promise.all(arrivals);
  const result = resultOf(cluster, maxWorkers);
  cluster.users.stop();
  await cluster.controllers.stop();
  cluster.standIns.stop();
  return result;
};

/** Whom the records name as the owner of the busy team's home shard. */
const ownerOfHome = ({ state }: StandIns): string => {
  const homes = state.keys.get("now/teams")?.v as Readonly<Record<string, number>> | undefined;
  const owner = state.keys.get(`now/share/${homes?.[BUSY_TEAM]}`)?.v as { readonly l?: string };
  return owner?.l ?? "";
};
