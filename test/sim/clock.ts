/**
 * Simulated time and random numbers. One clock drives a simulation: it owns the event queue and the
 * generator of all random draws, so a simulated day is determined by its seed and by the order in
 * which components schedule events and draw numbers.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setClock } from "../../src/transport/clock.js";

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Time and random numbers for the fakes, simulated or real. */
export interface TimeSource {
  /** Milliseconds since an arbitrary start. */
  readonly now: number;
  /** A draw from [0, 1). */
  random(): number;
  /** A draw from [min, max). */
  between(min: number, max: number): number;
  /** Runs a callback after a delay. */
  after(ms: number, run: () => void): void;
  /** Resolves after a delay. */
  sleep(ms: number): Promise<void>;
}

/** Simulated time: runs events in time order, each followed by the asynchronous work it causes. */
export class SimulatedClock implements TimeSource {
  /** Simulated milliseconds since the day began. */
  now = 0;
  /** Events in the order in which they will run. */
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

  /** Schedules an event; events of the same time run in the order of scheduling. */
  after(ms: number, run: () => void): void {
    const event = { at: this.now + ms, run };
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#queue[middle] as ScheduledEvent;
      // On a tie, insert after the events that were scheduled earlier.
      if (other.at <= event.at) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, event);
  }

  /** Resolves after a delay. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  /** Runs all events up to a time, each followed by the asynchronous work it causes. */
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
