/**
 * Accepting jobs: checks a submission, writes its record and answers.
 *
 * It owns the count of submissions that are being written. Invariant: a job that was accepted once
 * is answered as known ever after, whatever a repetition of its submission says; that is read from
 * the state store or secured by the conditions of the write.
 */
import { type JobId, KEY_ABSENT } from "@umberfold/ids";
import { applyCommitted } from "../coordination/context.js";
import { acceptedBody, type JobSpec, parseSubmission, submissionId } from "../protocol/jobs.js";
import { fits } from "../scheduling/resources.js";
import { encodeAcceptedJob, keys, newJob } from "../storage/records.js";
import { monotonicNow, wallClockNow } from "../transport/clock.js";
import { decodeBody, type HttpResponse } from "../transport/server.js";
import type { JobWriteParts } from "./job-write-parts.js";
import { malformed, NOT_CBOR, neverRuns, tryAgain } from "./user-responses.js";

const MIN_PENDING = 4;

/** Whether a task of a job could run on some machine and within its team's limit. */
type Runnability =
  | { readonly kind: "runnable" }
  | { readonly kind: "never_runs"; readonly reason: string };

const never = (reason: string): Runnability => ({ kind: "never_runs", reason });

/** Accepts the jobs that users submit. */
export class JobSubmission {
  #pending = 0;

  constructor(private readonly parts: JobWriteParts) {}

  /**
   * Answers a submission, of which only the bytes are known. Not async itself: one more Promise
   * would be several turns of the queue for each submission.
   */
  submit(bytes: Buffer): Promise<HttpResponse> {
    const decoded = decodeBody(bytes);
    if (!decoded.ok) return Promise.resolve(NOT_CBOR);
    const parsed = parseSubmission(decoded.value);
    return parsed.ok
      ? this.#submitParsed(parsed.value)
      : this.#refuse(submissionId(decoded.value), parsed.reason);
  }

  /** A known job is answered before any check of what else a repetition says. */
  async #refuse(id: JobId | undefined, reason: string): Promise<HttpResponse> {
    const { jobs, answers } = this.parts;
    const found = id === undefined ? undefined : await jobs.read(id);
    if (id !== undefined && found !== undefined && found.kind !== "none")
      return answers.about(id, found);
    return malformed(reason);
  }

  async #submitParsed(spec: JobSpec): Promise<HttpResponse> {
    const { ctx, jobs, answers } = this.parts;
    // Known jobs come first: settings or types may have changed since they were accepted.
    if (jobs.cachedFinalJob(spec.id) !== undefined || ctx.replica.acceptedJobs.has(spec.id)) {
      const found = await jobs.read(spec.id);
      if (found.kind !== "none") return answers.about(spec.id, found);
    }
    if (!this.#knowsMachineTypes()) return tryAgain(503);
    const runnability = this.#runnability(spec);
    if (runnability.kind === "never_runs") {
      const found = await jobs.read(spec.id);
      if (found.kind !== "none") return answers.about(spec.id, found);
      return neverRuns(runnability.reason);
    }
    if (this.#pending >= this.#maxPending() || !ctx.store.tryTakeUrgentWriteBudget(1))
      return tryAgain(429);
    this.#pending++;
    const startedAt = monotonicNow();
    try {
      return await this.#accept(spec);
    } finally {
      ctx.metrics.record("accept", monotonicNow() - startedAt);
      this.#pending--;
    }
  }

  /** Without them it can't be told whether a job could ever run. */
  #knowsMachineTypes(): boolean {
    const { replica, isReplicaSynced } = this.parts.ctx;
    const types = replica.machineTypes?.value;
    return isReplicaSynced && types !== undefined && types.length > 0;
  }

  /** About what the state store lets us write in a second; more would only wait its turn. */
  #maxPending(): number {
    return Math.max(MIN_PENDING, Math.ceil(this.parts.ctx.settings.state.writeRps));
  }

  #runnability(spec: JobSpec): Runnability {
    const { replica, teams } = this.parts.ctx;
    const team = teams.get(spec.team);
    if (team === undefined) return never("unknown team");
    const types = replica.machineTypes?.value ?? [];
    const fitsSomeType = types.some(
      (type) =>
        (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
        (spec.zone === null || type.zones.includes(spec.zone)) &&
        fits(spec.resources, type.capacity),
    );
    if (!fitsSomeType) return never("a task fits no allowed machine type");
    if (spec.resources.cpus > team.cpusMax || spec.resources.gpus > team.gpusMax)
      return never("a task needs more than the team's limit");
    return { kind: "runnable" };
  }

  async #accept(spec: JobSpec): Promise<HttpResponse> {
    const { ctx, jobs, writes, answers, wake } = this.parts;
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
      return { status: 201, body: acceptedBody(spec.id) };
    }
    // A conflict means it is known already. No answer means it may be: the user asks again.
    if (result.kind === "conflict") return answers.about(spec.id, await jobs.read(spec.id));
    return tryAgain(503);
  }
}
