/**
 * What must hold for each answer that a user gets about a job: known jobs stay known, final states
 * stay final, and what is done did run.
 */
import type { UserJob } from "../user-job.js";

/** A successful answer, before it is entered in the user's job. */
export interface JobAnswer {
  readonly job: UserJob;
  /** The job's state as the answer gives it. */
  readonly state: string;
  /** When the request was sent. */
  readonly askedAt: number;
  /** How many of the job's tasks were ever started; costs a pass over all starts. */
  readonly startedTasks: () => number;
}

/** One rule: says what it saw if it is broken, else nothing. */
export interface AnswerInvariant {
  /** The protocol's name for a breach of it. */
  readonly rule: string;
  readonly check: (answer: JobAnswer) => string | undefined;
}

/**
 * A final state doesn't change once its user got it. (What was asked before that may have been
 * answered before as well, and come later.)
 */
const finalStateStays = ({ job, state, askedAt }: JobAnswer): string | undefined =>
  job.finalState !== null && state !== job.finalState && askedAt > job.finalStateAt
    ? `${job.id} ${job.finalState}>${state}`
    : undefined;

/** Only a job whose user asked for it is cancelled. */
const cancelledByItsUser = ({ job, state }: JobAnswer): string | undefined =>
  state === "cancelled" && job.cancelRequestedAt === null
    ? `${job.id} not cancelled by its user`
    : undefined;

/** Each task of a job that is done did start. */
const doneAfterAllStarts = ({ job, state, startedTasks }: JobAnswer): string | undefined =>
  state === "done" && startedTasks() < Number(job.spec.threads) ? job.id : undefined;

/** All of them, in the order in which breaches are reported. */
export const ANSWER_INVARIANTS: readonly AnswerInvariant[] = [
  { rule: "went_back", check: finalStateStays },
  { rule: "went_back", check: cancelledByItsUser },
  { rule: "not_done", check: doneAfterAllStarts },
];
