/** `stepPressure` and `decideSpan`: when a shard joins a span, drains or leaves it. */
import assert from "node:assert/strict";
import test from "node:test";
import {
  decideSpan,
  INITIAL_PRESSURE,
  type LoadSpreadSettings,
  type OwnerLoad,
  type Pressure,
  stepPressure,
  type TeamLoad,
  teamPressure,
} from "@umberfold/load-spread";
import { homeSpan, type Span, stepSpan } from "@umberfold/spans";
import {
  burst,
  HOME,
  OTHER,
  owners,
  SETTINGS,
  shardLoad,
  spanOf,
  THIRD,
  teamLoad,
} from "./fixtures.js";

const decisions: readonly {
  readonly name: string;
  readonly load: TeamLoad;
  readonly owners: readonly OwnerLoad[];
  readonly pressure: Pressure;
  readonly settings?: Partial<LoadSpreadSettings>;
  readonly expected: string | undefined;
}[] = [
  {
    name: "after lasting high pressure the shard of the least loaded owner joins",
    load: teamLoad(undefined, [burst]),
    owners: owners(200, 50, 20),
    pressure: { state: "high", sinceMs: 0 },
    expected: "join 2",
  },
  {
    name: "high pressure that has not lasted long enough changes nothing",
    load: teamLoad(undefined, [burst]),
    owners: owners(200, 50, 20),
    pressure: { state: "high", sinceMs: 8000 },
    expected: undefined,
  },
  {
    name: "a span with the maximum number of shards does not grow",
    load: teamLoad(spanOf(OTHER, THIRD), [burst]),
    owners: owners(200, 50, 20, 1),
    pressure: { state: "high", sinceMs: 0 },
    expected: undefined,
  },
  {
    name: "no span grows while a failover is in progress",
    load: teamLoad(spanOf(OTHER), [burst]),
    owners: [
      { owner: "n-0", shards: [HOME], loadUnits: 200 },
      { owner: "n-2", shards: [THIRD], loadUnits: 1 },
    ],
    pressure: { state: "high", sinceMs: 0 },
    expected: undefined,
  },
  {
    name: "after lasting low pressure the shard that joined last drains",
    load: teamLoad(spanOf(OTHER, THIRD), []),
    owners: owners(20, 20, 20),
    pressure: { state: "low", sinceMs: -30_000 },
    expected: "drain 2",
  },
  {
    name: "if load spreading is disabled, the span drains at once",
    load: teamLoad(spanOf(OTHER), [burst]),
    owners: owners(200, 20),
    pressure: { state: "high", sinceMs: 0 },
    settings: { enabled: false },
    expected: "drain 1",
  },
  {
    name: "a shard with a job that is not in the span is adopted",
    load: teamLoad(undefined, [shardLoad(THIRD, { jobCount: 1, waitingTaskCount: 1 })]),
    owners: owners(1, 1, 1),
    pressure: INITIAL_PRESSURE,
    expected: "adopt 2",
  },
];
for (const { name, load, owners, pressure, settings, expected } of decisions)
  test(`span policy: ${name}`, () => {
    const allSettings = { ...SETTINGS, ...settings };
    const decision = decideSpan(load, pressure, owners, allSettings, 10_000);
    const event = decision?.event;
    assert.equal(event === undefined ? undefined : `${event.kind} ${event.shard}`, expected);
  });

test("a load that fluctuates around a threshold changes the span a bounded number of times", () => {
  let span: Span | undefined;
  let pressure = INITIAL_PRESSURE;
  let changes = 0;
  for (let second = 0; second < 1200; second++) {
    // The number of tasks fluctuates by one around `minTasks`.
    const waitingTaskCount = SETTINGS.minTasks - 20 + (second % 2 === 0 ? 1 : -1);
    const load = teamLoad(span, [
      shardLoad(HOME, { jobCount: 5, openAttemptCount: 20, waitingTaskCount }),
    ]);
    const now = second * 1000;
    pressure = stepPressure(pressure, teamPressure(load, owners(100, 10, 10)), SETTINGS, now);
    const decision = decideSpan(load, pressure, owners(100, 10, 10), SETTINGS, now);
    if (decision === undefined) continue;
    if (decision.restartsPressureTimer) pressure = { ...pressure, sinceMs: now };
    const stepped = stepSpan(span ?? homeSpan(HOME), decision.event);
    assert.ok(stepped.ok);
    span = stepped.span;
    changes++;
  }
  assert.ok(changes <= SETTINGS.maxSpan, `${changes} changes`);
});
