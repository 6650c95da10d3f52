/**
 * The simulated days whose calls are compared with the committed digest. Together they cover every
 * kind of fault. A day's name is its key in expected.txt and must not change.
 */
import { type Burst, scheduleBurst } from "../sim/burst.js";
import { type FaultScenario, NO_FAULTS, type SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/** One day: all inputs that determine its calls. */
export interface DigestDay {
  readonly name: string;
  readonly seed: number;
  readonly jobs: number;
  readonly scale?: SimulationScale;
  readonly faults?: Partial<FaultScenario>;
  /** Bursts of jobs of one team, in addition to the day's own jobs. */
  readonly bursts?: readonly Burst[];
}

const DEFAULT_JOB_COUNT = 25;
const OUTAGE_JOB_COUNT = 14;
const SPREAD_JOB_COUNT = 12;
const LARGE_JOB_COUNT = 28;
const OUTAGE_SCALE: SimulationScale = { controllers: 3, machines: 40, quotaCpus: 160, maxTasks: 6 };
const FLOOD_SCALE: SimulationScale = { controllers: 3, machines: 20, quotaCpus: 48, maxTasks: 8 };
const SPREAD_SCALE: SimulationScale = { controllers: 3, machines: 16, quotaCpus: 24, maxTasks: 4 };
const LARGE_SCALE: SimulationScale = {
  controllers: 5,
  machines: 200,
  quotaCpus: 2000,
  maxTasks: 120,
};
/** Factor by which users send more status queries than usual. */
const QUERY_RATE_FACTOR = 20;
const FIRST_BURST_ID = 500;
/** Job numbers reserved for each burst of a day. */
const IDS_PER_BURST = 2000;

const LOAD_SPREAD_ENABLED: Partial<FaultScenario> = {
  loadSpread: {
    maxSpan: 3,
    minTasks: 20,
    growAfterS: 1,
    shrinkAfterS: 10,
    imbalance: 1.2,
    periodMs: 500,
    // The solver's time limit is real time. It is set so high that it never takes effect, because a
    // simulated day must not depend on the speed of the machine.
    solverMs: 10_000,
  },
};
const MANY_JOBS: Burst = { team: "t0", atMs: 30_000, jobs: 100, tasks: 1 };
const ONE_ARRAY: Burst = { team: "t0", atMs: 30_000, jobs: 1, tasks: 150 };

/** Builds days of the same scale from the name, seed and faults of each. */
const makeDays = (
  common: Pick<DigestDay, "jobs" | "scale">,
  rows: readonly (readonly [string, number, Partial<FaultScenario>])[],
): readonly DigestDay[] => rows.map(([name, seed, faults]) => ({ ...common, name, seed, faults }));

const basicFaults = makeDays({ jobs: DEFAULT_JOB_COUNT }, [
  ["quiet", 1001, {}],
  ["lost-messages", 1002, { lost: 0.03 }],
  ["crashes-outages-deaths", 1003, { lost: 0.02, crashes: true, outages: true, deaths: true }],
  [
    "one-way-late-copies-wave",
    1004,
    { oneWayMachines: true, lateHeartbeatCopies: true, spotWave: true },
  ],
  ["cut-peers-refuse", 1005, { lost: 0.01, controllerCut: true, peersRefuse: true }],
  ["refused-elections", 1006, { controllerRefused: true, crashesAfterElections: true }],
  ["freezes-hangs-repeats", 1007, { processPauses: true, hangs: true, repeatedRequests: true }],
  ["cut-together-restarts", 1008, { allControllersCut: true, restarts: true }],
  ["without-workers", 1009, { workersUnreachable: true, deaths: true }],
]);

const outagesAfterRefusal = makeDays({ jobs: OUTAGE_JOB_COUNT, scale: OUTAGE_SCALE }, [
  ["gap", 1031, { storeOutageAfterRefusal: {} }],
  [
    "gap-question-peers-cut",
    1032,
    { storeOutageAfterRefusal: { confirmedBy: "question", peersCut: true } },
  ],
  [
    "gap-repeat-confirmers-end",
    1033,
    { storeOutageAfterRefusal: { confirmedBy: "repeat", confirmersCrash: true } },
  ],
  [
    "gap-hang-cloud-out",
    1034,
    {
      storeOutageAfterRefusal: { machineFault: "hang", cloudOutage: true, oldLeaderCrashes: true },
    },
  ],
  ["gap-deaf", 1035, { storeOutageAfterRefusal: { machineFault: "deaf" } }],
  ["muted-long", 1036, { mutedForGood: true }],
]);

const overlappingFaults = makeDays({ jobs: DEFAULT_JOB_COUNT }, [
  ["late-writes-muted", 1061, { lateWrites: true, mutedMachines: true }],
  ["cancel-now-at-end", 1062, { cancelAtOnce: true, cancelAtEnd: true }],
  ["odd-requests-crashes", 1063, { oddRequests: true, crashes: true }],
  ["ten-leaders", 1064, { leaderCrashes: true }],
  ["all-away-zone-cut", 1065, { allControllersAway: true, zoneCut: true }],
  ["zone-bound-slow-links", 1066, { zoneBound: true, slowLinks: true, spotWave: true }],
  ["fail-first", 1067, { failures: "first" }],
]);

const floods = makeDays({ jobs: DEFAULT_JOB_COUNT, scale: FLOOD_SCALE }, [
  ["question-flood", 1101, { questionFlood: QUERY_RATE_FACTOR }],
  ["guest-fail-always", 1102, { floodTeam: true, failures: "always" }],
  ["late-boots-freezes", 1103, { lateBoots: true, processPauses: true }],
]);

const spread: readonly DigestDay[] = [
  { name: "spread-many-jobs", seed: 1301, bursts: [MANY_JOBS, { ...MANY_JOBS, team: "t1" }] },
  { name: "spread-array", seed: 1302, bursts: [ONE_ARRAY] },
  {
    name: "spread-crashes-late-writes",
    seed: 1303,
    bursts: [MANY_JOBS],
    faults: { lost: 0.02, crashes: true, lateWrites: true, lateSpanWrites: 0.2 },
  },
].map((day) => ({
  ...day,
  jobs: SPREAD_JOB_COUNT,
  scale: SPREAD_SCALE,
  faults: { ...LOAD_SPREAD_ENABLED, ...day.faults },
}));

const large: DigestDay = { name: "large", seed: 1021, jobs: LARGE_JOB_COUNT, scale: LARGE_SCALE };

/** All days, the longest first, so that no long day runs alone at the end. */
export const DIGEST_DAYS: readonly DigestDay[] = [
  large,
  ...spread,
  ...floods,
  ...outagesAfterRefusal,
  ...basicFaults,
  ...overlappingFaults,
];

/** Creates the simulation of a day; the caller starts it. */
export const simulationOf = (day: DigestDay): Simulation => {
  const simulation = new Simulation(day.seed, { ...NO_FAULTS, ...day.faults }, day.scale);
  for (const [i, burst] of (day.bursts ?? []).entries())
    scheduleBurst(simulation, burst, FIRST_BURST_ID + i * IDS_PER_BURST);
  return simulation;
};
