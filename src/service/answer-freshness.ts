/**
 * Decides whether a response about a job may still be sent, given when the state that it reports
 * was read.
 *
 * Once a user has been told that a job is accepted, done or cancelled, no controller may answer
 * with an older state. A read that begins after that shows the newer state by itself. One that
 * began before may not, and its answer may be delayed: the state store's answer can be slow, and
 * this process can be paused at any await. So each response is checked in the last step before it
 * is returned, for all requests of users alike:
 *
 * - A response is withheld if the request that confirmed its state was sent too long ago.
 * - It is produced again if this controller has learned of a newer record of the job meanwhile, by
 *   the watch, a cancellation notice or a write of its own. If the state is not quite recent, the
 *   messages that have arrived are handled first.
 *
 * What remains possible is a response that leaves within `MAX_READ_AGE_MS` after its read began,
 * to a request sent before another controller answered the user with a newer state, while no
 * message about that state has reached this controller.
 */
import { type JobId, KEY_ABSENT, type MonotonicMs, type Revision } from "@umberfold/ids";
import { keys } from "../storage/records.js";
import type { Replica } from "../storage/replica.js";
import { CALL_TIMEOUT_MS } from "../storage/state-store.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import type { HttpResponse } from "../transport/server.js";
import { tryAgain } from "./user-responses.js";

/** A job's live record at a revision, or its absence; both can change. */
interface RecordBasis {
  readonly kind: "record";
  readonly job: JobId;
  readonly rev: Revision;
  /** When the request that confirmed the record was sent to the state store. */
  readonly asOf: MonotonicMs;
  /** The response is withheld if `asOf` is longer ago than this. */
  readonly maxAgeMs: number;
}

/** What a response rests on: `lasting` is a final state, a cancellation, or no state at all. */
export type AnswerBasis = { readonly kind: "lasting" } | RecordBasis;

/** A response to a user, and what it rests on. */
export interface JobAnswer {
  readonly response: HttpResponse;
  readonly basis: AnswerBasis;
}

/** Longest time between the start of a read and the response that reports the state read. */
const MAX_READ_AGE_MS = 1000;
/** A state older than this is only reported after the messages that have arrived are handled. */
const RECENT_READ_AGE_MS = 100;
/** Long enough for the event loop to handle the messages that have arrived. */
const BACKLOG_DELAY_MS = 5;
/** How often a response is produced again because the job's record has changed meanwhile. */
const MAX_REPEATS = 2;

const LASTING: AnswerBasis = { kind: "lasting" };

/** An answer whose state never changes, or that reports none. */
export const lastingAnswer = (response: HttpResponse): JobAnswer => ({ response, basis: LASTING });

/** An answer that reports the state of a job's live record. */
export const liveAnswer = (
  job: JobId,
  { rev, asOf }: { readonly rev: Revision; readonly asOf: MonotonicMs },
  response: HttpResponse,
): JobAnswer => ({
  response,
  basis: { kind: "record", job, rev, asOf, maxAgeMs: MAX_READ_AGE_MS },
});

/** An answer that is only right if the job has not been accepted. */
export const absentAnswer = (job: JobId, asOf: MonotonicMs, response: HttpResponse): JobAnswer =>
  liveAnswer(job, { rev: KEY_ABSENT, asOf }, response);

/**
 * An answer that reports the job's record as this controller has just written it. A write is given
 * as long as the state store has to answer it.
 */
export const writtenAnswer = (
  job: JobId,
  { rev, sentAt }: { readonly rev: Revision; readonly sentAt: MonotonicMs },
  response: HttpResponse,
): JobAnswer => ({
  response,
  basis: { kind: "record", job, rev, asOf: sentAt, maxAgeMs: CALL_TIMEOUT_MS },
});

/** Returns responses to users only while the state that they report may be reported. */
export class AnswerFreshness {
  /**
   * `outdated`: responses withheld because their state was read too long ago; `superseded`:
   * responses produced again because the job's record had changed.
   */
  readonly counters = { outdated: 0, superseded: 0 };

  constructor(private readonly replica: Replica) {}

  /**
   * Produces an answer and returns its response if it may be sent; else produces it again or asks
   * the user to retry.
   *
   * @param produce reads or writes the job's record; must be idempotent
   */
  respond(produce: () => Promise<JobAnswer>): Promise<HttpResponse> {
    return this.#produce(produce, MAX_REPEATS);
  }

  #produce(produce: () => Promise<JobAnswer>, repeatsLeft: number): Promise<HttpResponse> {
    return produce().then((answer) => this.#check(answer, produce, repeatsLeft));
  }

  #check(
    { response, basis }: JobAnswer,
    produce: () => Promise<JobAnswer>,
    repeatsLeft: number,
  ): HttpResponse | Promise<HttpResponse> {
    if (basis.kind === "lasting") return response;
    const isRecent = monotonicNow() - basis.asOf <= RECENT_READ_AGE_MS;
    if (isRecent && this.#isNewestKnown(basis)) return response;
    return this.#checkAfterBacklog(basis).then((verdict) => {
      if (verdict === "current") return response;
      this.counters[verdict]++;
      const mayRepeat = verdict === "superseded" && repeatsLeft > 0;
      return mayRepeat ? this.#produce(produce, repeatsLeft - 1) : tryAgain(503);
    });
  }

  async #checkAfterBacklog(basis: RecordBasis): Promise<"current" | "outdated" | "superseded"> {
    await sleep(BACKLOG_DELAY_MS);
    if (monotonicNow() - basis.asOf > basis.maxAgeMs) return "outdated";
    return this.#isNewestKnown(basis) ? "current" : "superseded";
  }

  /**
   * Whether the replica holds no other revision of the record than the one reported. A record that
   * is absent from it may have been added and deleted since.
   */
  #isNewestKnown({ job, rev }: RecordBasis): boolean {
    if (rev === KEY_ABSENT && this.replica.recentlyEndedJobs.has(job)) return false;
    return this.replica.revisionOf(keys.live(job)) === rev;
  }
}
