/**
 * The users' interface: submissions, cancellations, status requests and readiness.
 *
 * It owns the job reader and the group commit that all user requests share. Invariant: a response
 * about a job is based on a record that was read from the state store or was just written there.
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

/** A read that was requested longer ago than this is stale and is not used for a response. */
const STALE_READ_MS = 1000;

/** Handles user requests; each method returns the whole response. */
export class UserApi {
  readonly #jobs: JobReader;
  readonly #answers: JobAnswers;
  readonly #submission: JobSubmission;
  readonly #cancellation: JobCancellation;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    /** Makes a scheduling round run soon; called after a job was written. */
    wake: () => void,
    /** Whether the job's owner has confirmed a written cancellation; only then a user is told. */
    confirm: (notice: CancellationNotice) => Promise<boolean>,
  ) {
    const maxOps = ctx.settings.state.txnOps;
    const maxConditions = maxOps * CONDITIONS_PER_OP;
    const jobs = new JobReader(ctx.store, ctx.replica, maxConditions);
    const writes = new GroupCommit(ctx.store, { maxOps, maxConditions });
    this.#jobs = jobs;
    const answers = new JobAnswers(ctx, jobs, confirm);
    this.#answers = answers;
    const dependencies = { ctx, jobs, writes, answers, wake };
    this.#submission = new JobSubmission(dependencies);
    this.#cancellation = new JobCancellation(dependencies);
  }

  /** Counters of job lookups since the start. */
  stats(): Readonly<Record<string, unknown>> {
    return this.#jobs.counters;
  }

  /**
   * Accepts a job or gives the reason for refusing it; for a known job, responds with its status.
   */
  submit(bytes: Buffer): Promise<HttpResponse> {
    return this.#submission.submit(bytes);
  }

  /** The status of a job; `id` is not validated yet. */
  async getStatus(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return UNKNOWN_JOB;
    const found = await this.#jobs.read(jobId(id));
    // The read may date from before a process pause; another controller may have reported more
    // progress to the user since.
    if (found.kind === "live" && monotonicNow() - found.asOf > STALE_READ_MS) return tryAgain(503);
    return this.#answers.answer(jobId(id), found);
  }

  /** Cancels a job and responds after the cancellation is confirmed; `id` is not validated yet. */
  cancel(id: string): Promise<HttpResponse> {
    return isJobId(id) ? this.#cancellation.cancel(jobId(id)) : Promise.resolve(UNKNOWN_JOB);
  }

  /**
   * Ready when this controller can serve requests. It stays ready during an outage of the state
   * store, when every controller can only respond with errors, but not while it alone is isolated:
   * then the load balancer must send users to the others.
   */
  readiness(): HttpResponse {
    const knowsTypes = this.ctx.isReplicaSynced && this.ctx.replica.machineTypes !== undefined;
    return readiness(
      knowsTypes && this.membership.isRegistered() && this.membership.canServeUsers(),
    );
  }
}
