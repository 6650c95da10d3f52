/**
 * Cancels jobs: writes the time of the cancellation into the job's live record and responds.
 *
 * Stateless. Invariant: the write is conditional on the revision that was read, so that neither a
 * finished job nor an earlier cancellation is ever overwritten.
 */
import type { JobId } from "@umberfold/ids";
import { applyCommitted } from "../coordination/context.js";
import type { JobLookup } from "../storage/job-reader.js";
import { encodeAcceptedJob, keys } from "../storage/records.js";
import { monotonicNow, wallClockNow } from "../transport/clock.js";
import { type JobAnswer, lastingAnswer } from "./answer-freshness.js";
import type { JobWriteDependencies } from "./job-write-parts.js";
import { tryAgain } from "./user-responses.js";

/** Limits on the tries of a write that conflicts with another controller's, by number and time. */
const MAX_WRITE_TRIES = 5;
const WRITE_TIMEOUT_MS = 2000;

/** Handles the users' cancel requests. */
export class JobCancellation {
  constructor(private readonly dependencies: JobWriteDependencies) {}

  /** Idempotent: for a job that is finished or cancelled already, responds with its status. */
  async cancel(id: JobId): Promise<JobAnswer> {
    const { ctx, jobs, writes, answers, wake } = this.dependencies;
    const deadline = monotonicNow() + WRITE_TIMEOUT_MS;
    for (let tryIndex = 0; tryIndex < MAX_WRITE_TRIES && monotonicNow() < deadline; tryIndex++) {
      // The first try uses the replica's copy, which may be stale: the write is conditional.
      const found = (tryIndex === 0 && this.#fromReplica(id)) || (await jobs.read(id));
      if (found.kind !== "live") return answers.answer(id, found);
      if (found.job.cancelledAt !== null) return answers.answer(id, found);
      if (!ctx.store.tryTakeUrgentWriteBudget(1)) return lastingAnswer(tryAgain(429));
      const key = keys.live(id);
      const cancelled = { ...found.job, cancelledAt: wallClockNow() };
      const operations = [{ kind: "put", key, value: encodeAcceptedJob(cancelled) }] as const;
      const result = await writes.commit({
        conditions: [{ key, rev: found.rev }],
        ops: operations,
      });
      if (result.kind === "applied") {
        applyCommitted(ctx.replica, operations, result.rev);
        wake();
        const { rev, sentAt } = result;
        return answers.answerCancelled(id, { kind: "live", job: cancelled, rev, asOf: sentAt });
      }
      // A conflict: the record changed between the read and the write. Read it again.
      if (result.kind !== "conflict") return lastingAnswer(tryAgain(503));
    }
    return lastingAnswer(tryAgain(503));
  }

  /** A live job from the replica; another controller may have changed its record since. */
  #fromReplica(id: JobId): JobLookup | undefined {
    const accepted = this.dependencies.ctx.replica.acceptedJobs.get(id);
    if (accepted === undefined) return undefined;
    const { value: job, rev } = accepted;
    return { kind: "live", job, rev, asOf: monotonicNow() };
  }
}
