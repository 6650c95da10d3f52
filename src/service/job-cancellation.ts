/**
 * Cancelling jobs: writes the time of the cancellation into the job's record and answers.
 *
 * Nothing here has state. Invariant: the record is written on the condition of the revision that was
 * read, so that neither a final record nor an earlier cancellation is ever overwritten.
 */
import type { JobId } from "@umberfold/ids";
import { applyCommitted } from "../coordination/context.js";
import type { JobLookup } from "../storage/job-reader.js";
import { encodeAcceptedJob, keys } from "../storage/records.js";
import { monotonicNow, wallClockNow } from "../transport/clock.js";
import type { HttpResponse } from "../transport/server.js";
import type { JobWriteParts } from "./job-write-parts.js";
import { tryAgain } from "./user-responses.js";

/** How often, and for how long, a write is tried again that met with another's. */
const MAX_ATTEMPTS = 5;
const MAX_ATTEMPTS_MS = 2000;

/** Cancels the jobs that users withdraw. */
export class JobCancellation {
  constructor(private readonly parts: JobWriteParts) {}

  /** Idempotent: a job that is finished or cancelled is answered as it is. */
  async cancel(id: JobId): Promise<HttpResponse> {
    const { ctx, jobs, writes, answers, wake } = this.parts;
    const deadline = monotonicNow() + MAX_ATTEMPTS_MS;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && monotonicNow() < deadline; attempt++) {
      // The write is conditional, so the replica's copy will do to begin with.
      const found = (attempt === 0 && this.#fromReplica(id)) || (await jobs.read(id));
      if (found.kind !== "live") return answers.about(id, found);
      if (found.job.cancelledAt !== null) return answers.about(id, found);
      if (!ctx.store.tryTakeUrgentWriteBudget(1)) return tryAgain(429);
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
        const asOf = monotonicNow();
        return answers.aboutCancelled(id, {
          kind: "live",
          job: cancelled,
          rev: result.rev,
          asOf,
        });
      }
      // The owner wrote between our read and our write: read again.
      if (result.kind !== "conflict") return tryAgain(503);
    }
    return tryAgain(503);
  }

  /** A live job as the replica has it, which another controller may have changed since. */
  #fromReplica(id: JobId): JobLookup | undefined {
    const accepted = this.parts.ctx.replica.acceptedJobs.get(id);
    if (accepted === undefined) return undefined;
    const { value: job, rev } = accepted;
    return { kind: "live", job, rev, asOf: monotonicNow() };
  }
}
