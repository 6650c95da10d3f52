import { Controllers } from "./controllers.js";
import { History, type Waits } from "./history.js";
import { RealClock } from "./real-clock.js";
import { MACHINE_CPUS, StandIns } from "./stand-ins.js";
import { Users } from "./users.js";

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
  /** The owner of the busy team's home shard ends so long after the burst began; 0: it doesn't. */
  readonly endOwnerAfterS: number;
  readonly loadSpread: Readonly<Record<string, unknown>>;
  /** What each team is guaranteed, and its limit, in processors. */
  readonly guarantee: number;
  readonly limit: number;
}

export interface ClusterResult {
  readonly options: ClusterOptions;
  readonly machineCpus: number;
  readonly jobs: number;
  readonly done: number;
  readonly broken: readonly string[];
  readonly starts: number;
  readonly imagesAtHand: number;
  readonly busyTeam: string;
  readonly busyStarts: number;
  readonly mostWorkers: number;
  /** Milliseconds from submission to first start, by team. */
  readonly quiet: Readonly<Record<string, Waits>>;
  readonly burst: Readonly<Record<string, Waits>>;
  readonly cpuMs: Readonly<Record<string, unknown>>;
  readonly loadSpreadStats: Readonly<Record<string, unknown>>;
  readonly events: readonly Record<string, unknown>[];
}

const BUSY = "t0";
const LEASE_S = 20;
const TASK_CPUS = 4;
const MOST_TASKS = 4;
const RUN_MS = [2000, 5000] as const;
const EXPECT_S = 3.5;
const FIRST_ARRIVAL_MS = 4000;
const BACK_MS = 5000;
const LOOK_MS = 250;

/** One run: a quiet spell, a burst of one team, and the time to see everything through. */
export const runCluster = async (options: ClusterOptions): Promise<ClusterResult> => {
  const clock = new RealClock(options.seed);
  const startedAt = clock.now;
  const now = (): number => clock.now - startedAt;
  const history = new History(now, () => options.limit);
  const teams = Array.from({ length: options.teams }, (_, i) => ({
    name: `t${i}`,
    cpus: options.guarantee,
    cpusMax: options.limit,
  }));
  const controllers = new Controllers(
    {
      count: options.controllers,
      teams,
      leaseS: LEASE_S,
      packages: { load_spread: options.loadSpread },
    },
    history,
  );
  await controllers.reserve();
  const { fronts } = controllers;
  const users = new Users(clock, history, startedAt, {
    fronts,
    cpus: TASK_CPUS,
    mostTasks: MOST_TASKS,
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

  const quietFrom = options.warmUpS * 1000;
  const burstFrom = quietFrom + options.quietS * 1000;
  const burstUntil = burstFrom + options.burstS * 1000;
  const arrivals = teams.map(({ name }) =>
    users.arrive({
      team: name,
      jobsPerSecond: options.jobsPerSecond,
      fromMs: FIRST_ARRIVAL_MS,
      untilMs: burstUntil,
    }),
  );
  if (options.burstFactor > 1)
    arrivals.push(
      users.arrive({
        team: BUSY,
        jobsPerSecond: options.jobsPerSecond * (options.burstFactor - 1),
        fromMs: burstFrom,
        untilMs: burstUntil,
      }),
    );
  if (options.endOwnerAfterS > 0)
    clock.after(burstFrom + options.endOwnerAfterS * 1000 - now(), () => {
      const label = ownerOfHome(standIns);
      controllers.end(label);
      clock.after(BACK_MS, () => controllers.spawn(label));
    });
  let mostWorkers = 0;
  const until = burstUntil + options.restS * 1000;
  const unfinished = (): boolean => [...history.jobs.values()].some((j) => j.doneAt === undefined);
  while (now() < until && (now() < burstUntil || unfinished())) {
    mostWorkers = Math.max(mostWorkers, standIns.workers.size);
    await clock.sleep(LOOK_MS);
  }
  await Promise.all(arrivals);
  const result: ClusterResult = {
    options,
    machineCpus: MACHINE_CPUS,
    jobs: history.jobs.size,
    done: [...history.jobs.values()].filter((j) => j.doneAt !== undefined).length,
    broken: history.broken,
    starts: history.starts,
    imagesAtHand: history.imagesAtHand,
    busyTeam: BUSY,
    busyStarts: history.startsOf(BUSY),
    mostWorkers,
    quiet: history.waits(quietFrom, burstFrom),
    burst: history.waits(burstFrom, burstUntil),
    cpuMs: Object.fromEntries([...controllers.stats].map(([label, s]) => [label, s.cpuMs])),
    loadSpreadStats: Object.fromEntries(
      [...controllers.stats].map(([label, s]) => [label, s.loadSpread ?? null]),
    ),
    events: history.events,
  };
  users.stop();
  await controllers.stop();
  standIns.stop();
  return result;
};

/** Whom the records name as the owner of the busy team's home shard. */
const ownerOfHome = ({ state }: StandIns): string => {
  const homes = state.keys.get("now/teams")?.v as Readonly<Record<string, number>> | undefined;
  const owner = state.keys.get(`now/share/${homes?.[BUSY]}`)?.v as { readonly l?: string };
  return owner?.l ?? "";
};
