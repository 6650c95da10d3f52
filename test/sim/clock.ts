/**
 * Simulated time and chance. One clock drives a simulation: it owns the queue of events and the
 * generator that all random draws come from, so a day follows from its seed and from the order in
 * which its parts schedule and draw.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setClock } from "../../src/transport/clock.js";

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** What the stand-ins ask of time and chance, simulated or real. */
export interface TimeSource {
  /** Milliseconds from an arbitrary start. */
  readonly now: number;
  /** A draw from [0, 1). */
  random(): number;
  /** A draw from [min, max). */
  between(min: number, max: number): number;
  /** Runs something so much later. */
  after(ms: number, run: () => void): void;
  /** Resolves so much later. */
  sleep(ms: number): Promise<void>;
}

/** Simulated time: events in order, each followed by all that it lets happen at once. */
export class SimulatedClock implements TimeSource {
  /** Simulated milliseconds since the day began. */
  now = 0;
  /** In the order in which they are to run. */
  readonly #queue: ScheduledEvent[] = [];
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
    setClock({
      monotonicNowMs: () => this.now,
      wallClockNowMs: () => 1_700_000_000_000 + this.now,
      sleep: (ms) => this.sleep(ms),
    });
  }

  /** A draw from [0, 1). */
  random(): number {
    return uniformFloat64(this.#rng);
  }

  /** A draw from [min, max). */
  between(min: number, max: number): number {
    return min + (max - min) * this.random();
  }

  /** Schedules an event; those of the same time run in the order of scheduling. */
  after(ms: number, run: () => void): void {
    const event = { at: this.now + ms, run };
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#queue[middle] as ScheduledEvent;
      // Behind what was scheduled earlier for the same time: that runs before.
      if (other.at <= event.at) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, event);
  }

  /** Resolves so much later. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  /** Runs all events up to a time, each followed by all that it lets happen at once. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      const next = this.#queue[0];
      if (next === undefined || next.at > end) break;
      this.#queue.shift();
      this.now = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = end;
  }
}
