import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TimeSource } from "../sim/clock.js";

/** Real time for the stand-ins; only what is drawn by chance follows from the seed. */
export class RealClock implements TimeSource {
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
  }

  get now(): number {
    return performance.now();
  }

  random(): number {
    return uniformFloat64(this.#rng);
  }

  between(a: number, b: number): number {
    return a + (b - a) * this.random();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, Math.min(ms, 2 ** 31 - 1)).unref();
  }

  async sleep(ms: number): Promise<void> {
    await sleep(ms);
  }
}
