import assert from "node:assert/strict";
import test from "node:test";
import {
  jobId,
  machineId,
  revision,
  type ShardId,
  shardId,
  teamName,
  wallClockMs,
} from "@umberfold/ids";
import type { Objective } from "../../src/config/settings.js";
import { overloadedShards } from "../../src/coordination/fleet/overloaded-shards.js";
import type { MachineType } from "../../src/protocol/cloud.js";
import type { Priority } from "../../src/protocol/jobs.js";
import { computeDemand } from "../../src/scheduling/demand.js";
import { demandBound } from "../../src/scheduling/demand-bound.js";
import {
  type DemandGroup,
  type FleetMachine,
  offerKey,
  planFleet,
} from "../../src/scheduling/fleet-plan.js";
import {
  slackS,
  startSlackS,
  targetsOf,
  workWindowS as windowS,
} from "../../src/scheduling/objectives.js";
import { type CandidateMachine, CandidateSelector } from "../../src/scheduling/placement.js";
import {
  mayPreempt,
  type PreemptionCandidate,
  PreemptionSearch,
  type PreemptionSource,
} from "../../src/scheduling/preemption.js";
import { orderQueue } from "../../src/scheduling/queue-order.js";
import { smoothToward } from "../../src/scheduling/smoothing.js";
import { encodeMachineTypes } from "../../src/storage/cluster-records.js";
import { JobIndex } from "../../src/storage/job-index.js";
import { encodeMachinePage } from "../../src/storage/pages.js";
import { keys, type LiveJob, type MachineRecord, newJob } from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { wallClockNow } from "../../src/transport/clock.js";
import { SimulatedClock } from "../sim/clock.js";

const type = (name: string, cpus: number, price: number, spotPrice: number): MachineType => ({
  name,
  capacity: { cpus, gpus: 0, ramGb: cpus * 4 },
  cacheGb: 30,
  fetchGbPerS: 1,
  price,
  spotPrice,
  bootS: 40,
  zones: ["a", "b"],
});
const SMALL = type("small", 8, 0.36, 0.15);
const LARGE = type("large", 16, 0.8, 0.32);

const machine = (id: string, shard: number, over: Partial<FleetMachine> = {}): FleetMachine => ({
  id: machineId(id),
  shard: shardId(shard),
  type: SMALL,
  zone: "a",
  spot: true,
  up: true,
  use: { cpus: 0, gpus: 0, ramGb: 0 },
  openAttempts: 0,
  tasks: [],
  idleS: 100,
  heldS: 100,
  ...over,
});
const group = (
  shard: number,
  desiredSlots: number,
  over: Partial<DemandGroup> = {},
): DemandGroup => ({
  resources: { cpus: 4, gpus: 0, ramGb: 14 },
  machineTypes: null,
  zone: null,
  spotAllowed: true,
  priority: 1,
  urgent: false,
  desiredSlots,
  requiredSlots: desiredSlots,
  waiting: new Map([[shardId(shard), desiredSlots]]),
  ...over,
});

/** A machine with tasks of 4 processors, each given as rank and loss. */
const busy = (
  id: string,
  shard: number,
  ...tasks: readonly (readonly [number, number])[]
): FleetMachine =>
  machine(id, shard, {
    openAttempts: tasks.length,
    use: { cpus: 4 * tasks.length, gpus: 0, ramGb: 14 * tasks.length },
    tasks: tasks.map(([priority, lossS]) => ({
      priority,
      resources: { cpus: 4, gpus: 0, ramGb: 14 },
      lossS,
    })),
  });

const plans: readonly {
  name: string;
  machines?: readonly FleetMachine[];
  demand?: readonly DemandGroup[];
  refused?: readonly string[];
  overloaded?: readonly ShardId[];
  want: { rents?: readonly string[]; moves?: readonly string[]; returns?: readonly string[] };
}[] = [
  {
    name: "the cheapest slots, spread over zones",
    demand: [group(0, 4)],
    want: { rents: ["small a spot 1 >0", "small b spot 1 >0"] },
  },
  {
    name: "no spot for a job that may not use it",
    demand: [group(0, 2, { spotAllowed: false })],
    want: { rents: ["small a ordinary 1 >0"] },
  },
  {
    name: "a refused offer is not asked for",
    demand: [group(0, 2)],
    refused: [offerKey("small", "a", true), offerKey("small", "b", true)],
    want: { rents: ["large a spot 1 >0"] },
  },
  {
    name: "what is wanted but not needed takes no dear offer, and keeps no dear machine",
    machines: [machine("m", 0, { spot: false })],
    demand: [group(0, 2, { requiredSlots: 0, waiting: new Map() })],
    refused: [
      offerKey("small", "a", true),
      offerKey("small", "b", true),
      offerKey("large", "a", true),
      offerKey("large", "b", true),
    ],
    want: { returns: ["m"] },
  },
  {
    name: "a booting machine counts as room",
    machines: [machine("m", 0, { up: false })],
    demand: [group(0, 2)],
    want: {},
  },
  {
    name: "another shard's idle machine is moved instead of renting",
    machines: [machine("m", 1)],
    demand: [group(0, 2)],
    want: { moves: ["m>0"] },
  },
  {
    name: "a busy one is not, nor one that its own shard's tasks wait for",
    machines: [
      machine("m", 1, { openAttempts: 1, use: { cpus: 4, gpus: 0, ramGb: 14 } }),
      machine("n", 1),
    ],
    demand: [group(1, 3), group(0, 1)],
    want: { rents: ["small b spot 1 >0"] },
  },
  {
    name: "a forecast of its own shard keeps no idle machine from tasks that wait elsewhere",
    machines: [machine("m", 1)],
    demand: [group(1, 2, { waiting: new Map() }), group(0, 2)],
    want: { rents: ["small b spot 1 >0"], moves: ["m>0"] },
  },
  // Machines that its owner had not heard yet had it rented ever more.
  {
    name: "an overloaded shard is rented nothing, and no other shard for it",
    demand: [group(0, 4)],
    overloaded: [shardId(0)],
    want: {},
  },
  {
    name: "another shard is rented what it lacks itself",
    demand: [group(0, 4), group(1, 2)],
    overloaded: [shardId(0)],
    want: { rents: ["small a spot 1 >1"] },
  },
  {
    name: "an overloaded shard is given no machine of another",
    machines: [machine("m", 1)],
    demand: [group(0, 2)],
    overloaded: [shardId(0)],
    want: {},
  },
  {
    name: "for urgent work, a machine of others that holds only lower rank, with the least loss",
    machines: [
      busy("m", 1, [2, 30]),
      busy("n", 1, [2, 5]),
      busy("o", 1, [1, 0]),
      busy("p", 2, [2, 1], [1, 0]),
    ],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0, urgent: true })],
    want: { moves: ["n>0 drain"] },
  },
  {
    name: "not while its own shard has lower rank to preempt",
    machines: [busy("m", 1, [2, 5]), busy("n", 0, [2, 30], [2, 30])],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0, urgent: true })],
    want: {},
  },
  {
    name: "nor for work that can wait",
    machines: [busy("m", 1, [2, 5])],
    demand: [group(0, 2, { desiredSlots: 0, requiredSlots: 0 })],
    want: {},
  },
  {
    name: "what nobody wants is returned, but only after a while",
    machines: [machine("m", 0), machine("n", 0, { idleS: 3 })],
    want: { returns: ["m"] },
  },
  {
    name: "of two, the dear one goes",
    machines: [machine("m", 0, { spot: false }), machine("n", 0)],
    demand: [group(0, 2, { waiting: new Map() })],
    want: { returns: ["m"] },
  },
];

test("what is rented, moved and returned", () => {
  for (const c of plans) {
    const p = planFleet({
      types: [SMALL, LARGE],
      machines: c.machines ?? [],
      demand: c.demand ?? [],
      refusedOffers: new Set(c.refused ?? []),
      idleReturnS: 20,
      maxRentals: 50,
      machineLifeS: 300,
      shardCount: 2,
      overloaded: new Set(c.overloaded ?? []),
    });
    assert.deepEqual(
      p.rentals.map(
        (r) =>
          `${r.type} ${r.zone} ${r.spot ? "spot" : "ordinary"} ${r.shards.length} >${r.shards}`,
      ),
      c.want.rents ?? [],
      c.name,
    );
    assert.deepEqual(
      p.transfers.map((m) => `${m.machine}>${m.to}${m.drain ? " drain" : ""}`),
      c.want.moves ?? [],
      c.name,
    );
    assert.deepEqual(p.returns, c.want.returns ?? [], c.name);
  }
});

test("a level follows upwards and downwards at its own pace", () => {
  assert.equal(smoothToward(10, 20, 1, 0, 60), 20);
  assert.ok(Math.abs(smoothToward(10, 0, 60, 15, 60) - 10 / Math.E) < 1e-9);
  assert.ok(Math.abs(smoothToward(0, 10, 15, 15, 60) - 10 * (1 - 1 / Math.E)) < 1e-9);
});

const candidates = [
  {
    id: machineId("m-1"),
    free: { cpus: 0, gpus: 0, ramGb: 8 },
    victims: [victim("a", 4, 9), victim("b", 4, 2)],
  },
  {
    id: machineId("m-2"),
    free: { cpus: 2, gpus: 0, ramGb: 8 },
    victims: [victim("c", 1, 1), victim("d", 4, 3)],
  },
];
function victim(id: string, cpus: number, lossS: number) {
  return { task: id as never, resources: { cpus, gpus: 0, ramGb: 1 }, lossS };
}
const sources = (all: readonly PreemptionCandidate[]): readonly PreemptionSource[] =>
  all.map((c) => ({ candidate: () => c, version: () => 0 }));
const rooms: readonly [string, number, number, string | null][] = [
  ["the least loss in all", 4, 15, "m-1 b"],
  ["two victims where one won't do", 8, 15, "m-1 a b"],
  ["a victim that turns out not to be needed is spared", 6, 15, "m-2 d"],
  // Else a task of 8 that was stopped for one of 2 is followed by more stops, for room it left.
  ["none where enough is on its way out already", 2, 15, "m-2"],
  ["nothing dearer than the limit", 4, 1, null],
  ["nothing if it fits nowhere", 32, 99, null],
];

test("the cheapest room by preemption", () => {
  for (const [name, cpus, most, want] of rooms) {
    const r = new PreemptionSearch({ cpus, gpus: 0, ramGb: 1 }, sources(candidates), most).take();
    const got = r === null ? null : [r.machine, ...r.victims.map((v) => v.task).sort()].join(" ");
    assert.equal(got, want, name);
  }
});

const may: readonly [
  string,
  readonly [number, boolean, string],
  readonly [number, boolean, string],
  boolean,
][] = [
  ["a higher rank stops a lower", [1, false, "t"], [2, false, "u"], true],
  ["but not work within a guarantee", [1, false, "t"], [2, true, "u"], false],
  ["unless it is within one itself", [1, true, "t"], [2, true, "u"], true],
  ["equal rank does not", [1, false, "t"], [1, false, "u"], false],
  ["a guarantee is given from another team's excess", [2, true, "t"], [1, false, "u"], true],
  ["not from work within that team's own guarantee", [2, true, "t"], [1, true, "u"], false],
  ["nor from the same team", [2, true, "t"], [1, false, "t"], false],
];

test("who may stop whom", () => {
  const side = ([priority, withinGuarantee, team]: readonly [number, boolean, string]) => ({
    priority,
    withinGuarantee,
    team,
  });
  for (const [name, by, v, ok] of may) assert.equal(mayPreempt(side(by), side(v)), ok, name);
});

const OBJECTIVES: readonly Objective[] = [
  { kind: "wait", jobClass: "fast", withinS: 8, share: 0.95, times: null },
  { kind: "finished", jobClass: "slow", withinS: 250, share: 0.95, times: null },
  { kind: "guarantee", jobClass: null, withinS: 10, share: 0.9, times: null },
];
const job = (
  id: string,
  at: number,
  over: {
    jobClass?: string;
    rank?: Priority;
    tasks?: number;
    deadlineS?: number | null;
    needsCpus?: number;
  } = {},
): readonly [ReturnType<typeof jobId>, LiveJob] => [
  jobId(id),
  newJob(
    {
      id: jobId(id),
      jobClass: over.jobClass ?? "slow",
      team: teamName("t"),
      priority: over.rank ?? "normal",
      taskCount: over.tasks ?? 1,
      resources: { cpus: over.needsCpus ?? 8, gpus: 0, ramGb: 1 },
      image: "i",
      imageGb: 1,
      machineTypes: null,
      zone: null,
      zoneAffinity: false,
      spreadAcrossZones: false,
      spotAllowed: true,
      expectedRunS: 30,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
      deadlineS: over.deadlineS ?? null,
    },
    wallClockMs(at),
  ),
];

test("slack runs to the next objective that can still be met", () => {
  const fast = targetsOf({ jobClass: "fast", deadlineS: 60 }, OBJECTIVES, false);
  assert.equal(slackS(fast, 2, 20), 6);
  assert.equal(slackS(fast, 9, 20), 31);
  assert.equal(slackS(fast, 50, 20), Number.POSITIVE_INFINITY);
  assert.equal(slackS(targetsOf({ jobClass: "x", deadlineS: null }, OBJECTIVES, true), 1, 5), 9);
});

test("the window for a job's work closes as it ages", () => {
  const slow = targetsOf({ jobClass: "slow", deadlineS: null }, OBJECTIVES, false);
  assert.equal(windowS(slow, 0, 50, 0.5), 100);
  assert.equal(windowS(slow, 100, 50, 0.5), 50);
  assert.equal(windowS(slow, 200, 50, 0.5), 1);
  // Late already: it is treated like any other of its class.
  assert.equal(windowS(slow, 240, 50, 0.5), 100);
});

const bounds: readonly [string, readonly (readonly [number, number])[], number][] = [
  ["nothing", [], 0],
  ["one job alone", [[10, 100]], 10],
  [
    "the pressing one and then the patient one on the same processors",
    [
      [10, 100],
      [100, 900],
    ],
    10,
  ],
  [
    "two that press together",
    [
      [10, 100],
      [10, 50],
    ],
    15,
  ],
  [
    "a patient heap that rules",
    [
      [10, 100],
      [100, 1900],
    ],
    20,
  ],
];

test("the processors that all work in its windows takes", () => {
  for (const [name, due, want] of bounds)
    assert.equal(demandBound(due.map(([windowS, work]) => ({ windowS, work }))), want, name);
});

test("work that only some types can take is not planned on what others leave", () => {
  // 40 fast tasks that fit small machines too, and 40 slow ones that fit large ones only.
  const fast = job("wk-1", 0, { jobClass: "fast", rank: "high", tasks: 40, needsCpus: 2 });
  const slow = (cpus: number) => job("wk-2", 0, { tasks: 40, needsCpus: cpus });
  const needed = (cpus: number): number => {
    const d = computeDemand({
      jobs: [fast, slow(cpus)],
      shardOf: () => shardId(0),
      teams: new Map([
        [teamName("t"), { name: teamName("t"), cpus: 0, gpus: 0, cpusMax: 1e6, gpusMax: 0 }],
      ]),
      withinGuarantee: new Set(),
      objectives: OBJECTIVES,
      runS: (j) => (j.spec.jobClass === "fast" ? 10 : 100),
      types: [SMALL, LARGE],
      bootS: 40,
      headroom: 0,
      patience: 0.2,
      lastPatience: 0.35,
      riseS: 0,
      fallS: 0,
      margin: 1,
      dtS: 1,
      now: wallClockMs(0),
      levels: new Map(),
    });
    return d.groups.find((g) => g.resources.cpus === cpus)?.requiredSlots ?? 0;
  };
  // On the same types the slow ones follow the fast on their processors; alone they can't.
  assert.ok(needed(16) >= 40, `${needed(16)}`);
  assert.ok(needed(8) < 40, `${needed(8)}`);
});

test("hasty tasks avoid machines that would fetch their image for too long", () => {
  const place = (
    id: string,
    fetchGbPerS: number,
    use: number,
    images: string[],
  ): CandidateMachine => ({
    id: machineId(id),
    type: "t",
    zone: "a",
    spot: true,
    capacity: { cpus: 8, gpus: 0, ramGb: 32 },
    use: { cpus: use, gpus: 0, ramGb: use },
    smallestDemand: { cpus: 2, gpus: 0, ramGb: 2 },
    price: 1,
    isCostly: false,
    fetchGbPerS,
    images: new Set(images),
    competingShapes: 1,
  });
  const spec = {
    ...job("wk-1", 0, { needsCpus: 2 })[1].spec,
    image: "i",
    imageGb: 2,
    spotAllowed: true,
  };
  // The fullest first, as the paper has it, unless the task would be late there.
  const places = [place("full", 0.2, 6, []), place("quick", 1, 4, []), place("has", 0.2, 2, ["i"])];
  const chosen = (hurry?: number) =>
    new CandidateSelector(spec, places).choose(new Map(), hurry)?.id;
  assert.equal(chosen(), "full");
  assert.equal(chosen(3), "quick");
  assert.equal(chosen(1), "has");
  assert.equal(
    startSlackS(targetsOf({ jobClass: "fast", deadlineS: 20 }, OBJECTIVES, false), 5),
    3,
  );
});

test("jobs within the guarantee, counted from the earliest", () => {
  const team = { name: teamName("t"), cpus: 32, gpus: 0, cpusMax: 96, gpusMax: 0 };
  const teams = new Map([[team.name, team]]);
  const jobs = [job("wk-3", 3), job("wk-1", 1, { tasks: 2 }), job("wk-2", 2, { tasks: 2 })];
  const index = new JobIndex();
  for (const [id, j] of jobs) index.replace(id, undefined, j);
  assert.deepEqual([...index.withinGuarantee(teams.values())].sort(), ["wk-1", "wk-2"]);
});

test("the order of waiting jobs: overdue, within a guarantee, rank, slack, fewest left, age", () => {
  const q = (j: ReturnType<typeof job>, ageS: number, withinGuarantee = false) => ({
    id: j[0],
    job: j[1],
    ageS,
    imageFetchS: 0,
    expectedRunS: 30,
    withinGuarantee,
  });
  const order = orderQueue(
    [
      q(job("wk-1", 1, { tasks: 5 }), 0),
      q(job("wk-2", 2), 0),
      q(job("wk-3", 3), 100),
      q(job("wk-4", 4, { rank: "high", jobClass: "fast" }), 5),
      q(job("wk-5", 5, { rank: "high", jobClass: "fast" }), 7),
      q(job("wk-6", 6, { rank: "best_effort" }), 0, true),
      // Passed over for two minutes without one start: before all others, lest it never begins.
      q(job("wk-7", 7, { tasks: 500 }), 121),
    ],
    OBJECTIVES,
    120,
  );
  assert.deepEqual(
    order.map((x) => x.id),
    ["wk-7", "wk-6", "wk-5", "wk-4", "wk-3", "wk-2", "wk-1"],
  );
});

/**
 * The owner of a flooded shard was rented hundreds of machines whose reports it could not answer.
 * Machines heard, machines long due and not heard, machines that still boot.
 */
const loads: readonly (readonly [string, number, number, number, boolean])[] = [
  ["all heard", 100, 0, 0, false],
  ["some that never came up", 100, 5, 0, false],
  ["a tenth and more not heard", 100, 14, 0, true],
  ["none heard yet, all booting", 0, 0, 100, false],
  ["none heard, all due", 0, 10, 0, true],
  ["few, and none heard", 0, 3, 0, false],
];
test("shards whose owners don't get to their machines", () => {
  for (const [name, heard, due, booting, overloaded] of loads) {
    new SimulatedClock(1).now = 1_000_000;
    const replica = new Replica();
    const rows: [ReturnType<typeof machineId>, MachineRecord][] = [];
    const add = (n: number, endpoint: string, ageS: number): void => {
      for (let i = 0; i < n; i++) {
        const rentedAt = wallClockMs(wallClockNow() - ageS * 1000);
        const row = { shard: shardId(1), type: SMALL.name, zone: "a", spot: true, endpoint };
        rows.push([
          machineId(`m-${rows.length}`),
          { ...row, phase: "up", rentedAt, tokenFloor: revision(1) },
        ]);
      }
    };
    add(heard, "m:1", 500);
    add(due, "", 500);
    add(booting, "", 1);
    const types = encodeMachineTypes([SMALL]);
    replica.apply({ kind: "put", key: keys.types, value: types, rev: revision(1) });
    const page = encodeMachinePage(rows);
    replica.apply({ kind: "put", key: keys.fleet(shardId(1), "1"), value: page, rev: revision(2) });
    assert.equal(overloadedShards(replica, 3).has(shardId(1)), overloaded, name);
  }
});
