/**
 * Accepts jobs: validates a submission, writes the job's record and responds.
 *
 * Its state is the number of submissions in flight. Invariant: submission is idempotent by job id.
 * A repeated submission of an accepted job gets that job's status, even if its other fields differ
 * or are invalid. This is ensured by reading the state store or by the conditions of the write.
 */
import { type JobId, KEY_ABSENT } from "@umberfold/ids";
import { applyCommitted } from "../coordination/context.js";
import {
  acceptedBody,
  type JobSpec,
  parseSubmission,
  parseSubmissionId,
} from "../protocol/jobs.js";
import { fits } from "../scheduling/resources.js";
import { encodeAcceptedJob, keys, newJob } from "../storage/records.js";
import { monotonicNow, wallClockNow } from "../transport/clock.js";
import { decodeBody } from "../transport/server.js";
import { absentAnswer, type JobAnswer, lastingAnswer, writtenAnswer } from "./answer-freshness.js";
import type { JobWriteDependencies } from "./job-write-parts.js";
import { malformed, NOT_CBOR, neverRuns, tryAgain } from "./user-responses.js";

/** Lower bound of the limit on submissions in flight. */
const MIN_PENDING_LIMIT = 4;

/** Whether a task of a job fits some machine type and its team's limit. */
type Runnability =
  | { readonly kind: "runnable" }
  | { readonly kind: "never_runs"; readonly reason: string };

const notRunnable = (reason: string): Runnability => ({ kind: "never_runs", reason });

const NOT_CBOR_ANSWER = lastingAnswer(NOT_CBOR);

/** Handles the users' submissions. */
export class JobSubmission {
  #pendingCount = 0;

  constructor(private readonly dependencies: JobWriteDependencies) {}

  /**
   * Decodes and handles a submission. Not an async function: another Promise would cost each
   * submission several turns of the microtask queue.
   */
  submit(bytes: Buffer): Promise<JobAnswer> {
    const decoded = decodeBody(bytes);
    if (!decoded.ok) return Promise.resolve(NOT_CBOR_ANSWER);
    const parsed = parseSubmission(decoded.value);
    return parsed.ok
      ? this.#submitParsed(parsed.value)
      : this.#refuse(parseSubmissionId(decoded.value), parsed.reason);
  }

  /** Rejects an invalid submission, unless its id is that of a known job. */
  async #refuse(id: JobId | undefined, reason: string): Promise<JobAnswer> {
    if (id === undefined) return lastingAnswer(malformed(reason));
    const { jobs, answers } = this.dependencies;
    const found = await jobs.read(id);
    return found.kind === "none"
      ? absentAnswer(id, found.asOf, malformed(reason))
      : answers.answer(id, found);
  }

  async #submitParsed(spec: JobSpec): Promise<JobAnswer> {
    const { ctx, jobs, answers } = this.dependencies;
    // Known jobs are looked up before the checks below, which an accepted job may fail by now: the
    // settings or machine types may have changed.
    if (jobs.cachedFinalJob(spec.id) !== undefined || ctx.replica.acceptedJobs.has(spec.id)) {
      const found = await jobs.read(spec.id);
      if (found.kind !== "none") return answers.answer(spec.id, found);
    }
    if (!this.#knowsMachineTypes()) return lastingAnswer(tryAgain(503));
    const runnability = this.#runnability(spec);
    if (runnability.kind === "never_runs") {
      const found = await jobs.read(spec.id);
      return found.kind === "none"
        ? absentAnswer(spec.id, found.asOf, neverRuns(runnability.reason))
        : answers.answer(spec.id, found);
    }
    if (this.#pendingCount >= this.#maxPending() || !ctx.store.tryTakeUrgentWriteBudget(1))
      return lastingAnswer(tryAgain(429));
    this.#pendingCount++;
    const startedAt = monotonicNow();
    try {
      return await this.#accept(spec);
    } finally {
      ctx.metrics.record("accept", monotonicNow() - startedAt);
      this.#pendingCount--;
    }
  }

  /** Without the machine types it is unknown whether a job could ever run. */
  #knowsMachineTypes(): boolean {
    const { replica, isReplicaSynced } = this.dependencies.ctx;
    const types = replica.machineTypes?.value;
    return isReplicaSynced && types !== undefined && types.length > 0;
  }

  /**
   * About the number of writes per second that the state store allows; more would only queue up.
   */
  #maxPending(): number {
    return Math.max(MIN_PENDING_LIMIT, Math.ceil(this.dependencies.ctx.settings.state.writeRps));
  }

  #runnability(spec: JobSpec): Runnability {
    const { replica, teams } = this.dependencies.ctx;
    const team = teams.get(spec.team);
    if (team === undefined) return notRunnable("unknown team");
    const types = replica.machineTypes?.value ?? [];
    const fitsSomeType = types.some(
      (type) =>
        (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
        (spec.zone === null || type.zones.includes(spec.zone)) &&
        fits(spec.resources, type.capacity),
    );
    if (!fitsSomeType) return notRunnable("a task fits no allowed machine type");
    if (spec.resources.cpus > team.cpusMax || spec.resources.gpus > team.gpusMax)
      return notRunnable("a task needs more than the team's limit");
    return { kind: "runnable" };
  }

  async #accept(spec: JobSpec): Promise<JobAnswer> {
    const { ctx, jobs, writes, answers, wake } = this.dependencies;
    const key = keys.live(spec.id);
    const shard = ctx.loadSpread?.placeJob(spec) ?? null;
    const value = encodeAcceptedJob(newJob(spec, wallClockNow(), shard));
    const operations = [{ kind: "put", key, value }] as const;
    const result = await writes.commit({
      conditions: [
        { key, rev: KEY_ABSENT },
        { key: keys.final(spec.id), rev: KEY_ABSENT },
      ],
      ops: operations,
    });
    if (result.kind === "applied") {
      applyCommitted(ctx.replica, operations, result.rev);
      wake();
      return writtenAnswer(spec.id, result, { status: 201, body: acceptedBody(spec.id) });
    }
    // A conflict means that the job exists already. Without a result from the store the write may
    // or may not have been applied, so the user is asked to retry.
    if (result.kind === "conflict") return answers.answer(spec.id, await jobs.read(spec.id));
    return lastingAnswer(tryAgain(503));
  }
}
