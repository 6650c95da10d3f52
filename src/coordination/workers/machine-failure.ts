/**
 * Decides whether one machine has failed, as a pure function of its health.
 *
 * `silent`: it sends nothing and doesn't answer direct calls. `unreachable`: it may send
 * heartbeats, but answers no direct call, so commands may not reach it. `heartbeats missing`: it
 * answers direct calls, but these don't renew its worker's lease, which expires without heartbeats.
 * In all three cases the machine is returned to the cloud, which proves that it is gone.
 */
import type { MonotonicMs } from "@umberfold/ids";
import type { MachineHealth } from "../ownership/machine-health.js";

/** Consecutive failed calls required to declare a machine silent. */
export const MIN_FAILED_CALLS_FOR_SILENT = 2;
/** Consecutive failed calls required to declare a machine unreachable. */
const MIN_FAILED_CALLS_FOR_UNREACHABLE = 4;

/** Why a machine is declared failed; logged, and written as the reason of its decommission. */
export type MachineFailure = "silent" | "unreachable" | "heartbeats missing";

/** Timeouts after which a machine is declared failed. */
export interface FailureLimits {
  /** Configured silence timeout; also how long calls may fail while heartbeats still arrive. */
  readonly silenceTimeoutMs: number;
  /** Silence timeout in effect: the configured one, or a shorter one in a failure wave. */
  readonly effectiveSilenceTimeoutMs: number;
  /** How long a machine that answers calls may send no heartbeat. */
  readonly heartbeatTimeoutMs: number;
}

/**
 * Why a machine has failed, or undefined if it has not.
 *
 * @param silentMs time since a status was received from it
 * @param now the time up to which all received messages have been read (see event-loop-lag.ts)
 */
export const detectMachineFailure = (
  health: MachineHealth,
  silentMs: number,
  now: MonotonicMs,
  limits: FailureLimits,
): MachineFailure | undefined => {
  if (
    silentMs >= limits.effectiveSilenceTimeoutMs &&
    health.failedCallsSinceStatus >= MIN_FAILED_CALLS_FOR_SILENT
  )
    return "silent";
  const unreachableMs = now - health.firstUnansweredCallAt;
  if (
    health.failedCallsSinceAnswer >= MIN_FAILED_CALLS_FOR_UNREACHABLE &&
    unreachableMs >= limits.silenceTimeoutMs
  )
    return "unreachable";
  const { lastHeartbeatAt } = health;
  return lastHeartbeatAt !== null && now - lastHeartbeatAt > limits.heartbeatTimeoutMs
    ? "heartbeats missing"
    : undefined;
};
