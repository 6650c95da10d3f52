/**
 * The users' interface: submissions, cancellations, status requests and readiness.
 *
 * It owns the job reader and the group commit that all user requests share. Invariant: a response
 * about a job is based on a record that was read from the state store or was just written there,
 * and passes `AnswerFreshness` before it is returned.
 */
import { jobId } from "@umberfold/ids";
import type { ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import { isJobId } from "../protocol/jobs.js";
import type { CancellationNotice } from "../protocol/peer.js";
import { CONDITION_LIMIT_RATIO } from "../protocol/store.js";
import { GroupCommit } from "../storage/group-commit.js";
import { JobReader } from "../storage/job-reader.js";
import type { HttpResponse } from "../transport/server.js";
import { AnswerFreshness } from "./answer-freshness.js";
import { JobAnswers } from "./job-answers.js";
import { JobCancellation } from "./job-cancellation.js";
import { JobSubmission } from "./job-submission.js";
import { readiness, UNKNOWN_JOB } from "./user-responses.js";

/** Handles user requests; each method returns the whole response. */
export class UserApi {
  readonly #jobs: JobReader;
  readonly #answers: JobAnswers;
  readonly #freshness: AnswerFreshness;
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
    const maxConditions = maxOps * CONDITION_LIMIT_RATIO;
    const jobs = new JobReader(ctx.store, ctx.replica, maxConditions);
    const writes = new GroupCommit(ctx.store, { maxOps, maxConditions });
    this.#jobs = jobs;
    const answers = new JobAnswers(ctx, jobs, confirm);
    this.#answers = answers;
    this.#freshness = new AnswerFreshness(ctx.replica);
    const dependencies = { ctx, jobs, writes, answers, wake };
    this.#submission = new JobSubmission(dependencies);
    this.#cancellation = new JobCancellation(dependencies);
  }

  /** Counters of job lookups, and of responses that were withheld, since the start. */
  stats(): Readonly<Record<string, unknown>> {
    return { ...this.#jobs.counters, ...this.#freshness.counters };
  }

  /**
   * Accepts a job or gives the reason for refusing it; for a known job, responds with its status.
   */
  submit(bytes: Buffer): Promise<HttpResponse> {
    return this.#freshness.respond(() => this.#submission.submit(bytes));
  }

  /** The status of a job; `id` is not validated yet. */
  getStatus(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return Promise.resolve(UNKNOWN_JOB);
    const job = jobId(id);
    return this.#freshness.respond(async () =>
      this.#answers.answer(job, await this.#jobs.read(job)),
    );
  }

  /** Cancels a job and responds after the cancellation is confirmed; `id` is not validated yet. */
  cancel(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return Promise.resolve(UNKNOWN_JOB);
    return this.#freshness.respond(() => this.#cancellation.cancel(jobId(id)));
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
