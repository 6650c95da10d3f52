/**
 * Builds the responses about jobs from the records that were read.
 *
 * Invariant: a response with the phase `cancelled` is a guarantee. It is sent only after the job's
 * final record was written, or after the owner of its shard confirmed that it knows of the
 * cancellation.
 */
import type { JobId } from "@umberfold/ids";
import type { ControllerContext } from "../coordination/context.js";
import { type JobPhase, type JobStatus, jobStatusBody } from "../protocol/jobs.js";
import type { CancellationNotice } from "../protocol/peer.js";
import type { JobLookup, JobReader } from "../storage/job-reader.js";
import {
  type AcceptedJob,
  completedTaskCount,
  type FinalJob,
  type LiveJob,
  NO_PROGRESS,
} from "../storage/records.js";
import type { HttpResponse } from "../transport/server.js";
import { absentAnswer, type JobAnswer, lastingAnswer, liveAnswer } from "./answer-freshness.js";
import { tryAgain, UNKNOWN_JOB } from "./user-responses.js";

/** The result of reading an accepted job that has no final record. */
export type LiveJobLookup = Extract<JobLookup, { kind: "live" }>;

const livePhase = (job: LiveJob): JobPhase => {
  if (job.cancelledAt !== null) return "cancelled";
  return job.open.length > 0 ? "running" : "queued";
};

const liveJobStatus = (id: JobId, job: LiveJob): JobStatus => ({
  id,
  phase: livePhase(job),
  done: completedTaskCount(job),
  running: job.open.length,
});

const finalJobStatus = (id: JobId, job: FinalJob): JobStatus => ({
  id,
  phase: job.phase,
  done: job.done,
  running: 0,
});

const statusResponse = (status: JobStatus): HttpResponse => ({
  status: 200,
  body: jobStatusBody(status),
});

/** Turns the result of reading a job into the response to its user. */
export class JobAnswers {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly jobs: JobReader,
    /** Whether the job's owner, or the job's final record, confirms a written cancellation. */
    private readonly confirm: (notice: CancellationNotice) => Promise<boolean>,
  ) {}

  /** The answer for a job, for each result of reading it. */
  async answer(id: JobId, found: JobLookup): Promise<JobAnswer> {
    switch (found.kind) {
      case "live":
        if (found.job.cancelledAt !== null) return this.answerCancelled(id, found);
        return liveAnswer(
          id,
          found,
          statusResponse(liveJobStatus(id, this.#withProgress(id, found.job))),
        );
      case "final":
        return lastingAnswer(statusResponse(finalJobStatus(id, found.job)));
      case "none":
        return absentAnswer(id, found.asOf, UNKNOWN_JOB);
      case "unavailable":
        return lastingAnswer(tryAgain(503));
    }
  }

  /**
   * The answer for a cancelled live job. The cancellation is confirmed before each response that
   * reports it, not only before the one to the cancel request. A cancellation is never undone, so
   * the answer is right however long the confirmation takes.
   */
  async answerCancelled(id: JobId, found: LiveJobLookup): Promise<JobAnswer> {
    const { job, rev } = found;
    const status = liveJobStatus(id, this.#withProgress(id, job));
    if (job.cancelledAt !== null && (await this.confirm({ job: id, rev, at: job.cancelledAt })))
      return lastingAnswer(statusResponse(status));
    // Not confirmed. The job may have finished meanwhile, so that its live record was deleted.
    const now = await this.jobs.read(id);
    return now.kind === "final" ? this.answer(id, now) : lastingAnswer(tryAgain(503));
  }

  /** Adds the job's progress from the replica, which may be stale; it is only displayed. */
  #withProgress(id: JobId, job: AcceptedJob): LiveJob {
    const { done, open, nextAttempt } = this.ctx.replica.job(id) ?? NO_PROGRESS;
    return { ...job, done, open, nextAttempt };
  }
}
