/**
 * Whether this controller reaches its workers at all. When it receives nothing from any of them,
 * its own network is the likelier cause: it must not give up machines for that.
 * (Cut from its workers, a controller returned 87 machines one by one before it noticed.)
 */

/**
 * `connected`: statuses arrive. `suspect`: none came for longer than chance allows, and machines
 * that are silent now aren't given up. `disconnected`: that has lasted; the network to all
 * of them is gone, not they. `abandoned`: it has lasted for so long that nothing can be left
 * running there anyway, and machines are given up again.
 */
export type Connectivity = "connected" | "suspect" | "disconnected" | "abandoned";

/** What connectivity is judged by. */
export interface ConnectivityView {
  /** Machines that should be sending heartbeats. */
  readonly known: number;
  /** For how long nothing was received from any of them. */
  readonly silentMs: number;
  /** Most of them don't answer our calls, though some may still send heartbeats. */
  readonly mostUnreached: boolean;
  /** The period of heartbeats. */
  readonly heartbeatPeriodMs: number;
  /** The time after which a single machine counts as silent. */
  readonly silenceMs: number;
  /** How long a worker's lease lasts. */
  readonly leaseMs: number;
}

/** With fewer machines than this, silence proves nothing about the network to them. */
const MIN_MACHINES = 4;
/**
 * Heartbeats that should have come meanwhile, all machines alive, until silence is suspect. Where
 * three quarters of them die at once a quarter of this number still comes, and none at all in one
 * such wave of fifty.
 */
const EXPECTED_HEARTBEATS = 16;
const MIN_SUSPECT_MS = 700;
/** Parts of the time after which a single machine counts as silent. */
const MAX_SUSPECT_PART = 0.5;
const DISCONNECTED_PART = 0.6;
/** Leases of workers after which nothing runs on any of them. */
const ABANDONED_LEASES = 2;

/** The one place where connectivity is judged; it follows from the view alone. */
export const assessConnectivity = (view: ConnectivityView): Connectivity => {
  const { known, silentMs, silenceMs } = view;
  if (known < MIN_MACHINES) return "connected";
  if (view.mostUnreached) return "disconnected";
  const suspectMs = Math.min(
    silenceMs * MAX_SUSPECT_PART,
    Math.max(MIN_SUSPECT_MS, (EXPECTED_HEARTBEATS * view.heartbeatPeriodMs) / known),
  );
  if (silentMs < suspectMs) return "connected";
  if (silentMs < silenceMs * DISCONNECTED_PART) return "suspect";
  return silentMs < view.leaseMs * ABANDONED_LEASES ? "disconnected" : "abandoned";
};
