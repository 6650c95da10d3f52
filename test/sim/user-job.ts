/** A job as its user knows it: what was asked when, and what the service answered. */
import type { Body } from "./fakes/message.js";

/** Times are in simulated milliseconds. */
export interface UserJob {
  readonly id: string;
  /** The submission, in the wire's words. */
  readonly spec: Body;
  readonly submittedAt: number;
  /** When its first task started on a machine. */
  startedAt: number | null;
  /** Its submission was answered: from then on the service must know it. */
  accepted: boolean;
  cancelRequestedAt: number | null;
  cancelConfirmedAt: number | null;
  /** The final state in the first answer that had one; it must never change. */
  finalState: string | null;
  finalStateAt: number;
  lastAnswerAt: number;
}

/** A job that its user is about to submit. */
export const newUserJob = (id: string, spec: Body, now: number): UserJob => ({
  id,
  spec,
  submittedAt: now,
  startedAt: null,
  accepted: false,
  cancelRequestedAt: null,
  cancelConfirmedAt: null,
  finalState: null,
  finalStateAt: 0,
  lastAnswerAt: now,
});
