/**
 * The process's clocks, and the one place where they are replaced by simulated ones.
 *
 * Durations are measured on the monotonic clock alone; the wall clock is for records and for people.
 */
import { type MonotonicMs, monotonicMs, type WallClockMs, wallClockMs } from "@umberfold/ids";

/** Where time comes from; all in milliseconds. */
export interface Clock {
  /** Never goes back; it starts anywhere. */
  readonly steady: () => number;
  /** Since 1970; may go back, and differs between hosts. */
  readonly wall: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

let current: Clock = {
  steady: () => performance.now(),
  wall: () => Date.now(),
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

/** Puts another clock in place of the process's own, for the simulation. */
export const setClock = (clock: Clock): void => {
  current = clock;
};

/** Now, to measure durations with. */
export const monotonicNow = (): MonotonicMs => monotonicMs(current.steady());
/** Now, as other hosts and people know it. */
export const wallClockNow = (): WallClockMs => wallClockMs(current.wall());
/** Resolves after so many milliseconds. */
export const sleep = (ms: number): Promise<void> => current.sleep(ms);
