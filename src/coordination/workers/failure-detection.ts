import type { Mono } from "@umberfold/ids";
import type { MachineNote } from "../ownership/soft-state.js";

/** Calls in a row without an answer that make a machine silent, or unreachable though it reports. */
export const SILENT_CALLS = 2;
const UNREACHABLE_CALLS = 4;

export interface SilenceLimits {
  /** How long calls may fail, whatever is heard. */
  readonly silenceMs: number;
  /** How long nothing may be heard; less in a wave of losses. */
  readonly patienceMs: number;
  /** How long a machine may answer calls without a heartbeat of its own. */
  readonly heartbeatMs: number;
}

/** Why a machine is given up, if it is. */
export const reasonLost = (
  note: MachineNote,
  quietMs: number,
  now: Mono,
  limits: SilenceLimits,
): string | undefined => {
  if (quietMs >= limits.patienceMs && note.failedCalls >= SILENT_CALLS) return "silent";
  const unreachableMs = now - note.unreachableSince;
  if (note.unreachableCalls >= UNREACHABLE_CALLS && unreachableMs >= limits.silenceMs)
    return "unreachable";
  const missing = note.reportedAt !== null && now - note.reportedAt > limits.heartbeatMs;
  return missing ? "heartbeats missing" : undefined;
};
