import { type Burst, scheduleBurst } from "../sim/burst.js";
import type { FaultScenario, SimulationScale } from "../sim/faults.js";
import { Simulation } from "../sim/simulation.js";

/** The days whose calls are compared; together they bring every kind of trouble. */
export interface DigestDay {
  readonly name: string;
  readonly seed: number;
  readonly jobs: number;
  readonly scale?: SimulationScale;
  readonly trouble?: Partial<FaultScenario>;
  /** Masses of jobs of one team, beside the day's own. */
  readonly bursts?: readonly Burst[];
}

const CALM: FaultScenario = { lost: 0, crashes: false, outages: false, deaths: false };
const JOBS = 25;
const GAP_JOBS = 14;
const GAP_SCALE: SimulationScale = { nodes: 3, machines: 40, quota: 160, tasks: 6 };
const FLOOD_SCALE: SimulationScale = { nodes: 3, machines: 20, quota: 48, tasks: 8 };
const SPREAD_SCALE: SimulationScale = { nodes: 3, machines: 16, quota: 24, tasks: 4 };
const LARGE_SCALE: SimulationScale = { nodes: 5, machines: 200, quota: 2000, tasks: 120 };
const FLOOD = 20;
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

/** Days of one kind: their common size, and the name, seed and troubles of each. */
const daysOf = (
  common: Pick<DigestDay, "jobs" | "scale">,
  rows: readonly (readonly [string, number, Partial<FaultScenario>])[],
): readonly DigestDay[] =>
  rows.map(([name, seed, trouble]) => ({ ...common, name, seed, trouble }));

const faults = daysOf({ jobs: JOBS }, [
  ["quiet", 1001, {}],
  ["lost-messages", 1002, { lost: 0.03 }],
  ["crashes-outages-deaths", 1003, { lost: 0.02, crashes: true, outages: true, deaths: true }],
  ["one-way-late-copies-wave", 1004, { oneWay: true, lateCopies: true, wave: true }],
  ["cut-peers-refuse", 1005, { lost: 0.01, cut: true, peersRefuse: true }],
  ["refused-elections", 1006, { refused: true, elections: true }],
  ["freezes-hangs-repeats", 1007, { freezes: true, hangs: true, repeats: true }],
  ["cut-together-restarts", 1008, { cutTogether: true, restarts: true }],
  ["without-workers", 1009, { noWorkers: true, deaths: true }],
]);

const gaps = daysOf({ jobs: GAP_JOBS, scale: GAP_SCALE }, [
  ["gap", 1031, { storeOutageAfterRefusal: {} }],
  ["gap-question-peers-cut", 1032, { storeOutageAfterRefusal: { by: "question", peersCut: true } }],
  [
    "gap-repeat-confirmers-end",
    1033,
    { storeOutageAfterRefusal: { by: "repeat", confirmersEnd: true } },
  ],
  [
    "gap-hang-cloud-out",
    1034,
    { storeOutageAfterRefusal: { machines: "hang", cloudOut: true, oldEnds: true } },
  ],
  ["gap-deaf", 1035, { storeOutageAfterRefusal: { machines: "deaf" } }],
  ["muted-long", 1036, { mutedLong: true }],
]);

const meetings = daysOf({ jobs: JOBS }, [
  ["late-writes-muted", 1061, { lateWrites: true, muted: true }],
  ["cancel-now-at-end", 1062, { cancelNow: true, cancelAtEnd: true }],
  ["odd-requests-crashes", 1063, { oddRequests: true, crashes: true }],
  ["ten-leaders", 1064, { leaders: true }],
  ["all-away-zone-cut", 1065, { allAway: true, zoneCut: true }],
  ["zone-bound-slow-links", 1066, { zoneBound: true, slowLinks: true, wave: true }],
  ["fail-first", 1067, { failures: "first" }],
]);

const floods = daysOf({ jobs: JOBS, scale: FLOOD_SCALE }, [
  ["question-flood", 1101, { questionFlood: FLOOD }],
  ["guest-fail-always", 1102, { floodTeam: true, failures: "always" }],
  ["late-boots-freezes", 1103, { lateBoots: true, freezes: true }],
]);

const spread: readonly DigestDay[] = [
  { name: "spread-many-jobs", seed: 1301, bursts: [MANY_JOBS, { ...MANY_JOBS, team: "t1" }] },
  { name: "spread-array", seed: 1302, bursts: [ONE_ARRAY] },
  {
    name: "spread-crashes-late-writes",
    seed: 1303,
    bursts: [MANY_JOBS],
    trouble: { lost: 0.02, crashes: true, lateWrites: true, lateSpanWrites: 0.2 },
  },
].map((day) => ({
  ...day,
  jobs: 12,
  scale: SPREAD_SCALE,
  trouble: { ...SPREAD, ...day.trouble },
}));

const large: DigestDay = { name: "large", seed: 1021, jobs: 28, scale: LARGE_SCALE };

/** All days, the longest first, so that none is left to run alone at the end. */
export const DIGEST_DAYS: readonly DigestDay[] = [
  large,
  ...spread,
  ...floods,
  ...gaps,
  ...faults,
  ...meetings,
];

/** The world of a day, before it begins. */
export const worldOf = (day: DigestDay): Simulation => {
  const world = new Simulation(day.seed, { ...CALM, ...day.trouble }, day.scale);
  for (const [i, burst] of (day.bursts ?? []).entries())
    scheduleBurst(world, burst, FIRST_BURST_ID + i * BURST_IDS);
  return world;
};
