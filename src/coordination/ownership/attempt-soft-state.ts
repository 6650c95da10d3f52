/**
 * What the owner of a shard keeps in memory about one open attempt: whether it should stop, and
 * when it was first seen running.
 */
import type { MachineId, MonotonicMs } from "@umberfold/ids";

/** Why an attempt is stopped. `notice`: a preemption notice of the cloud for its machine. */
export type StopReason = "preempted" | "moved" | "notice" | "unfit";

/** An attempt should stop, with `graceS` seconds to save its checkpoint. */
export interface StopRequest {
  readonly reason: StopReason;
  readonly graceS: number;
}

/** The soft state of one attempt. */
export class AttemptSoftState {
  #stopRequest: StopRequest | null = null;
  #runningSince: MonotonicMs | null = null;

  /** @param machine the machine on which the attempt was started */
  constructor(readonly machine: MachineId) {}

  /** The request to stop it, or null if it may continue. */
  get stopRequest(): StopRequest | null {
    return this.#stopRequest;
  }

  /** When a status first showed it running, or null if none has. */
  get runningSince(): MonotonicMs | null {
    return this.#runningSince;
  }

  /** Requests its stop. Returns false, and keeps the earlier request, if there already is one. */
  requestStop(request: StopRequest): boolean {
    if (this.#stopRequest !== null) return false;
    this.#stopRequest = request;
    return true;
  }

  /** A status showed it running for the first time. */
  markRunning(now: MonotonicMs): void {
    this.#runningSince = now;
  }
}
