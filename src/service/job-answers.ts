/**
 * What a user is answered about a job, from what was read of it.
 *
 * Invariant: an answer that says `cancelled` binds. It goes out only once the job's final record is
 * there, or its shard's owner has confirmed that it knows of the cancellation.
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
import { tryAgain, UNKNOWN_JOB } from "./user-responses.js";

/** A job that was accepted and has no final record. */
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

/** Turns what was read of a job into the answer to its user. */
export class JobAnswers {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly jobs: JobReader,
    /** Whether the job's owner, or its record, confirms a cancellation that is written. */
    private readonly confirm: (notice: CancellationNotice) => Promise<boolean>,
  ) {}

  /** The answer about a job, whatever was read. */
  async answer(id: JobId, found: JobLookup): Promise<HttpResponse> {
    switch (found.kind) {
      case "live":
        if (found.job.cancelledAt !== null) return this.answerCancelled(id, found);
        return statusResponse(liveJobStatus(id, this.#withProgress(id, found.job)));
      case "final":
        return statusResponse(finalJobStatus(id, found.job));
      case "none":
        return UNKNOWN_JOB;
      case "unavailable":
        return tryAgain(503);
    }
  }

  /** Each answer that says `cancelled` binds as the first one does, whatever was asked. */
  async answerCancelled(id: JobId, found: LiveJobLookup): Promise<HttpResponse> {
    const { job, rev } = found;
    const status = liveJobStatus(id, this.#withProgress(id, job));
    if (job.cancelledAt !== null && (await this.confirm({ job: id, rev, at: job.cancelledAt })))
      return statusResponse(status);
    // It may be finished by now, and its live record gone.
    const now = await this.jobs.read(id);
    return now.kind === "final" ? this.answer(id, now) : tryAgain(503);
  }

  /** Its progress is for display, and as old as what the replica knows. */
  #withProgress(id: JobId, job: AcceptedJob): LiveJob {
    const { done, open, nextAttempt } = this.ctx.replica.job(id) ?? NO_PROGRESS;
    return { ...job, done, open, nextAttempt };
  }
}
