/**
 * The users' interface: submissions, cancellations, questions for a job's status, and readiness.
 *
 * It owns the reader of jobs and the group commit that all users' requests share. Invariant:
 * whatever is answered about a job has been read from the state store, or was just written there.
 */
import { jobId } from "@umberfold/ids";
import type { ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import { isJobId } from "../protocol/jobs.js";
import type { CancellationNotice } from "../protocol/peer.js";
import { CONDITIONS_PER_OP } from "../protocol/store.js";
import { GroupCommit } from "../storage/group-commit.js";
import { JobReader } from "../storage/job-reader.js";
import { monotonicNow } from "../transport/clock.js";
import type { HttpResponse } from "../transport/server.js";
import { JobAnswers } from "./job-answers.js";
import { JobCancellation } from "./job-cancellation.js";
import { JobSubmission } from "./job-submission.js";
import { readiness, tryAgain, UNKNOWN_JOB } from "./user-responses.js";

/** What was asked for longer ago than this is a stale read, and isn't answered from. */
const STALE_READ_MS = 1000;

/** Answers users; each method gives the whole response. */
export class UserApi {
  readonly #jobs: JobReader;
  readonly #answers: JobAnswers;
  readonly #submission: JobSubmission;
  readonly #cancellation: JobCancellation;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    /** Has a round run soon: called when a job of a shard that is owned here changed. */
    wake: () => void,
    /** Whether a cancellation that is written is known to its owner, so that a user may be told. */
    confirm: (notice: CancellationNotice) => Promise<boolean>,
  ) {
    const maxOps = ctx.settings.state.txnOps;
    const maxConditions = maxOps * CONDITIONS_PER_OP;
    const jobs = new JobReader(ctx.store, ctx.replica, maxConditions);
    const writes = new GroupCommit(ctx.store, { maxOps, maxConditions });
    this.#jobs = jobs;
    const answers = new JobAnswers(ctx, jobs, confirm);
    this.#answers = answers;
    const parts = { ctx, jobs, writes, answers, wake };
    this.#submission = new JobSubmission(parts);
    this.#cancellation = new JobCancellation(parts);
  }

  /** Counters of the questions for jobs since the start. */
  stats(): Readonly<Record<string, unknown>> {
    return this.#jobs.counters;
  }

  /** Accepts a job, or says why not; a known job is answered with its status. */
  submit(bytes: Buffer): Promise<HttpResponse> {
    return this.#submission.submit(bytes);
  }

  /** The status of a job; the id is as it came. */
  async getStatus(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return UNKNOWN_JOB;
    const found = await this.#jobs.read(jobId(id));
    // Read before a process pause, perhaps: another controller may have answered with more since.
    if (found.kind === "live" && monotonicNow() - found.asOf > STALE_READ_MS) return tryAgain(503);
    return this.#answers.about(jobId(id), found);
  }

  /** Cancels a job, and answers once that is certain; the id is as it came. */
  cancel(id: string): Promise<HttpResponse> {
    return isJobId(id) ? this.#cancellation.cancel(jobId(id)) : Promise.resolve(UNKNOWN_JOB);
  }

  /**
   * Ready once requests can be served. An outage of the state store is answered, not hidden; but a
   * controller that is isolated leaves its users to the others.
   */
  readiness(): HttpResponse {
    const knowsTypes = this.ctx.isReplicaSynced && this.ctx.replica.machineTypes !== undefined;
    return readiness(
      knowsTypes && this.membership.isRegistered() && this.membership.canServeUsers(),
    );
  }
}
