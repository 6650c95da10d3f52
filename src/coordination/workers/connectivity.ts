/**
 * What a owner makes of hearing nothing from any of its machines.
 *
 * `connected`: some are heard. `suspect`: none was heard for longer than chance allows, and whoever
 * falls silent now isn't given up. `disconnected`: that has lasted; the way to all of them is gone, not
 * they. `abandoned`: it has lasted for so long that nothing can be left running there anyway.
 */
export type Connectivity = "connected" | "suspect" | "disconnected" | "abandoned";

export interface ConnectivityView {
  /** Machines that should be reporting. */
  readonly known: number;
  /** For how long none of them was heard. */
  readonly quietMs: number;
  /** Most of them don't answer our calls, though some may still be heard. */
  readonly mostUnreached: boolean;
  readonly reportMs: number;
  readonly silenceMs: number;
  readonly leaseMs: number;
}

/** With fewer machines than this silence proves nothing about the way to them. */
const LEAST = 4;
/**
 * Reports that should have come meanwhile, all machines alive. Where three quarters of them die at
 * once a quarter of this number still comes, and none at all in one such wave of fifty.
 */
const EXPECTED = 16;
const LEAST_MS = 700;
/** Parts of the time after which a single machine counts as silent. */
const DOUBT_PART = 0.5;
const BLIND_PART = 0.6;
/** Leases after which nothing runs on any of them. */
const GIVE_UP_LEASES = 2;

/** The one place where the way to the machines is judged; it follows from the view alone. */
export const assessConnectivity = (v: ConnectivityView): Connectivity => {
  if (v.known < LEAST) return "connected";
  if (v.mostUnreached) return "disconnected";
  const doubtMs = Math.min(
    v.silenceMs * DOUBT_PART,
    Math.max(LEAST_MS, (EXPECTED * v.reportMs) / v.known),
  );
  if (v.quietMs < doubtMs) return "connected";
  if (v.quietMs < v.silenceMs * BLIND_PART) return "suspect";
  return v.quietMs < v.leaseMs * GIVE_UP_LEASES ? "disconnected" : "abandoned";
};
