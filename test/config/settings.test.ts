import assert from "node:assert/strict";
import test from "node:test";
import { parseSettings } from "../../src/config/settings.js";
import { targetsOf } from "../../src/scheduling/objectives.js";

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

const cases: (readonly [name: string, source: string, fault: string | null])[] = [
  ["a valid file", SETTINGS, null],
  ["not TOML", "label = ", "not TOML"],
  ["a missing address", SETTINGS.replace('cloud = "10.2.0.2:8443"', ""), "services.cloud"],
  ["a host name in an address", SETTINGS.replace("10.2.0.1:2379", "state:2379"), "services.state"],
  ["a negative limit", SETTINGS.replace("rps = 250.0", "rps = -1.0"), "params.state.rps"],
  [
    "a number of shards that is no integer",
    SETTINGS.replace("size = 2", "size = 2.5"),
    "params.size",
  ],
  ["a label twice", SETTINGS.replace('"loom-1"', '"loom-0"'), "seeds"],
];

const RESOURCES = "[params.resources]\nram_mb = 178.0";
cases.push(
  ["too little memory", SETTINGS.replace("178.0", "40.0"), "params.resources.ram_mb"],
  [
    "too few sockets for all kinds of connections",
    SETTINGS.replace(RESOURCES, `${RESOURCES}\nmax_sockets = 60`),
    "params.resources.max_sockets",
  ],
);

test("invalid objectives are ignored, and all others are used", () => {
  const rows = [
    'kind = "wait"\nclass = "c"\nwithin_s = 20.0\nshare = 0.9',
    'kind = "wait"\nclass = "c"\nwithin_s = 70.0',
    'kind = "joy"\nshare = 7.0',
    'kind = "finished"\nclass = "c"\nwithin_s = -1.0',
    'kind = "deadline"\nclass = "c"\ntimes = 1.5',
  ];
  const parsed = parseSettings(
    SETTINGS + rows.map((row) => `[[params.objectives]]\n${row}\n`).join(""),
  );
  assert.ok(parsed.ok);
  assert.deepEqual(
    parsed.value.objectives.map(({ kind, withinS, times }) => [kind, withinS, times]),
    [
      ["wait", 20, null],
      ["wait", 70, null],
      ["deadline", null, 1.5],
    ],
  );
  assert.equal(parsed.value.ignoredObjectives.length, 2);
  const targets = targetsOf({ jobClass: "c", deadlineS: 30 }, parsed.value.objectives, false);
  assert.deepEqual(
    targets.map(({ withinS }) => withinS),
    [20, 30, 45, 70],
  );
});

for (const [name, source, fault] of cases)
  test(`settings ${fault === null ? "accepted" : "refused with one line"}: ${name}`, () => {
    const parsed = parseSettings(source);
    if (fault === null) {
      assert.ok(parsed.ok);
      assert.equal(parsed.value.teams[0]?.cpusMax, Number.POSITIVE_INFINITY);
    } else {
      assert.ok(!parsed.ok);
      assert.equal(parsed.faults.length, 1);
      assert.ok(parsed.faults[0]?.startsWith(fault), parsed.faults[0]);
    }
  });

/** A fault names the field, the allowed values and the actual value. */
const lines: readonly (readonly [name: string, source: string, line: string])[] = [
  [
    "a number out of bounds",
    SETTINGS.replace("rps = 250.0", "rps = -1.0"),
    "params.state.rps: must be a number, at least 1, not -1",
  ],
  [
    "a string instead of a number",
    SETTINGS.replace("rps = 250.0", 'rps = "fast"'),
    'params.state.rps: must be a number, at least 1, not "fast"',
  ],
  [
    "a missing address",
    SETTINGS.replace('cloud = "10.2.0.2:8443"', ""),
    "services.cloud: must be an IPv4 address with a port, such as 10.0.0.1:80, not nothing",
  ],
  [
    "a label twice",
    SETTINGS.replace('"loom-1"', '"loom-0"'),
    'seeds: a label appears twice: "loom-0"',
  ],
];
for (const [name, source, line] of lines)
  test(`a fault names the field, the allowed values and the actual value: ${name}`, () => {
    const parsed = parseSettings(source);
    assert.deepEqual(parsed, { ok: false, faults: [line] });
  });
