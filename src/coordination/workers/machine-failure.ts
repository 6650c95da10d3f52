/**
 * The rule by which one machine is given up, as a pure function of its soft state.
 *
 * A machine that is silent has stopped sending and doesn't answer calls either. One that is
 * unreachable may send heartbeats, but never answers a call: heartbeats alone don't prove that
 * commands get through, so it is of no use. One without heartbeats answers calls, but its lease
 * expires whatever it is sent. All three are proved gone by returning them to the cloud.
 */
import type { MonotonicMs } from "@umberfold/ids";
import type { MachineHealth } from "../ownership/machine-health.js";

/** Calls in a row without an answer until a machine that sends nothing counts as silent. */
export const UNANSWERED_CALLS_UNTIL_SILENT = 2;
/** Calls in a row without an answer until a machine that may send heartbeats is unreachable. */
const UNREACHABLE_CALLS = 4;

/** Why a machine is given up, as logs and the reason of its decommission say it. */
export type MachineFailure = "silent" | "unreachable" | "heartbeats missing";

/** How much is tolerated of a machine. */
export interface FailureLimits {
  /** How long calls may fail, whatever else is received. */
  readonly silenceMs: number;
  /** How long nothing at all may be received; shorter in a wave of failures. */
  readonly patienceMs: number;
  /** How long a machine may answer calls without sending a heartbeat. */
  readonly heartbeatMs: number;
}

/**
 * Why a machine is given up, or undefined if it is not.
 *
 * @param silentMs for how long nothing was received from it
 * @param now the moment up to which all that arrived was read (see event-loop lag)
 */
export const detectMachineFailure = (
  health: MachineHealth,
  silentMs: number,
  now: MonotonicMs,
  limits: FailureLimits,
): MachineFailure | undefined => {
  if (
    silentMs >= limits.patienceMs &&
    health.failedCallsSinceStatus >= UNANSWERED_CALLS_UNTIL_SILENT
  )
    return "silent";
  const unreachableMs = now - health.firstUnansweredCallAt;
  if (health.failedCallsSinceAnswer >= UNREACHABLE_CALLS && unreachableMs >= limits.silenceMs)
    return "unreachable";
  const { lastHeartbeatAt } = health;
  return lastHeartbeatAt !== null && now - lastHeartbeatAt > limits.heartbeatMs
    ? "heartbeats missing"
    : undefined;
};
