import { ABSENT, type JobId, jobId } from "@umberfold/ids";
import { absorb, type Context } from "../coordination/context.js";
import type { Membership } from "../coordination/membership/membership.js";
import {
  isJobId,
  type JobSpec,
  type JobView,
  jobViewBody,
  parseSubmission,
  submissionId,
} from "../protocol/jobs.js";
import type { CancelNotice } from "../protocol/peer.js";
import { CONDITIONS_PER_OP } from "../protocol/store.js";
import { fits } from "../scheduling/resources.js";
import { GroupCommit } from "../storage/group-commit.js";
import { type FoundJob, JobReader } from "../storage/job-reader.js";
import {
  type Accepted,
  doneCount,
  type FinalJob,
  keys,
  type LiveJob,
  liveValue,
  NO_PROGRESS,
  newJob,
} from "../storage/records.js";
import { steadyNow, timeOfDay } from "../transport/clock.js";
import { type Answer, decodeBody } from "../transport/server.js";

/** What was read this long ago is not told any more. */
const STALE_MS = 1000;
/** A refused user comes back after this long. */
const RETRY_S = 1;

const busy = (status = 503): Answer => ({
  status,
  retryAfterS: RETRY_S,
  body: { error: "try again" },
});

export const viewOfLive = (id: JobId, j: LiveJob): JobView => ({
  id,
  stage: j.cancelledAt !== null ? "cancelled" : j.open.length > 0 ? "running" : "queued",
  done: doneCount(j),
  running: j.open.length,
});

export const viewOfFinal = (id: JobId, f: FinalJob): JobView => ({
  id,
  stage: f.stage,
  done: f.done,
  running: 0,
});

/** The users' interface. Everything it answers about a job has been read from the state service. */
export class Users {
  readonly #jobs: JobReader;
  readonly #writes: GroupCommit;
  #pending = 0;

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    /** Called when a job of a shard held here changed. */
    private readonly wake: () => void,
    /** Whether a cancellation that is written is held to, so that a user may be told of it. */
    private readonly confirm: (w: CancelNotice) => Promise<boolean>,
  ) {
    const mostOps = ctx.settings.state.txnOps;
    const mostConditions = mostOps * CONDITIONS_PER_OP;
    this.#jobs = new JobReader(ctx.store, ctx.replica, mostConditions);
    this.#writes = new GroupCommit(ctx.store, { mostOps, mostConditions });
  }

  stats(): Readonly<Record<string, unknown>> {
    return this.#jobs.counters;
  }

  async submit(bytes: Buffer): Promise<Answer> {
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
    const types = ctx.replica.types?.value;
    if (!ctx.synced || types === undefined || types.length === 0) return busy();
    const refusal = this.#neverRuns(spec);
    if (refusal !== undefined) {
      const found = await this.#jobs.read(spec.id);
      if (found.kind !== "none") return this.#answer(spec.id, found);
      return { status: 422, body: { error: refusal } };
    }
    if (this.#pending >= this.#mostPending() || !ctx.store.mayWriteNow(1)) return busy(429);
    this.#pending++;
    const began = steadyNow();
    try {
      return await this.#accept(spec);
    } finally {
      ctx.metrics.record("accept", steadyNow() - began);
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
    const types = replica.types?.value ?? [];
    const some = types.some(
      (t) =>
        (spec.types === null || spec.types.includes(t.name)) &&
        (spec.zone === null || t.zones.includes(spec.zone)) &&
        fits(spec.needs, t.capacity),
    );
    if (!some) return "a task fits no allowed machine type";
    if (spec.needs.cpus > team.cpusMax || spec.needs.gpus > team.gpusMax)
      return "a task needs more than the team's limit";
    return undefined;
  }

  async #accept(spec: JobSpec): Promise<Answer> {
    const { ctx } = this;
    const key = keys.live(spec.id);
    const shard = ctx.loadSpread?.placeJob(spec) ?? null;
    const value = liveValue(newJob(spec, timeOfDay(), shard));
    const ops = [{ kind: "put", key, value }] as const;
    const r = await this.#writes.commit({
      conditions: [
        { key, rev: ABSENT },
        { key: keys.final(spec.id), rev: ABSENT },
      ],
      ops,
    });
    if (r.kind === "applied") {
      absorb(ctx.replica, ops, r.rev);
      this.wake();
      return { status: 201, body: { uid: spec.id, stage: "queued" } };
    }
    // A conflict means it is known already. No answer means it may be: the user asks again.
    if (r.kind === "conflict") return this.#answer(spec.id, await this.#jobs.read(spec.id));
    return busy();
  }

  async #answer(id: JobId, found: FoundJob): Promise<Answer> {
    switch (found.kind) {
      case "live":
        if (found.job.cancelledAt !== null) return this.#cancelled(id, found);
        return {
          status: 200,
          body: jobViewBody(viewOfLive(id, this.#withProgress(id, found.job))),
        };
      case "final":
        return { status: 200, body: jobViewBody(viewOfFinal(id, found.job)) };
      case "none":
        return { status: 404, body: { error: "unknown job" } };
      case "unavailable":
        return busy();
    }
  }

  /** Each answer that says `cancelled` binds as the first one does, whatever was asked. */
  async #cancelled(id: JobId, found: Extract<FoundJob, { kind: "live" }>): Promise<Answer> {
    const { job, rev } = found;
    const view = viewOfLive(id, this.#withProgress(id, job));
    if (job.cancelledAt !== null && (await this.confirm({ job: id, rev, at: job.cancelledAt })))
      return { status: 200, body: jobViewBody(view) };
    // All of it may be gone by now.
    const now = await this.#jobs.read(id);
    return now.kind === "final" ? this.#answer(id, now) : busy();
  }

  /** How far it has come is for display, and as old as what this controller has heard. */
  #withProgress(id: JobId, a: Accepted): LiveJob {
    const { done, open, nextAttempt } = this.ctx.replica.job(id) ?? NO_PROGRESS;
    return { ...a, done, open, nextAttempt };
  }

  async poll(id: string): Promise<Answer> {
    if (!isJobId(id)) return { status: 404, body: { error: "unknown job" } };
    const found = await this.#jobs.read(jobId(id));
    // Read before this process stood still, perhaps: another controller may have told more since.
    if (found.kind === "live" && steadyNow() - found.askedAt > STALE_MS) return busy();
    return this.#answer(jobId(id), found);
  }

  async cancel(id: string): Promise<Answer> {
    if (!isJobId(id)) return { status: 404, body: { error: "unknown job" } };
    const job = jobId(id);
    const { ctx } = this;
    const deadline = steadyNow() + 2000;
    for (let tries = 0; tries < 5 && steadyNow() < deadline; tries++) {
      // The write is conditional, so what is known here will do to begin with.
      const found = (tries === 0 && this.#known(job)) || (await this.#jobs.read(job));
      if (found.kind !== "live") return this.#answer(job, found);
      if (found.job.cancelledAt !== null) return this.#answer(job, found);
      if (!ctx.store.mayWriteNow(1)) return busy(429);
      const key = keys.live(job);
      const cancelled = { ...found.job, cancelledAt: timeOfDay() };
      const ops = [{ kind: "put", key, value: liveValue(cancelled) }] as const;
      const r = await this.#writes.commit({ conditions: [{ key, rev: found.rev }], ops });
      if (r.kind === "applied") {
        absorb(ctx.replica, ops, r.rev);
        this.wake();
        const askedAt = steadyNow();
        return this.#cancelled(job, { kind: "live", job: cancelled, rev: r.rev, askedAt });
      }
      // The owner wrote between our read and our write: read again.
      if (r.kind !== "conflict") return busy();
    }
    return busy();
  }

  /** A live job as this controller has heard of it, which another may have changed since. */
  #known(id: JobId): FoundJob | undefined {
    const accepted = this.ctx.replica.accepted.get(id);
    if (accepted === undefined) return undefined;
    const { value: job, rev } = accepted;
    return { kind: "live", job, rev, askedAt: steadyNow() };
  }

  /**
   * Ready once requests can be served. An outage of the state service is answered, not hidden; but
   * one whom it alone doesn't serve leaves its users to the others.
   */
  ready(): Answer {
    const known = this.ctx.synced && this.ctx.replica.types !== undefined;
    const fit = known && this.membership.joined() && this.membership.servesUsers();
    return fit ? { status: 200 } : { status: 503, retryAfterS: 1 };
  }
}
