/**
 * Real time for the stand-ins of the loopback cluster.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TimeSource } from "../sim/clock.js";

/** Node runs timers that are longer than this at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Real time; only what is drawn by chance follows from the seed. */
export class RealClock implements TimeSource {
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
  }

  /** Milliseconds since this process began. */
  get now(): number {
    return performance.now();
  }

  /** A draw from [0, 1). */
  random(): number {
    return uniformFloat64(this.#rng);
  }

  /** A draw from [min, max). */
  between(min: number, max: number): number {
    return min + (max - min) * this.random();
  }

  /** Runs something so much later; it keeps no process alive. */
  after(ms: number, run: () => void): void {
    setTimeout(run, Math.min(ms, MAX_TIMER_MS)).unref();
  }

  /** Resolves so much later. */
  async sleep(ms: number): Promise<void> {
    await sleep(ms);
  }
}
