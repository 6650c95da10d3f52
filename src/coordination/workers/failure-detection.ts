import type { MonotonicMs } from "@umberfold/ids";
import type { MachineSoftState } from "../ownership/machine-soft-state.js";

/** Calls in a row without an answer that make a machine silent, or unreachable though it reports. */
export const UNANSWERED_CALLS_UNTIL_SILENT = 2;
const UNREACHABLE_CALLS = 4;

export interface FailureLimits {
  /** How long calls may fail, whatever is heard. */
  readonly silenceMs: number;
  /** How long nothing may be heard; less in a wave of losses. */
  readonly patienceMs: number;
  /** How long a machine may answer calls without a heartbeat of its own. */
  readonly heartbeatMs: number;
}

/** Why a machine is given up, if it is. */
export const detectMachineFailure = (
  { health }: MachineSoftState,
  quietMs: number,
  now: MonotonicMs,
  limits: FailureLimits,
): string | undefined => {
  if (quietMs >= limits.patienceMs && health.failedCalls >= UNANSWERED_CALLS_UNTIL_SILENT)
    return "silent";
  const unreachableMs = now - health.unreachableSince;
  if (health.unreachableCalls >= UNREACHABLE_CALLS && unreachableMs >= limits.silenceMs)
    return "unreachable";
  const missing =
    health.lastHeartbeatAt !== null && now - health.lastHeartbeatAt > limits.heartbeatMs;
  return missing ? "heartbeats missing" : undefined;
};
