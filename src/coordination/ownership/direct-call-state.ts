/**
 * The direct calls to one machine: one at a time, and one more after it if something came up
 * meanwhile.
 *
 * `repeat_due` exists because a call can outlive the soft state under which it was queued: when
 * a machine leaves and comes back, that call ends under a new soft state in which none is in
 * flight.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** Whether a direct call is queued or under way, and whether another follows it. */
export type DirectCallPhase = "idle" | "in_flight" | "in_flight_repeat_due" | "repeat_due";

/** `requested`: somebody wants a call. `repeat`: the call itself found that another is needed. */
export type DirectCallEvent = "requested" | "repeat_requested" | "ended";

/** The one place where the phase changes. */
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

  /** Whether a call is in flight. */
  get phase(): DirectCallPhase {
    return this.#phase;
  }

  /** When a call was last queued or sent. */
  get lastCallAt(): MonotonicMs {
    return this.#lastCallAt;
  }

  /** A call is wanted. True if it is to be queued now; else it follows the one in flight. */
  requestCall(now: MonotonicMs): boolean {
    const queueNow = this.#phase === "idle" || this.#phase === "repeat_due";
    this.#phase = stepDirectCall(this.#phase, "requested");
    if (queueNow) this.#lastCallAt = now;
    return queueNow;
  }

  /** The call goes out, after it waited in the queue. */
  markSent(now: MonotonicMs): void {
    this.#lastCallAt = now;
  }

  /** The call in flight found that another has to follow. */
  requestRepeat(): void {
    this.#phase = stepDirectCall(this.#phase, "repeat_requested");
  }

  /** The call is over. True if another has to follow. */
  end(): boolean {
    const again = this.#phase === "in_flight_repeat_due" || this.#phase === "repeat_due";
    this.#phase = stepDirectCall(this.#phase, "ended");
    return again;
  }
}
