/** A job from its user's point of view: the requests and what the service responded. */
import type { Body } from "./fakes/message.js";

/** Times are in simulated milliseconds. */
export interface UserJob {
  readonly id: string;
  /** The submission, with the field names on the wire. */
  readonly spec: Body;
  readonly submittedAt: number;
  /** When its first task started on a machine. */
  startedAt: number | null;
  /** Whether its submission was confirmed; from then on the service must know the job. */
  accepted: boolean;
  cancelRequestedAt: number | null;
  cancelConfirmedAt: number | null;
  /** The final state in the first response that had one; it must never change. */
  finalState: string | null;
  finalStateAt: number;
  lastAnswerAt: number;
}

/** Creates the record of a job that its user is about to submit. */
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
