/**
 * How a machine answers: direct calls without an answer, and its newest heartbeat.
 *
 * Two counts of unanswered calls are kept. `failedCalls` starts again whenever a status arrives;
 * `unreachableCalls` only when a call is answered, for heartbeats alone don't prove that commands
 * get through. The failure detector gives a machine up on these and nothing else.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** The evidence for and against one machine being alive and reachable. */
export class MachineHealth {
  #failedCallsSinceStatus = 0;
  #failedCallsSinceAnswer = 0;
  #firstUnansweredCallAt: MonotonicMs = monotonicMs(0);
  #lastHeartbeatAt: MonotonicMs | null = null;

  /** Direct calls in a row without an answer, with no status from the machine in between. */
  get failedCallsSinceStatus(): number {
    return this.#failedCallsSinceStatus;
  }

  /** Direct calls in a row without an answer, whatever heartbeats came in between. */
  get failedCallsSinceAnswer(): number {
    return this.#failedCallsSinceAnswer;
  }

  /** When the first of `unreachableCalls` was sent; without meaning while there are none. */
  get firstUnansweredCallAt(): MonotonicMs {
    return this.#firstUnansweredCallAt;
  }

  /**
   * The newest heartbeat since this controller owns the machine, or null. A machine that answers
   * calls and sends no heartbeats is of no use: its lease expires whatever it is sent.
   */
  get lastHeartbeatAt(): MonotonicMs | null {
    return this.#lastHeartbeatAt;
  }

  /** A direct call, sent at this time, was lost or refused, or its answer was no status. */
  recordFailedCall(sentAt: MonotonicMs): void {
    this.#failedCallsSinceStatus++;
    if (this.#failedCallsSinceAnswer++ === 0) this.#firstUnansweredCallAt = sentAt;
  }

  /** A direct call was answered with a status of the machine, be it an old one. */
  recordAnsweredCall(): void {
    this.#failedCallsSinceAnswer = 0;
  }

  /** A status newer than all before arrived. */
  recordStatus(via: "heartbeat" | "direct", now: MonotonicMs): void {
    this.#failedCallsSinceStatus = 0;
    if (via === "heartbeat") this.#lastHeartbeatAt = now;
    if (via === "direct") this.#failedCallsSinceAnswer = 0;
  }

  /** Heartbeats are due from now on, if none has come yet. */
  expectHeartbeats(now: MonotonicMs): void {
    this.#lastHeartbeatAt ??= now;
  }

  /** Forgets all that speaks against the machine: the controller itself was cut off or paused. */
  reset(): void {
    this.#failedCallsSinceStatus = 0;
    this.#failedCallsSinceAnswer = 0;
    this.#firstUnansweredCallAt = monotonicMs(0);
    this.#lastHeartbeatAt = null;
  }
}
