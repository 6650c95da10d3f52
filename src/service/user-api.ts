import { type JobId, jobId, KEY_ABSENT } from "@umberfold/ids";
import { applyCommitted, type ControllerContext } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import {
  isJobId,
  type JobSpec,
  type JobStatus,
  jobStatusBody,
  parseSubmission,
  submissionId,
} from "../protocol/jobs.js";
import type { CancellationNotice } from "../protocol/peer.js";
import { CONDITIONS_PER_OP } from "../protocol/store.js";
import { fits } from "../scheduling/resources.js";
import { GroupCommit } from "../storage/group-commit.js";
import { type JobLookup, JobReader } from "../storage/job-reader.js";
import {
  type AcceptedJob,
  completedTaskCount,
  encodeAcceptedJob,
  type FinalJob,
  keys,
  type LiveJob,
  NO_PROGRESS,
  newJob,
} from "../storage/records.js";
import { monotonicNow, wallClockNow } from "../transport/clock.js";
import { decodeBody, type HttpResponse } from "../transport/server.js";

/** What was read this long ago is not told any more. */
const STALE_MS = 1000;
/** A refused user comes back after this long. */
const RETRY_S = 1;

const busy = (status = 503): HttpResponse => ({
  status,
  retryAfterS: RETRY_S,
  body: { error: "try again" },
});

export const liveJobStatus = (id: JobId, j: LiveJob): JobStatus => ({
  id,
  phase: j.cancelledAt !== null ? "cancelled" : j.open.length > 0 ? "running" : "queued",
  done: completedTaskCount(j),
  running: j.open.length,
});

export const finalJobStatus = (id: JobId, f: FinalJob): JobStatus => ({
  id,
  phase: f.phase,
  done: f.done,
  running: 0,
});

/** The users' interface. Everything it answers about a job has been read from the state service. */
export class UserApi {
  readonly #jobs: JobReader;
  readonly #writes: GroupCommit;
  #pending = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly membership: Membership,
    /** Called when a job of a shard held here changed. */
    private readonly wake: () => void,
    /** Whether a cancellation that is written is held to, so that a user may be told of it. */
    private readonly confirm: (w: CancellationNotice) => Promise<boolean>,
  ) {
    const maxOps = ctx.settings.state.txnOps;
    const maxConditions = maxOps * CONDITIONS_PER_OP;
    this.#jobs = new JobReader(ctx.store, ctx.replica, maxConditions);
    this.#writes = new GroupCommit(ctx.store, { maxOps, maxConditions });
  }

  stats(): Readonly<Record<string, unknown>> {
    return this.#jobs.counters;
  }

  async submit(bytes: Buffer): Promise<HttpResponse> {
    const { ctx } = this;
    const decoded = decodeBody(bytes);
    if (!decoded.ok) return { status: 400, body: { error: "not CBOR" } };
    const parsed = parseSubmission(decoded.value);
    if (!parsed.ok) {
      // A known job is answered before any check of what else a repetition says.
      const id = submissionId(decoded.value);
      const found = id === undefined ? undefined : await this.#jobs.read(id);
      if (id !== undefined && found !== undefined && found.kind !== "none")
        return this.#answer(id, found);
      return { status: 400, body: { error: parsed.reason } };
    }
    const spec = parsed.value;
    // Known jobs come first: settings or types may have changed since they were accepted.
    if (this.#jobs.finalOf(spec.id) !== undefined || ctx.replica.accepted.has(spec.id)) {
      const found = await this.#jobs.read(spec.id);
      if (found.kind !== "none") return this.#answer(spec.id, found);
    }
    const types = ctx.replica.machineTypes?.value;
    if (!ctx.synced || types === undefined || types.length === 0) return busy();
    const refusal = this.#neverRuns(spec);
    if (refusal !== undefined) {
      const found = await this.#jobs.read(spec.id);
      if (found.kind !== "none") return this.#answer(spec.id, found);
      return { status: 422, body: { error: refusal } };
    }
    if (this.#pending >= this.#mostPending() || !ctx.store.mayWriteNow(1)) return busy(429);
    this.#pending++;
    const began = monotonicNow();
    try {
      return await this.#accept(spec);
    } finally {
      ctx.metrics.record("accept", monotonicNow() - began);
      this.#pending--;
    }
  }

  /** About what the state service lets us write in a second; more would only wait its turn. */
  #mostPending(): number {
    return Math.max(4, Math.ceil(this.ctx.settings.state.writeRps));
  }

  #neverRuns(spec: JobSpec): string | undefined {
    const { replica } = this.ctx;
    const team = this.ctx.teams.get(spec.team);
    if (team === undefined) return "unknown team";
    const types = replica.machineTypes?.value ?? [];
    const some = types.some(
      (t) =>
        (spec.machineTypes === null || spec.machineTypes.includes(t.name)) &&
        (spec.zone === null || t.zones.includes(spec.zone)) &&
        fits(spec.resources, t.capacity),
    );
    if (!some) return "a task fits no allowed machine type";
    if (spec.resources.cpus > team.cpusMax || spec.resources.gpus > team.gpusMax)
      return "a task needs more than the team's limit";
    return undefined;
  }

  async #accept(spec: JobSpec): Promise<HttpResponse> {
    const { ctx } = this;
    const key = keys.live(spec.id);
    const shard = ctx.loadSpread?.placeJob(spec) ?? null;
    const value = encodeAcceptedJob(newJob(spec, wallClockNow(), shard));
    const ops = [{ kind: "put", key, value }] as const;
    const r = await this.#writes.commit({
      conditions: [
        { key, rev: KEY_ABSENT },
        { key: keys.final(spec.id), rev: KEY_ABSENT },
      ],
      ops,
    });
    if (r.kind === "applied") {
      applyCommitted(ctx.replica, ops, r.rev);
      this.wake();
      return { status: 201, body: { uid: spec.id, stage: "queued" } };
    }
    // A conflict means it is known already. No answer means it may be: the user asks again.
    if (r.kind === "conflict") return this.#answer(spec.id, await this.#jobs.read(spec.id));
    return busy();
  }

  async #answer(id: JobId, found: JobLookup): Promise<HttpResponse> {
    switch (found.kind) {
      case "live":
        if (found.job.cancelledAt !== null) return this.#cancelled(id, found);
        return {
          status: 200,
          body: jobStatusBody(liveJobStatus(id, this.#withProgress(id, found.job))),
        };
      case "final":
        return { status: 200, body: jobStatusBody(finalJobStatus(id, found.job)) };
      case "none":
        return { status: 404, body: { error: "unknown job" } };
      case "unavailable":
        return busy();
    }
  }

  /** Each answer that says `cancelled` binds as the first one does, whatever was asked. */
  async #cancelled(id: JobId, found: Extract<JobLookup, { kind: "live" }>): Promise<HttpResponse> {
    const { job, rev } = found;
    const view = liveJobStatus(id, this.#withProgress(id, job));
    if (job.cancelledAt !== null && (await this.confirm({ job: id, rev, at: job.cancelledAt })))
      return { status: 200, body: jobStatusBody(view) };
    // All of it may be gone by now.
    const now = await this.#jobs.read(id);
    return now.kind === "final" ? this.#answer(id, now) : busy();
  }

  /** How far it has come is for display, and as old as what this controller has heard. */
  #withProgress(id: JobId, a: AcceptedJob): LiveJob {
    const { done, open, nextAttempt } = this.ctx.replica.job(id) ?? NO_PROGRESS;
    return { ...a, done, open, nextAttempt };
  }

  async getStatus(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return { status: 404, body: { error: "unknown job" } };
    const found = await this.#jobs.read(jobId(id));
    // Read before this process stood still, perhaps: another controller may have told more since.
    if (found.kind === "live" && monotonicNow() - found.askedAt > STALE_MS) return busy();
    return this.#answer(jobId(id), found);
  }

  async cancel(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return { status: 404, body: { error: "unknown job" } };
    const job = jobId(id);
    const { ctx } = this;
    const deadline = monotonicNow() + 2000;
    for (let tries = 0; tries < 5 && monotonicNow() < deadline; tries++) {
      // The write is conditional, so what is known here will do to begin with.
      const found = (tries === 0 && this.#known(job)) || (await this.#jobs.read(job));
      if (found.kind !== "live") return this.#answer(job, found);
      if (found.job.cancelledAt !== null) return this.#answer(job, found);
      if (!ctx.store.mayWriteNow(1)) return busy(429);
      const key = keys.live(job);
      const cancelled = { ...found.job, cancelledAt: wallClockNow() };
      const ops = [{ kind: "put", key, value: encodeAcceptedJob(cancelled) }] as const;
      const r = await this.#writes.commit({ conditions: [{ key, rev: found.rev }], ops });
      if (r.kind === "applied") {
        applyCommitted(ctx.replica, ops, r.rev);
        this.wake();
        const askedAt = monotonicNow();
        return this.#cancelled(job, { kind: "live", job: cancelled, rev: r.rev, askedAt });
      }
      // The owner wrote between our read and our write: read again.
      if (r.kind !== "conflict") return busy();
    }
    return busy();
  }

  /** A live job as this controller has heard of it, which another may have changed since. */
  #known(id: JobId): JobLookup | undefined {
    const accepted = this.ctx.replica.accepted.get(id);
    if (accepted === undefined) return undefined;
    const { value: job, rev } = accepted;
    return { kind: "live", job, rev, askedAt: monotonicNow() };
  }

  /**
   * Ready once requests can be served. An outage of the state service is answered, not hidden; but
   * one whom it alone doesn't serve leaves its users to the others.
   */
  readiness(): HttpResponse {
    const known = this.ctx.synced && this.ctx.replica.machineTypes !== undefined;
    const fit = known && this.membership.isRegistered() && this.membership.canServeUsers();
    return fit ? { status: 200 } : { status: 503, retryAfterS: 1 };
  }
}
