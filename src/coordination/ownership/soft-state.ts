import { type JobId, type MachineId, type Mono, mono, type ShardId } from "@umberfold/ids";

/**
 * What a owner remembers beside the records. All of it may be lost with the process: it steers
 * choices and never proves anything.
 */
export type StopReason = "preempted" | "moved" | "notice" | "unfit";

export interface AttemptNote {
  stop: { readonly reason: StopReason; readonly graceS: number } | null;
  /** When a report first showed it running. */
  runningSince: Mono | null;
  readonly machine: MachineId;
}

export interface JobNote {
  /** Failures in a row, with no task of the job completing between. */
  failures: number;
  notBefore: Mono;
  readonly failedOn: Set<MachineId>;
}

export interface MachineNote {
  /** Images it should hold, oldest use first. */
  readonly images: Map<string, number>;
  /** Jobs that failed here since something last completed here. */
  readonly failedJobs: Set<JobId>;
  failures: number;
  /** Returned once its open attempts are closed, or at once if `force`. */
  retire: { readonly reason: string; readonly force: boolean } | null;
  /** A shard that the leader wants it for. */
  move: {
    readonly to: ShardId;
    readonly drain: boolean;
    readonly whenEmpty: boolean;
    readonly until: Mono;
  } | null;
  directBusy: boolean;
  directAgain: boolean;
  /** The last time a call of ours was sent there. */
  calledAt: Mono;
  /** Calls of ours in a row without an answer, and nothing heard in between. */
  failedCalls: number;
  /** The same whatever was heard in between, and since when: reports alone prove no way to it. */
  unreachableCalls: number;
  unreachableSince: Mono;
  /**
   * The last report that it sent by itself, since it is held here. One that answers calls and
   * sends no heartbeats is of no use: its lease runs out whatever we tell it.
   */
  reportedAt: Mono | null;
  /** A task waits for an exited attempt of its to be forgotten here, for want of another place. */
  wantsBump: boolean;
}

export const newMachineNote = (): MachineNote => ({
  images: new Map(),
  failedJobs: new Set(),
  failures: 0,
  retire: null,
  move: null,
  directBusy: false,
  directAgain: false,
  calledAt: mono(0),
  failedCalls: 0,
  unreachableCalls: 0,
  unreachableSince: mono(0),
  reportedAt: null,
  wantsBump: false,
});

/** Forgets what was held against a machine for not being heard or not answering. */
export const resetSuspicion = (n: MachineNote): void => {
  n.failedCalls = 0;
  n.unreachableCalls = 0;
  n.unreachableSince = mono(0);
  n.reportedAt = null;
};

export const newJobNote = (): JobNote => ({
  failures: 0,
  notBefore: mono(0),
  failedOn: new Set(),
});

export const useImage = (note: MachineNote, image: string, gb: number, cacheGb: number): void => {
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
