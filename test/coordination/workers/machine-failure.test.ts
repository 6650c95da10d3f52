/** When a single machine is given up, and why. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { MachineHealth } from "../../../src/coordination/ownership/machine-health.js";
import {
  detectMachineFailure,
  type FailureLimits,
  type MachineFailure,
} from "../../../src/coordination/workers/machine-failure.js";

const LIMITS: FailureLimits = { silenceMs: 6500, patienceMs: 6500, heartbeatMs: 60_000 };
const NOW = monotonicMs(100_000);

const cases: readonly {
  name: string;
  /** When calls were sent that got no answer. */
  failedCallsAt?: readonly number[];
  /** When the newest heartbeat came, after those calls; never if undefined. */
  heartbeatAt?: number;
  silentMs: number;
  limits?: Partial<FailureLimits>;
  expected: MachineFailure | undefined;
}[] = [
  { name: "kept while it is heard", heartbeatAt: 99_000, silentMs: 1000, expected: undefined },
  {
    name: "kept while only one call was left unanswered, however long it is silent",
    failedCallsAt: [90_000],
    silentMs: 30_000,
    expected: undefined,
  },
  {
    name: "silent after two unanswered calls and the whole time",
    failedCallsAt: [94_000, 96_000],
    silentMs: 6500,
    expected: "silent",
  },
  {
    name: "kept after two unanswered calls while the time isn't over",
    failedCallsAt: [94_000, 96_000],
    silentMs: 6499,
    expected: undefined,
  },
  {
    name: "silent sooner in a wave, which allows less time",
    failedCallsAt: [96_000, 98_000],
    silentMs: 3300,
    limits: { patienceMs: 3250 },
    expected: "silent",
  },
  {
    name: "unreachable after four unanswered calls over the whole time, though it sends heartbeats",
    failedCallsAt: [93_000, 94_500, 96_000, 97_500],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: "unreachable",
  },
  {
    name: "kept after three unanswered calls while it sends heartbeats",
    failedCallsAt: [90_000, 92_000, 94_000],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: undefined,
  },
  {
    name: "kept after four unanswered calls within less than the whole time",
    failedCallsAt: [94_000, 95_500, 97_000, 98_500],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: undefined,
  },
  {
    name: "given up when it answers calls, but sent no heartbeat for leases",
    heartbeatAt: 39_999,
    silentMs: 500,
    expected: "heartbeats missing",
  },
  {
    name: "kept when its newest heartbeat is just within the limit",
    heartbeatAt: 40_000,
    silentMs: 500,
    expected: undefined,
  },
];

for (const { name, failedCallsAt = [], heartbeatAt, silentMs, limits, expected } of cases)
  test(`machine failure: ${name}`, () => {
    const health = new MachineHealth();
    for (const sentAt of failedCallsAt) health.recordFailedCall(monotonicMs(sentAt));
    if (heartbeatAt !== undefined) health.recordStatus("heartbeat", monotonicMs(heartbeatAt));
    const failure = detectMachineFailure(health, silentMs, NOW, { ...LIMITS, ...limits });
    assert.equal(failure, expected);
  });
