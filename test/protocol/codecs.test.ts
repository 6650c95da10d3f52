import assert from "node:assert/strict";
import test from "node:test";
import { attemptNumber, jobId, machineId, revision, shardId, wallClockMs } from "@umberfold/ids";
import { checkOperators, parseOperators } from "../../src/config/operators.js";
import { parseSettings } from "../../src/config/settings.js";
import { decode, encode } from "../../src/protocol/cbor.js";
import { parseSubmission } from "../../src/protocol/jobs.js";
import { decodePeerMessage, encodePeerMessage } from "../../src/protocol/peer.js";
import { parseWorkerStatus } from "../../src/protocol/workers.js";
import { targetsOf } from "../../src/scheduling/objectives.js";
import {
  encodeJobPage,
  encodeMachinePage,
  parseJobPage,
  parseMachinePage,
} from "../../src/storage/pages.js";
import { rangesAdd, rangesCount, rangesHas, rangesMissing } from "../../src/storage/ranges.js";
import { encodeAcceptedJob, parseAcceptedJob } from "../../src/storage/records.js";
import { minSockets, socketParts } from "../../src/transport/sockets.js";

export const SUBMISSION = {
  uid: "wk-000412",
  weave: "train",
  crew: "vision",
  pattern: "sweep",
  rank: "high",
  threads: 16,
  cpus: 8.0,
  gpus: 1.0,
  ramGb: 64.0,
  bolt: "img-07",
  imageGb: 6.2,
  frames: ["g8"],
  mill: null,
  oneZone: true,
  apart: false,
  remnant: true,
  expectS: 240.0,
  knotS: 30.0,
  spoolS: 4.0,
  dueS: 900.0,
};

const submissions: readonly [string, unknown, boolean][] = [
  ["the protocol's example", SUBMISSION, true],
  ["unknown fields are ignored", { ...SUBMISSION, extra: 1 }, true],
  ["null may be omitted", { ...SUBMISSION, frames: undefined, dueS: undefined }, true],
  ...Object.keys(SUBMISSION).map((f): [string, unknown, boolean] => [
    `without ${f}`,
    { ...SUBMISSION, [f]: undefined },
    ["frames", "mill", "dueS"].includes(f),
  ]),
  ["not a map", [1], false],
  ["nothing", null, false],
  ["a wrong id", { ...SUBMISSION, uid: "job-1" }, false],
  ["an id with a path in it", { ...SUBMISSION, uid: "wk-1/2" }, false],
  ["no team", { ...SUBMISSION, crew: undefined }, false],
  ["an unknown pattern", { ...SUBMISSION, pattern: "dance" }, false],
  ["an unknown rank", { ...SUBMISSION, rank: "vip" }, false],
  ["no tasks", { ...SUBMISSION, threads: 0 }, false],
  ["too many tasks", { ...SUBMISSION, threads: 100_001 }, false],
  ["half a task", { ...SUBMISSION, threads: 1.5 }, false],
  ["negative cpus", { ...SUBMISSION, cpus: -1 }, false],
  ["no number", { ...SUBMISSION, ramGb: Number.NaN }, false],
  ["endless", { ...SUBMISSION, expectS: Number.POSITIVE_INFINITY }, false],
  ["a text for a flag", { ...SUBMISSION, apart: "yes" }, false],
  ["types that are no names", { ...SUBMISSION, frames: [1] }, false],
];

test("submissions", () => {
  for (const [name, body, ok] of submissions) {
    const over = decode(encode(body));
    assert.equal(parseSubmission(over).ok, ok, name);
  }
});

const REPORT = {
  loom: "m-000231",
  endpoint: "10.1.0.232:9000",
  frame: "g8",
  mill: "a",
  remnant: true,
  shift: 1,
  tally: 88,
  baton: 41,
  warningS: null,
  threads: [{ thread: "wk-000398/0", try: 1, stage: "ended", cause: "done" }],
};
const reports: readonly [string, unknown, boolean][] = [
  ["the protocol's example", REPORT, true],
  ["no tasks", { ...REPORT, threads: [] }, true],
  ["not a map", "heartbeat", false],
  ["no session", { ...REPORT, shift: undefined }, false],
  ["one unreadable task spoils the list", { ...REPORT, threads: [{ thread: "x" }] }, false],
  [
    "a stage of a later version is still a task that is there",
    { ...REPORT, threads: [{ thread: "wk-1/0", try: 1, stage: "waiting" }] },
    true,
  ],
];

test("reports", () => {
  for (const [name, body, ok] of reports)
    assert.equal(parseWorkerStatus(decode(encode(body))) !== undefined, ok, name);
});

test("a live job's record keeps everything", () => {
  const parsed = parseSubmission(SUBMISSION);
  assert.ok(parsed.ok);
  const job = {
    spec: parsed.value,
    acceptedAt: wallClockMs(1_700_000_000_000),
    cancelledAt: wallClockMs(1_700_000_001_000),
    shard: null,
  };
  assert.deepEqual(
    parseAcceptedJob(jobId("wk-000412"), decode(encode(encodeAcceptedJob(job)))),
    job,
  );
});

const over = (v: unknown): unknown => decode(encode(v));

test("a work page keeps the progress of its jobs, and a row that can't be read loses only itself", () => {
  const open = (index: number, attempt: number, machine: string) => ({
    index,
    attempt: attemptNumber(attempt),
    machine: machineId(machine),
  });
  const entries = new Map([
    [
      jobId("wk-1"),
      { done: [0, 3, 7, 7], open: [open(4, 9, "m-1"), open(5, 10, "m-2")], nextAttempt: 11 },
    ],
    [jobId("wk-2"), { done: [], open: [open(0, 1, "m-1")], nextAttempt: 2 }],
  ]);
  const value = over(encodeJobPage(entries)) as { j: unknown[] };
  assert.deepEqual(parseJobPage(value), entries);
  const spoilt = parseJobPage({ ...value, j: [["wk-9"], null, ...value.j] });
  assert.deepEqual([...(spoilt?.keys() ?? [])], ["wk-1", "wk-2"]);
  assert.equal(parseJobPage("no page"), undefined);
});

test("a fleet page keeps its machines", () => {
  const m = (zone: string, spot: boolean, phase: "up" | "retiring") => ({
    shard: shardId(2),
    type: "g8",
    zone,
    spot,
    endpoint: "10.1.0.1:9000",
    phase,
    rentedAt: wallClockMs(1_700_000_000_000),
    tokenFloor: revision(77),
  });
  const machines = new Map([
    [machineId("m-1"), m("a", true, "up")],
    [machineId("m-2"), m("b", false, "retiring")],
  ]);
  assert.deepEqual(parseMachinePage(shardId(2), over(encodeMachinePage(machines))), machines);
});

test("peer messages", () => {
  const m = {
    from: "loom-1",
    moves: [{ machine: machineId("m-000001"), to: shardId(2), drain: true }],
    retire: [machineId("m-000002")],
    reason: "failed",
    failing: [jobId("wk-000007")],
    cancelled: [
      { job: jobId("wk-000412"), rev: revision(2 ** 40), at: wallClockMs(1_700_000_000_000) },
    ],
  };
  assert.deepEqual(decodePeerMessage(encodePeerMessage(m)), m);
  // Word of a cancellation that can't be one is passed over; the rest of the message stands.
  const odd = [
    { job: jobId("x"), rev: revision(1), at: wallClockMs(1) },
    { job: jobId("wk-1"), rev: revision(0), at: wallClockMs(1) },
    { job: jobId("wk-1"), rev: revision(5), at: wallClockMs(Number.NaN) },
  ];
  assert.deepEqual(
    decodePeerMessage(encodePeerMessage({ ...m, cancelled: [...odd, ...m.cancelled] })),
    m,
  );
  const { cancelled: _none, ...older } = m;
  const without = encodePeerMessage({ ...older, cancelled: [] });
  assert.deepEqual(decodePeerMessage(without).cancelled, []);
  assert.throws(() => decodePeerMessage(new Uint8Array([0xff, 0xff, 0xff])));
});

test("ranges of finished tasks", () => {
  const r = [5, 0, 1, 3, 2, 9, 2].reduce(rangesAdd, [] as readonly number[]);
  assert.deepEqual(r, [0, 3, 5, 5, 9, 9]);
  assert.equal(rangesCount(r), 6);
  assert.deepEqual(
    [0, 3, 4, 5, 8, 9, 10].map((x) => rangesHas(r, x)),
    [true, true, false, true, false, true, false],
  );
  assert.deepEqual([...rangesMissing(r, 12, new Set([6]))], [4, 7, 8, 10, 11]);
  assert.deepEqual([...rangesMissing([0, 11], 12, new Set())], []);
});

const SETTINGS = `
label = "loom-0"
area = "z"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
later = "ignored"
[[seeds]]
label = "loom-1"
area = "z"
address = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 2
zones = ["z"]
[[params.teams]]
name = "a"
cpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 21.0
cancel_s = 46.0
[params.state]
rps = 250.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 40
[params.cloud]
rps = 2.0
[params.resources]
ram_mb = 178.0
`;

const settings: [string, string, string | null][] = [
  ["as handed over", SETTINGS, null],
  ["not TOML", "label = ", "not TOML"],
  ["a missing address", SETTINGS.replace('cloud = "10.2.0.2:8443"', ""), "services.cloud"],
  ["a name for an address", SETTINGS.replace("10.2.0.1:2379", "state:2379"), "services.state"],
  ["a negative limit", SETTINGS.replace("rps = 250.0", "rps = -1.0"), "params.state.rps"],
  ["a fraction of a controller", SETTINGS.replace("size = 2", "size = 2.5"), "params.size"],
  ["a label twice", SETTINGS.replace('"loom-1"', '"loom-0"'), "seeds"],
];

const RESOURCES = "[params.resources]\nram_mb = 178.0";
settings.push(
  ["too little memory", SETTINGS.replace("178.0", "40.0"), "params.resources.ram_mb"],
  [
    "sockets for less than a part of each kind",
    SETTINGS.replace(RESOURCES, `${RESOURCES}\nmax_sockets = 60`),
    "params.resources.max_sockets",
  ],
);

test("objectives that can't be read are passed over, and all others used", () => {
  const rows = [
    'kind = "wait"\nclass = "c"\nwithin_s = 20.0\nshare = 0.9',
    'kind = "wait"\nclass = "c"\nwithin_s = 70.0',
    'kind = "joy"\nshare = 7.0',
    'kind = "finished"\nclass = "c"\nwithin_s = -1.0',
    'kind = "deadline"\nclass = "c"\ntimes = 1.5',
  ];
  const r = parseSettings(SETTINGS + rows.map((x) => `[[params.objectives]]\n${x}\n`).join(""));
  assert.ok(r.ok);
  assert.deepEqual(
    r.value.objectives.map((o) => [o.kind, o.withinS, o.times]),
    [
      ["wait", 20, null],
      ["wait", 70, null],
      ["deadline", null, 1.5],
    ],
  );
  assert.equal(r.value.ignoredObjectives.length, 2);
  const targets = targetsOf({ jobClass: "c", deadlineS: 30 }, r.value.objectives, false);
  assert.deepEqual(
    targets.map((x) => x.withinS),
    [20, 30, 45, 70],
  );
});

/** All workers of a fleet of 886 and of 1,458 at one survivor must leave each kind its part. */
test("the parts of the sockets stay below the limit", () => {
  for (const [most, members] of [
    [1062, 3],
    [2150, 5],
    [1200, 3],
    [minSockets(3), 3],
    [minSockets(9), 9],
  ] as const) {
    const p = socketParts(most, members);
    const all = Object.values(p).reduce((sum, n) => sum + n, 0);
    assert.ok(all + p.inner < most, `${most}: ${JSON.stringify(p)}`);
    assert.ok(
      Object.values(p).every((n) => n >= 4),
      JSON.stringify(p),
    );
  }
});

test("settings, and one clear line for each fault", () => {
  for (const [name, text, fault] of settings) {
    const r = parseSettings(text);
    if (fault === null) {
      assert.ok(r.ok, name);
      assert.equal(r.value.teams[0]?.cpusMax, Number.POSITIVE_INFINITY);
    } else {
      assert.ok(!r.ok, name);
      assert.equal(r.faults.length, 1, name);
      assert.ok(r.faults[0]?.startsWith(fault), `${name}: ${r.faults[0]}`);
    }
  }
});

test("operators' settings", async () => {
  const good = await parseOperators("fleet {\n headroom = 0.5\n}\n");
  assert.ok(good.ok);
  assert.equal(good.value.headroom, 0.5);
  const bad: readonly [string, string][] = [
    ["fleet {\n headrom = 1\n}\n", "fleet.headrom"],
    ["flet {\n}\n", "flet"],
    ["fleet {\n headroom = -1\n}\n", "fleet.headroom"],
    ["fleet {\n headroom = ", "not HCL"],
  ];
  for (const [text, fault] of bad) {
    const r = await parseOperators(text);
    assert.ok(!r.ok, text);
    assert.ok(
      r.faults.some((f) => f.startsWith(fault)),
      `${text}: ${r.faults}`,
    );
  }
  assert.ok(checkOperators({}).ok);
});
