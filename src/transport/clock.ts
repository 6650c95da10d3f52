import { type MonotonicMs, monotonicMs, type WallClockMs, wallClockMs } from "@umberfold/ids";

/** The process's clocks; tests put a simulated one in their place. */
export interface Clock {
  readonly steady: () => number;
  readonly wall: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

let current: Clock = {
  steady: () => performance.now(),
  wall: () => Date.now(),
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

export const setClock = (clock: Clock): void => {
  current = clock;
};

export const monotonicNow = (): MonotonicMs => monotonicMs(current.steady());
export const wallClockNow = (): WallClockMs => wallClockMs(current.wall());
export const sleep = (ms: number): Promise<void> => current.sleep(ms);
