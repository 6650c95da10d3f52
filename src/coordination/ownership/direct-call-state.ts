/**
 * The direct calls to one machine: at most one is queued or in flight, and another follows it if
 * one was requested meanwhile.
 *
 * `repeat_due` exists because a call can outlive the soft state under which it was queued. When a
 * machine leaves the shard and returns, that call may request a repeat in the machine's new soft
 * state, where no call is in flight.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/**
 * `idle`: no call. `in_flight`: one is queued or in flight. `in_flight_repeat_due`: one is queued
 * or in flight, and another has to follow. `repeat_due`: another has to follow a call that this
 * state doesn't know of.
 */
export type DirectCallPhase = "idle" | "in_flight" | "in_flight_repeat_due" | "repeat_due";

/**
 * `requested`: a call is wanted. `repeat_requested`: the outcome of a call showed that another has
 * to follow. `ended`: the call is over.
 */
export type DirectCallEvent = "requested" | "repeat_requested" | "ended";

/** The only function that changes the phase. */
export const stepDirectCall = (phase: DirectCallPhase, event: DirectCallEvent): DirectCallPhase => {
  switch (event) {
    case "requested":
      return phase === "idle" ? "in_flight" : "in_flight_repeat_due";
    case "repeat_requested":
      return phase === "in_flight" || phase === "in_flight_repeat_due"
        ? "in_flight_repeat_due"
        : "repeat_due";
    case "ended":
      return "idle";
  }
};

/** The direct calls of one machine. */
export class DirectCallState {
  #phase: DirectCallPhase = "idle";
  #lastCallAt: MonotonicMs = monotonicMs(0);

  /** Whether a call is in flight, and whether another has to follow. */
  get phase(): DirectCallPhase {
    return this.#phase;
  }

  /** When a call was last queued or sent. */
  get lastCallAt(): MonotonicMs {
    return this.#lastCallAt;
  }

  /**
   * Requests a call. Returns true if the caller must queue it; else it follows the one in flight.
   */
  requestCall(now: MonotonicMs): boolean {
    const queueNow = this.#phase === "idle" || this.#phase === "repeat_due";
    this.#phase = stepDirectCall(this.#phase, "requested");
    if (queueNow) this.#lastCallAt = now;
    return queueNow;
  }

  /** The queued call is being sent. */
  markSent(now: MonotonicMs): void {
    this.#lastCallAt = now;
  }

  /** The outcome of the call showed that another has to follow. */
  requestRepeat(): void {
    this.#phase = stepDirectCall(this.#phase, "repeat_requested");
  }

  /** The call is over. Returns true if another has to follow. */
  end(): boolean {
    const mustRepeat = this.#phase === "in_flight_repeat_due" || this.#phase === "repeat_due";
    this.#phase = stepDirectCall(this.#phase, "ended");
    return mustRepeat;
  }
}
