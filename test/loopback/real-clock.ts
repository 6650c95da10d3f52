/**
 * The real-time clock of the loopback cluster's stand-ins and users.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TimeSource } from "../sim/clock.js";

/** Longest delay of a Node.js timer; a timer with a longer delay fires immediately. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Real time with random draws from a seed. Only the draws are reproducible. */
export class RealClock implements TimeSource {
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
  }

  /** Milliseconds since this process started. */
  get now(): number {
    return performance.now();
  }

  /** A uniform random number from [0, 1). */
  random(): number {
    return uniformFloat64(this.#rng);
  }

  /** A uniform random number from [min, max). */
  between(min: number, max: number): number {
    return min + (max - min) * this.random();
  }

  /** Runs a function after a delay. The timer does not keep the process alive. */
  after(ms: number, run: () => void): void {
    setTimeout(run, Math.min(ms, MAX_TIMER_MS)).unref();
  }

  /** Resolves after a delay. */
  async sleep(ms: number): Promise<void> {
    await sleep(ms);
  }
}
