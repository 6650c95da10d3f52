/**
 * What the owner of a shard keeps in memory about one open attempt: whether it should stop, and
 * since when it is seen running.
 */
import type { MachineId, MonotonicMs } from "@umberfold/ids";

/** Why an attempt is stopped. */
export type StopReason = "preempted" | "moved" | "notice" | "unfit";

/** An attempt should stop, with this time to save its checkpoint. */
export interface StopRequest {
  readonly reason: StopReason;
  readonly graceS: number;
}

/** The soft state of one attempt. */
export class AttemptSoftState {
  #stopRequest: StopRequest | null = null;
  #runningSince: MonotonicMs | null = null;

  /** @param machine where the attempt was started */
  constructor(readonly machine: MachineId) {}

  /** Why and how it should stop, or null if it may run on. */
  get stopRequest(): StopRequest | null {
    return this.#stopRequest;
  }

  /** When a status first showed it running, or null. */
  get runningSince(): MonotonicMs | null {
    return this.#runningSince;
  }

  /** Asks for its stop. The first request stands: false if there was one. */
  requestStop(request: StopRequest): boolean {
    if (this.#stopRequest !== null) return false;
    this.#stopRequest = request;
    return true;
  }

  /** A status shows it running for the first time. */
  markRunning(now: MonotonicMs): void {
    this.#runningSince = now;
  }
}
