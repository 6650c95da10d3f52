/**
 * The clocks of the process, and the only place where the simulation replaces them.
 *
 * Durations are measured only with the monotonic clock; the wall clock is for stored records,
 * messages to other hosts and logs.
 */
import { type MonotonicMs, monotonicMs, type WallClockMs, wallClockMs } from "@umberfold/ids";

/** A source of time, in milliseconds. */
export interface Clock {
  /** Never decreases; its zero point is arbitrary. */
  readonly monotonicNowMs: () => number;
  /** Unix time; may go back, and differs between hosts. */
  readonly wallClockNowMs: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

let current: Clock = {
  monotonicNowMs: () => performance.now(),
  wallClockNowMs: () => Date.now(),
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

/** Replaces the clock of the process, for the simulation. */
export const setClock = (clock: Clock): void => {
  current = clock;
};

/** The current time on the monotonic clock, for measuring durations. */
export const monotonicNow = (): MonotonicMs => monotonicMs(current.monotonicNowMs());
/** The current Unix time in milliseconds, comparable with that of other hosts. */
export const wallClockNow = (): WallClockMs => wallClockMs(current.wallClockNowMs());
/** Resolves after the given number of milliseconds. */
export const sleep = (ms: number): Promise<void> => current.sleep(ms);
