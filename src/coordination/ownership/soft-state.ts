import {
  type JobId,
  type MachineId,
  type MonotonicMs,
  monotonicMs,
  type ShardId,
} from "@umberfold/ids";

/**
 * What a owner remembers beside the records. All of it may be lost with the process: it steers
 * choices and never proves anything.
 */
export type StopReason = "preempted" | "moved" | "notice" | "unfit";

export interface AttemptSoftState {
  requestStop: { readonly reason: StopReason; readonly graceS: number } | null;
  /** When a report first showed it running. */
  runningSince: MonotonicMs | null;
  readonly machine: MachineId;
}

export interface JobBackoff {
  /** Failures in a row, with no task of the job completing between. */
  failures: number;
  retryAt: MonotonicMs;
  readonly failedOn: Set<MachineId>;
}

export interface MachineSoftState {
  /** Images it should hold, oldest use first. */
  readonly images: Map<string, number>;
  /** Jobs that failed here since something last completed here. */
  readonly failedJobs: Set<JobId>;
  failures: number;
  /** Returned once its open attempts are closed, or at once if `force`. */
  decommission: { readonly reason: string; readonly force: boolean } | null;
  /** A shard that the leader wants it for. */
  pendingTransfer: {
    readonly to: ShardId;
    readonly drain: boolean;
    readonly whenEmpty: boolean;
    readonly until: MonotonicMs;
  } | null;
  callInFlight: boolean;
  callAgain: boolean;
  /** The last time a call of ours was sent there. */
  lastCallAt: MonotonicMs;
  /** Calls of ours in a row without an answer, and nothing heard in between. */
  failedCalls: number;
  /** The same whatever was heard in between, and since when: reports alone prove no way to it. */
  unreachableCalls: number;
  unreachableSince: MonotonicMs;
  /**
   * The last report that it sent by itself, since it is held here. One that answers calls and
   * sends no heartbeats is of no use: its lease runs out whatever we tell it.
   */
  lastHeartbeatAt: MonotonicMs | null;
  /** A task waits for an exited attempt of its to be forgotten here, for want of another place. */
  needsTokenRaise: boolean;
}

export const newMachineSoftState = (): MachineSoftState => ({
  images: new Map(),
  failedJobs: new Set(),
  failures: 0,
  decommission: null,
  pendingTransfer: null,
  callInFlight: false,
  callAgain: false,
  lastCallAt: monotonicMs(0),
  failedCalls: 0,
  unreachableCalls: 0,
  unreachableSince: monotonicMs(0),
  lastHeartbeatAt: null,
  needsTokenRaise: false,
});

/** Forgets what was held against a machine for not being heard or not answering. */
export const resetHealth = (n: MachineSoftState): void => {
  n.failedCalls = 0;
  n.unreachableCalls = 0;
  n.unreachableSince = monotonicMs(0);
  n.lastHeartbeatAt = null;
};

export const newJobBackoff = (): JobBackoff => ({
  failures: 0,
  retryAt: monotonicMs(0),
  failedOn: new Set(),
});

export const recordImageUse = (
  note: MachineSoftState,
  image: string,
  gb: number,
  cacheGb: number,
): void => {
  note.images.delete(image);
  note.images.set(image, gb);
  let total = 0;
  for (const g of note.images.values()) total += g;
  for (const [name, g] of note.images) {
    if (total <= cacheGb || name === image) break;
    note.images.delete(name);
    total -= g;
  }
};
