/**
 * Invariants of each response that a user gets about a job: a final state never changes, only the
 * job's user can cancel it, and all tasks of a done job were started.
 */
import type { UserJob } from "../user-job.js";

/** A successful response about a job, before the user's job is updated from it. */
export interface JobAnswer {
  readonly job: UserJob;
  /** The state of the job in the response. */
  readonly state: string;
  /** When the response left the controller. */
  readonly leftAt: number;
  /** Returns how many of the job's tasks were ever started; scans all starts of the day. */
  readonly countStartedTasks: () => number;
}

/** One rule; `check` returns the details of a violation, or undefined if the rule holds. */
export interface AnswerInvariant {
  /** The name of the violation, as the tests match it. */
  readonly rule: string;
  readonly check: (answer: JobAnswer) => string | undefined;
}

/**
 * A final state doesn't change once its user has received it. A response that left its controller
 * before that may carry an earlier state and arrive later; one that left afterwards may not, even
 * if its request was sent before.
 */
const finalStateStays = ({ job, state, leftAt }: JobAnswer): string | undefined =>
  job.finalState !== null && state !== job.finalState && leftAt > job.finalStateAt
    ? `${job.id} ${job.finalState}>${state}`
    : undefined;

/** A job is cancelled only if its user requested the cancellation. */
const cancelledByItsUser = ({ job, state }: JobAnswer): string | undefined =>
  state === "cancelled" && job.cancelRequestedAt === null
    ? `${job.id} not cancelled by its user`
    : undefined;

/** Every task of a done job was started. */
const doneAfterAllStarts = ({ job, state, countStartedTasks }: JobAnswer): string | undefined =>
  state === "done" && countStartedTasks() < Number(job.spec.threads) ? job.id : undefined;

/** All invariants, in the order in which violations are reported. */
export const ANSWER_INVARIANTS: readonly AnswerInvariant[] = [
  { rule: "went_back", check: finalStateStays },
  { rule: "went_back", check: cancelledByItsUser },
  { rule: "not_done", check: doneAfterAllStarts },
];
