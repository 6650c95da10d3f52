/**
 * The health of one machine: failed direct calls, and when its newest heartbeat arrived.
 *
 * Failed calls are counted twice. Any new status resets `failedCallsSinceStatus`. Only an answered
 * call resets `failedCallsSinceAnswer`, because a heartbeat doesn't prove that commands reach the
 * machine. The failure detector judges a machine by these counts, the time of its newest heartbeat
 * and the time since its newest status.
 */
import { type MonotonicMs, monotonicMs } from "@umberfold/ids";

/** Whether one machine is alive and reachable, as far as calls and heartbeats show. */
export class MachineHealth {
  #failedCallsSinceStatus = 0;
  #failedCallsSinceAnswer = 0;
  #firstUnansweredCallAt: MonotonicMs = monotonicMs(0);
  #lastHeartbeatAt: MonotonicMs | null = null;

  /** Direct calls that have failed since the newest status of the machine, however it arrived. */
  get failedCallsSinceStatus(): number {
    return this.#failedCallsSinceStatus;
  }

  /** Direct calls that have failed since one was answered; heartbeats don't reset this count. */
  get failedCallsSinceAnswer(): number {
    return this.#failedCallsSinceAnswer;
  }

  /** When the first of `failedCallsSinceAnswer` was sent; meaningless while that count is 0. */
  get firstUnansweredCallAt(): MonotonicMs {
    return this.#firstUnansweredCallAt;
  }

  /**
   * When the newest heartbeat arrived since this controller owns the machine, or when the first one
   * became due; null before either. A machine that answers calls but sends no heartbeats is
   * unusable: answers don't renew the worker's lease, so it expires.
   */
  get lastHeartbeatAt(): MonotonicMs | null {
    return this.#lastHeartbeatAt;
  }

  /**
   * A direct call, sent at `sentAt`, failed: it was lost or refused, or answered without a status.
   */
  recordFailedCall(sentAt: MonotonicMs): void {
    this.#failedCallsSinceStatus++;
    if (this.#failedCallsSinceAnswer++ === 0) this.#firstUnansweredCallAt = sentAt;
  }

  /** A direct call was answered with a status of the machine, possibly an outdated one. */
  recordAnsweredCall(): void {
    this.#failedCallsSinceAnswer = 0;
  }

  /** A status arrived that is newer than all earlier ones. */
  recordStatus(via: "heartbeat" | "direct", now: MonotonicMs): void {
    this.#failedCallsSinceStatus = 0;
    if (via === "heartbeat") this.#lastHeartbeatAt = now;
    if (via === "direct") this.#failedCallsSinceAnswer = 0;
  }

  /** Heartbeats are due: if none has arrived, their absence counts from the first call of this. */
  expectHeartbeats(now: MonotonicMs): void {
    this.#lastHeartbeatAt ??= now;
  }

  /** Clears everything, because the controller itself was disconnected or paused meanwhile. */
  reset(): void {
    this.#failedCallsSinceStatus = 0;
    this.#failedCallsSinceAnswer = 0;
    this.#firstUnansweredCallAt = monotonicMs(0);
    this.#lastHeartbeatAt = null;
  }
}
