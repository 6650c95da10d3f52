/** When a single machine is declared failed, and for which reason. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { MachineHealth } from "../../../src/coordination/ownership/machine-health.js";
import {
  detectMachineFailure,
  type FailureLimits,
  type MachineFailure,
} from "../../../src/coordination/workers/machine-failure.js";

const LIMITS: FailureLimits = {
  silenceTimeoutMs: 6500,
  effectiveSilenceTimeoutMs: 6500,
  heartbeatTimeoutMs: 60_000,
};
const NOW = monotonicMs(100_000);

const cases: readonly {
  name: string;
  /** When each unanswered call was sent. */
  failedCallsAt?: readonly number[];
  /** When the newest heartbeat arrived, recorded after those calls; undefined if none did. */
  heartbeatAt?: number;
  silentMs: number;
  limits?: Partial<FailureLimits>;
  expected: MachineFailure | undefined;
}[] = [
  {
    name: "none while heartbeats arrive",
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: undefined,
  },
  {
    name: "none after one unanswered call, however long the silence",
    failedCallsAt: [90_000],
    silentMs: 30_000,
    expected: undefined,
  },
  {
    name: "silent after two unanswered calls and the full silence timeout",
    failedCallsAt: [94_000, 96_000],
    silentMs: 6500,
    expected: "silent",
  },
  {
    name: "none after two unanswered calls before the silence timeout",
    failedCallsAt: [94_000, 96_000],
    silentMs: 6499,
    expected: undefined,
  },
  {
    name: "silent after the shorter timeout of a failure wave",
    failedCallsAt: [96_000, 98_000],
    silentMs: 3300,
    limits: { effectiveSilenceTimeoutMs: 3250 },
    expected: "silent",
  },
  {
    name: "unreachable after four unanswered calls over the full timeout despite heartbeats",
    failedCallsAt: [93_000, 94_500, 96_000, 97_500],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: "unreachable",
  },
  {
    name: "none after three unanswered calls while heartbeats arrive",
    failedCallsAt: [90_000, 92_000, 94_000],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: undefined,
  },
  {
    name: "none after four unanswered calls within less than the full timeout",
    failedCallsAt: [94_000, 95_500, 97_000, 98_500],
    heartbeatAt: 99_000,
    silentMs: 1000,
    expected: undefined,
  },
  {
    name: "heartbeats missing when calls are answered but the heartbeat timeout has passed",
    heartbeatAt: 39_999,
    silentMs: 500,
    expected: "heartbeats missing",
  },
  {
    name: "none when the newest heartbeat is exactly at the heartbeat timeout",
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
