import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setClock } from "../../src/transport/clock.js";

interface Due {
  readonly at: number;
  readonly n: number;
  readonly run: () => void;
}

/** What the stand-ins ask of time and chance, simulated or real. */
export interface TimeSource {
  readonly now: number;
  random(): number;
  between(a: number, b: number): number;
  after(ms: number, run: () => void): void;
  sleep(ms: number): Promise<void>;
}

/** Simulated time: events in order, each followed by all that it lets happen at once. */
export class SimulatedClock implements TimeSource {
  now = 0;
  #n = 0;
  #due: Due[] = [];
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
    setClock({
      steady: () => this.now,
      wall: () => 1_700_000_000_000 + this.now,
      sleep: (ms) => this.sleep(ms),
    });
  }

  random(): number {
    return uniformFloat64(this.#rng);
  }

  between(a: number, b: number): number {
    return a + (b - a) * this.random();
  }

  after(ms: number, run: () => void): void {
    const due = { at: this.now + ms, n: this.#n++, run };
    let lo = 0;
    let hi = this.#due.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      const d = this.#due[mid] as Due;
      if (d.at < due.at || (d.at === due.at && d.n < due.n)) lo = mid + 1;
      else hi = mid;
    }
    this.#due.splice(lo, 0, due);
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  async runUntil(end: number): Promise<void> {
    for (;;) {
      const next = this.#due[0];
      if (next === undefined || next.at > end) break;
      this.#due.shift();
      this.now = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = end;
  }
}
