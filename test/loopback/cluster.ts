/**
 * One run of the loopback cluster. The controllers are real processes; the stand-ins for external
 * services and the users run in this process. A run has a warm-up, a period of steady load, a burst
 * of one team, and time in which the remaining jobs complete.
 */
import { Controllers } from "./controllers.js";
import { History, type WaitingTimes } from "./history.js";
import { RealClock } from "./real-clock.js";
import { MACHINE_CPUS, StandIns } from "./stand-ins.js";
import { Users } from "./users.js";

/** The settings of a run. */
export interface ClusterOptions {
  readonly seed: number;
  readonly controllers: number;
  readonly workers: number;
  readonly teams: number;
  /** Jobs per second of each team under steady load. */
  readonly jobsPerSecond: number;
  /** Factor by which the busy team submits more jobs during the burst. */
  readonly burstFactor: number;
  /** Time for membership to form and the first machines to boot; nothing is measured in it. */
  readonly warmUpS: number;
  /** Duration of the steady load that is measured before the burst. */
  readonly quietS: number;
  readonly burstS: number;
  /** The most time after the burst for the remaining jobs to complete. */
  readonly restS: number;
  /**
   * Delay from the start of the burst until the owner of the busy team's home shard is killed. 0:
   * never.
   */
  readonly endOwnerAfterS: number;
  /** The `load_spread` block of the packages file. */
  readonly loadSpread: Readonly<Record<string, unknown>>;
  /** Guaranteed processors of each team. */
  readonly guarantee: number;
  /** Processor limit of each team. */
  readonly limit: number;
}

/** The result of a run; `main.ts` writes it as JSON. */
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
  /** Waiting times of jobs submitted in the steady period and in the burst, by team. */
  readonly quiet: Readonly<Record<string, WaitingTimes>>;
  readonly burst: Readonly<Record<string, WaitingTimes>>;
  readonly cpuMs: Readonly<Record<string, unknown>>;
  readonly loadSpreadStats: Readonly<Record<string, unknown>>;
  readonly events: readonly Record<string, unknown>[];
}

const BUSY_TEAM = "t0";
const LEASE_S = 20;
const TASK_CPUS = 4;
const MAX_TASKS = 4;
/** Shortest and longest run time of a task. */
const RUN_TIME_RANGE_MS = [2000, 5000] as const;
/** The run time that users declare: the mean of the range above. */
const EXPECTED_RUN_S = 3.5;
const FIRST_SUBMISSION_MS = 4000;
const OWNER_RESTART_DELAY_MS = 5000;
const COMPLETION_CHECK_INTERVAL_MS = 250;

/** Start and end times of the periods of a run, in milliseconds since the run began. */
interface Timetable {
  readonly quietFromMs: number;
  readonly burstFromMs: number;
  readonly burstUntilMs: number;
  readonly untilMs: number;
}

/** The components of one run. */
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
  await controllers.reservePorts();
  const { frontAddresses } = controllers;
  const users = new Users(clock, history, startedAt, {
    controllerAddresses: frontAddresses,
    cpusPerTask: TASK_CPUS,
    maxTasks: MAX_TASKS,
    expectedRunS: EXPECTED_RUN_S,
  });
  const standIns = new StandIns(
    clock,
    history,
    {
      workers: options.workers,
      leaseMs: LEASE_S * 1000,
      runTimeRangeMs: RUN_TIME_RANGE_MS,
      controllerAddresses: frontAddresses,
    },
    (task) => users.imageOf(task),
  );
  await standIns.start();
  controllers.start(standIns.stateStoreAddress, standIns.cloudAddress);
  const timetable = timetableOf(options);
  const teamNames = teams.map(({ name }) => name);
  return { options, timetable, clock, now, history, teamNames, controllers, users, standIns };
};

/** Starts the submissions of all teams; each promise resolves when its period is over. */
const startSubmissions = ({ options, timetable, teamNames, users }: Cluster): Promise<void>[] => {
  const { jobsPerSecond, burstFactor } = options;
  const { burstFromMs, burstUntilMs: untilMs } = timetable;
  const submissions = teamNames.map((team) =>
    users.submitJobs({ team, jobsPerSecond, fromMs: FIRST_SUBMISSION_MS, untilMs }),
  );
  if (burstFactor > 1)
    submissions.push(
      users.submitJobs({
        team: BUSY_TEAM,
        jobsPerSecond: jobsPerSecond * (burstFactor - 1),
        fromMs: burstFromMs,
        untilMs,
      }),
    );
  return submissions;
};

/** Schedules the crash of the owner of the busy team's home shard in the burst, and its restart. */
const scheduleOwnerCrash = ({ options, timetable, clock, now, controllers, standIns }: Cluster) => {
  if (options.endOwnerAfterS <= 0) return;
  const crashAtMs = timetable.burstFromMs + options.endOwnerAfterS * 1000;
  clock.after(crashAtMs - now(), () => {
    const label = ownerOfBusyHomeShard(standIns);
    controllers.kill(label);
    clock.after(OWNER_RESTART_DELAY_MS, () => controllers.startProcess(label));
  });
};

/** Waits until all jobs are done or the run's time is over; returns the most workers up at once. */
const waitForCompletion = async ({ timetable, clock, now, history, standIns }: Cluster) => {
  const { burstUntilMs, untilMs } = timetable;
  const isUnfinished = (): boolean =>
    [...history.jobs.values()].some(({ doneAt }) => doneAt === undefined);
  let maxWorkers = 0;
  while (now() < untilMs && (now() < burstUntilMs || isUnfinished())) {
    maxWorkers = Math.max(maxWorkers, standIns.workers.size);
    await clock.sleep(COMPLETION_CHECK_INTERVAL_MS);
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
    imagesAtHand: history.cachedImageStarts,
    busyTeam: BUSY_TEAM,
    busyStarts: history.startsOf(BUSY_TEAM),
    maxWorkers,
    quiet: history.waitingTimes(timetable.quietFromMs, timetable.burstFromMs),
    burst: history.waitingTimes(timetable.burstFromMs, timetable.burstUntilMs),
    cpuMs: Object.fromEntries(stats.map(([label, logged]) => [label, logged.cpuMs])),
    loadSpreadStats: Object.fromEntries(
      stats.map(([label, logged]) => [label, logged.loadSpread ?? null]),
    ),
    events: history.events,
  };
};

/** Executes one run and stops all processes and servers that it started. */
export const runCluster = async (options: ClusterOptions): Promise<ClusterResult> => {
  const cluster = await startCluster(options);
  const submissions = startSubmissions(cluster);
  scheduleOwnerCrash(cluster);
  const maxWorkers = await waitForCompletion(cluster);
  await Promise.all(submissions);
  const result = resultOf(cluster, maxWorkers);
  cluster.users.stop();
  await cluster.controllers.stop();
  cluster.standIns.stop();
  return result;
};

/** Label of the owner of the busy team's home shard, from the stored records; empty if none. */
const ownerOfBusyHomeShard = ({ stateStore }: StandIns): string => {
  const homes = stateStore.keys.get("now/teams")?.v as Readonly<Record<string, number>> | undefined;
  const owner = stateStore.keys.get(`now/share/${homes?.[BUSY_TEAM]}`)?.v as {
    readonly l?: string;
  };
  return owner?.l ?? "";
};
