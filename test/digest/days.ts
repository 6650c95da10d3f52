/**
 * The simulated days whose calls are compared with the committed digest; together they bring every
 * kind of fault. A day's name is its key in expected.txt: rename none.
 */
import { type Burst, scheduleBurst } from "../sim/burst.js";
import { type FaultScenario, NO_FAULTS, type SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/** One day: everything that its calls follow from. */
export interface DigestDay {
  readonly name: string;
  readonly seed: number;
  readonly jobs: number;
  readonly scale?: SimulationScale;
  readonly faults?: Partial<FaultScenario>;
  /** Masses of jobs of one team, beside the day's own. */
  readonly bursts?: readonly Burst[];
}

const JOBS = 25;
const OUTAGE_JOBS = 14;
const OUTAGE_SCALE: SimulationScale = { controllers: 3, machines: 40, quotaCpus: 160, maxTasks: 6 };
const FLOOD_SCALE: SimulationScale = { controllers: 3, machines: 20, quotaCpus: 48, maxTasks: 8 };
const SPREAD_SCALE: SimulationScale = { controllers: 3, machines: 16, quotaCpus: 24, maxTasks: 4 };
const LARGE_SCALE: SimulationScale = {
  controllers: 5,
  machines: 200,
  quotaCpus: 2000,
  maxTasks: 120,
};
const QUESTION_FLOOD = 20;
const FIRST_BURST_ID = 500;
const BURST_IDS = 2000;

const SPREAD: Partial<FaultScenario> = {
  loadSpread: {
    maxSpan: 3,
    minTasks: 20,
    growAfterS: 1,
    shrinkAfterS: 10,
    imbalance: 1.2,
    periodMs: 500,
    // The solver's bound is of real time, which must not decide what a simulated day does.
    solverMs: 10_000,
  },
};
const MANY_JOBS: Burst = { team: "t0", atMs: 30_000, jobs: 100, tasks: 1 };
const ONE_ARRAY: Burst = { team: "t0", atMs: 30_000, jobs: 1, tasks: 150 };

/** Days of one kind: their common size, and the name, seed and faults of each. */
const daysOf = (
  common: Pick<DigestDay, "jobs" | "scale">,
  rows: readonly (readonly [string, number, Partial<FaultScenario>])[],
): readonly DigestDay[] => rows.map(([name, seed, faults]) => ({ ...common, name, seed, faults }));

const singleFaults = daysOf({ jobs: JOBS }, [
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

const outagesAfterRefusal = daysOf({ jobs: OUTAGE_JOBS, scale: OUTAGE_SCALE }, [
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

const meetings = daysOf({ jobs: JOBS }, [
  ["late-writes-muted", 1061, { lateWrites: true, mutedMachines: true }],
  ["cancel-now-at-end", 1062, { cancelAtOnce: true, cancelAtEnd: true }],
  ["odd-requests-crashes", 1063, { oddRequests: true, crashes: true }],
  ["ten-leaders", 1064, { leaderCrashes: true }],
  ["all-away-zone-cut", 1065, { allControllersAway: true, zoneCut: true }],
  ["zone-bound-slow-links", 1066, { zoneBound: true, slowLinks: true, spotWave: true }],
  ["fail-first", 1067, { failures: "first" }],
]);

const floods = daysOf({ jobs: JOBS, scale: FLOOD_SCALE }, [
  ["question-flood", 1101, { questionFlood: QUESTION_FLOOD }],
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
  jobs: 12,
  scale: SPREAD_SCALE,
  faults: { ...SPREAD, ...day.faults },
}));

const large: DigestDay = { name: "large", seed: 1021, jobs: 28, scale: LARGE_SCALE };

/** All days, the longest first, so that none is left to run alone at the end. */
export const DIGEST_DAYS: readonly DigestDay[] = [
  large,
  ...spread,
  ...floods,
  ...outagesAfterRefusal,
  ...singleFaults,
  ...meetings,
];

/** The simulation of a day, before it begins. */
export const simulationOf = (day: DigestDay): Simulation => {
  const simulation = new Simulation(day.seed, { ...NO_FAULTS, ...day.faults }, day.scale);
  for (const [i, burst] of (day.bursts ?? []).entries())
    scheduleBurst(simulation, burst, FIRST_BURST_ID + i * BURST_IDS);
  return simulation;
};
