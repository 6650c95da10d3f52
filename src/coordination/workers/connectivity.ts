/**
 * Whether this controller reaches its workers at all. If it receives nothing from any of them, its
 * own network is the more likely cause, and it must not declare machines failed for that. (Without
 * this check, a controller cut off from its workers returned 87 machines one by one.)
 */

/**
 * `connected`: statuses arrive. `suspect`: no status has arrived for longer than chance explains;
 * no machine is declared failed meanwhile. `disconnected`: the silence has lasted, or hardly any
 * direct call is answered, so the network to the machines is assumed to have failed, not the
 * machines; none is declared failed either. `abandoned`: the silence has outlasted the worker
 * leases, so no task can still be running there, and machines are declared failed again.
 */
export type Connectivity = "connected" | "suspect" | "disconnected" | "abandoned";

/** The observations and timeouts that determine connectivity. */
export interface ConnectivityInputs {
  /** Machines that should be sending heartbeats. */
  readonly machineCount: number;
  /** Time since a status was received from any of them. */
  readonly silentMs: number;
  /** Most of them don't answer direct calls; some may still send heartbeats. */
  readonly mostAreUnreachable: boolean;
  /** Period at which each worker sends heartbeats. */
  readonly heartbeatPeriodMs: number;
  /** Configured time without a status after which a single machine counts as silent. */
  readonly silenceTimeoutMs: number;
  /** Duration of a worker's lease. */
  readonly workerLeaseMs: number;
}

/** With fewer machines, silence of all of them is no evidence of a network failure. */
const MIN_MACHINES = 4;
/**
 * Silence is suspect once this many heartbeats would have arrived if all machines were alive. If
 * three quarters of the machines die at once, a quarter of this number still arrives on average;
 * by chance none arrives in about one of fifty such failures.
 */
const MIN_MISSED_HEARTBEATS = 16;
/** Bounds of the silence that is suspect; the upper one is a fraction of the silence timeout. */
const MIN_SUSPECT_SILENCE_MS = 700;
const MAX_SUSPECT_SILENCE_FRACTION = 0.5;
/** Fraction of the silence timeout after which suspect silence means disconnected. */
const DISCONNECTED_SILENCE_FRACTION = 0.6;
/** Worker leases of silence after which no task can still be running on any machine. */
const ABANDONED_LEASE_FACTOR = 2;

/** The one place where connectivity is determined; a pure function of the inputs. */
export const assessConnectivity = (inputs: ConnectivityInputs): Connectivity => {
  const { machineCount, silentMs, silenceTimeoutMs } = inputs;
  if (machineCount < MIN_MACHINES) return "connected";
  if (inputs.mostAreUnreachable) return "disconnected";
  const suspectMs = Math.min(
    silenceTimeoutMs * MAX_SUSPECT_SILENCE_FRACTION,
    Math.max(
      MIN_SUSPECT_SILENCE_MS,
      (MIN_MISSED_HEARTBEATS * inputs.heartbeatPeriodMs) / machineCount,
    ),
  );
  if (silentMs < suspectMs) return "connected";
  if (silentMs < silenceTimeoutMs * DISCONNECTED_SILENCE_FRACTION) return "suspect";
  return silentMs < inputs.workerLeaseMs * ABANDONED_LEASE_FACTOR ? "disconnected" : "abandoned";
};
