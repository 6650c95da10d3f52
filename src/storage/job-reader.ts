/**
 * Read batching: reads of jobs that never answer anything older than what the state store holds, at
 * a cost that does not grow with the number of questions.
 *
 * Questions gather for some milliseconds, and one transaction that only compares proves for many
 * jobs at once that what the replica has of them is current. A question joins only a comparison
 * that is sent after it was asked: one under way could prove a state older than what another
 * controller has answered meanwhile.
 *
 * A job whose comparison fails is read by itself: first its live record, then its final one, for
 * jobs move only that way.
 */
import { type JobId, KEY_ABSENT, type MonotonicMs, type Revision } from "@umberfold/ids";
import type { Condition } from "../protocol/store.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import { FinalJobCache } from "./final-job-cache.js";
import { type AcceptedJob, type FinalJob, parseAcceptedJob, parseFinalJob } from "./job-records.js";
import { keys } from "./keys.js";
import type { Replica } from "./replica.js";
import type { StateStore } from "./state-store.js";

/** What the state store holds of a job. */
export type JobLookup =
  /** Accepted and not over. */
  | {
      readonly kind: "live";
      readonly job: AcceptedJob;
      readonly rev: Revision;
      /** When the request was sent that proved it: the state is no older than that. */
      readonly askedAt: MonotonicMs;
    }
  /** Over. */
  | { readonly kind: "final"; readonly job: FinalJob }
  /** Neither record exists: it was never accepted. */
  | { readonly kind: "none" }
  /** Nothing is proved: no answer came, or there were more questions than the limits let through. */
  | { readonly kind: "unavailable" };

const MAX_CACHED_FINALS = 20_000;
/** How long questions gather before they are sent together. */
const GATHER_MS = 20;
/** Comparisons in flight at a time: one without an answer must not delay all questions. */
const MAX_IN_FLIGHT = 3;
/** How long a comparison waits for its part of the state store's requests. */
const BUDGET_WAIT_MS = 250;
const BUDGET_POLL_MS = 25;
/** Jobs that may wait for a comparison, in full comparisons: those beyond are refused at once. */
const MAX_WAITING_BATCHES = 6;
/** How many comparisons a job takes part in while each fails for other jobs' sake. */
const MAX_COMPARISONS = 3;

/** All callers that ask about one job and wait for the next comparison. */
interface Question {
  readonly id: JobId;
  readonly answers: ((found: JobLookup) => void)[];
  /** Comparisons that failed without naming this job. */
  attempts: number;
}

/** What the replica has of a job, as conditions, and the answer if they hold. */
interface Claim {
  readonly question: Question;
  readonly conditions: readonly Condition[];
  /** Undefined if the claim is that there is no such job. */
  readonly known: { readonly job: AcceptedJob; readonly rev: Revision } | undefined;
}

const UNAVAILABLE: JobLookup = { kind: "unavailable" };
const NONE: JobLookup = { kind: "none" };

/** Answers questions about jobs; see the module's head. */
export class JobReader {
  readonly #finals = new FinalJobCache(MAX_CACHED_FINALS);
  readonly #finalReads = new Map<JobId, Promise<JobLookup>>();
  /** In the order in which they were first asked about. */
  readonly #waiting = new Map<JobId, Question>();
  #inFlight = 0;
  #gathering = false;
  /**
   * Jobs compared and comparisons sent; jobs that were read by themselves because the replica's
   * state of them was not proved current; questions refused for want of room or of requests.
   */
  readonly counters = { compared: 0, comparisons: 0, changed: 0, refused: 0 };

  constructor(
    private readonly store: StateStore,
    private readonly replica: Replica,
    /** The most conditions that a transaction takes. */
    private readonly maxConditions: number,
  ) {}

  /** A final record that is known here, which needs no request. */
  finalOf(id: JobId): FinalJob | undefined {
    return this.#finals.get(id);
  }

  /** What the state store held of a job at some moment after this call. */
  async read(id: JobId): Promise<JobLookup> {
    const known = this.#finals.get(id);
    if (known !== undefined) return { kind: "final", job: known };
    if (!this.replica.accepted.has(id)) {
      const final = await this.#sharedReadFinal(id);
      if (final.kind !== "none") return final;
    }
    return this.#enqueue(id);
  }

  /** A read of a final record may be shared by all who ask: what it finds is true for ever. */
  #sharedReadFinal(id: JobId): Promise<JobLookup> {
    const pending = this.#finalReads.get(id);
    if (pending !== undefined) return pending;
    const read = this.#readFinal(id).finally(() => this.#finalReads.delete(id));
    this.#finalReads.set(id, read);
    return read;
  }

  async #readFinal(id: JobId): Promise<JobLookup> {
    if (!(await this.#waitForBudget())) return UNAVAILABLE;
    const read = await this.store.get(keys.final(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return { kind: "none" };
    const job = parseFinalJob(read.item.value);
    if (job === undefined) return UNAVAILABLE;
    this.#finals.put(id, job);
    return { kind: "final", job };
  }

  /** Live first, then final: jobs move only that way, so only both absent means unknown. */
  async #readLiveThenFinal(id: JobId): Promise<JobLookup> {
    if (!(await this.#waitForBudget())) return UNAVAILABLE;
    const askedAt = monotonicNow();
    const read = await this.store.get(keys.live(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return this.#readFinal(id);
    this.replica.apply({ kind: "put", ...read.item });
    const job = parseAcceptedJob(id, read.item.value);
    if (job === undefined) return UNAVAILABLE;
    return { kind: "live", job, rev: read.item.rev, askedAt };
  }

  /** Waits a little for a part of the state store's requests; false if there is none. */
  async #waitForBudget(): Promise<boolean> {
    const deadline = monotonicNow() + BUDGET_WAIT_MS;
    while (!this.store.mayRead()) {
      if (monotonicNow() >= deadline) return false;
      await sleep(BUDGET_POLL_MS);
    }
    return true;
  }

  #enqueue(id: JobId): Promise<JobLookup> {
    const question = this.#waiting.get(id) ?? { id, answers: [], attempts: 0 };
    if (question.answers.length === 0 && this.#isFull()) {
      this.counters.refused++;
      return Promise.resolve(UNAVAILABLE);
    }
    this.#waiting.set(id, question);
    void this.#gather();
    return new Promise((answer) => question.answers.push(answer));
  }

  #isFull(): boolean {
    return this.#waiting.size >= MAX_WAITING_BATCHES * this.maxConditions;
  }

  /** Sends the next comparison, after a while in which questions gather; one at a time gathers. */
  async #gather(): Promise<void> {
    if (this.#gathering || this.#inFlight >= MAX_IN_FLIGHT) return;
    this.#gathering = true;
    await sleep(GATHER_MS);
    const mayRead = await this.#waitForBudget();
    this.#gathering = false;
    const claims = this.#takeClaims();
    if (claims.length === 0) return;
    if (!mayRead) {
      this.counters.refused += claims.length;
      for (const { question } of claims) answerAll(question, UNAVAILABLE);
    } else {
      this.#inFlight++;
      // Each question is answered within, so nobody waits for the promise.
      void this.#compare(claims).finally(() => {
        this.#inFlight--;
        if (this.#waiting.size > 0) void this.#gather();
      });
    }
    if (this.#waiting.size > 0) void this.#gather();
  }

  /** As many of the questions as one transaction takes, those first that have waited longest. */
  #takeClaims(): readonly Claim[] {
    const claims: Claim[] = [];
    let conditions = 0;
    for (const question of this.#waiting.values()) {
      const claim = this.#claimOf(question);
      if (conditions + claim.conditions.length > this.maxConditions) break;
      conditions += claim.conditions.length;
      claims.push(claim);
    }
    for (const { question } of claims) this.#waiting.delete(question.id);
    return claims;
  }

  #claimOf(question: Question): Claim {
    const { id } = question;
    const accepted = this.replica.accepted.get(id);
    if (accepted === undefined) {
      const absent = [keys.live(id), keys.final(id)].map((key) => ({ key, rev: KEY_ABSENT }));
      return { question, conditions: absent, known: undefined };
    }
    const { value: job, rev } = accepted;
    return { question, conditions: [{ key: keys.live(id), rev }], known: { job, rev } };
  }

  async #compare(claims: readonly Claim[]): Promise<void> {
    const askedAt = monotonicNow();
    this.counters.comparisons++;
    this.counters.compared += claims.length;
    const conditionByKey = new Map(
      claims.flatMap((claim) => claim.conditions.map((each) => [each.key, each] as const)),
    );
    const result = await this.store.compare([...conditionByKey.values()]);
    const failedKeys = new Set(result.kind === "conflict" ? result.failed : []);
    for (const { question, known, conditions } of claims) {
      if (result.kind === "current")
        answerAll(question, known === undefined ? NONE : { kind: "live", ...known, askedAt });
      else if (result.kind === "unavailable") answerAll(question, UNAVAILABLE);
      else if (conditions.some((each) => failedKeys.has(each.key))) this.#readAlone(question);
      else this.#compareAgain(question);
    }
  }

  /** What the replica has of it was not proved current: the job is read by itself. */
  #readAlone(question: Question): void {
    this.counters.changed++;
    this.#readLiveThenFinal(question.id).then(
      (found) => answerAll(question, found),
      () => answerAll(question, UNAVAILABLE),
    );
  }

  /** Not named among what has changed, which alone proves nothing: it joins the next comparison. */
  #compareAgain(question: Question): void {
    question.attempts++;
    if (question.attempts >= MAX_COMPARISONS) {
      this.#readAlone(question);
      return;
    }
    // Whoever asked meanwhile may be answered by a comparison that is yet to be sent, too.
    const newer = this.#waiting.get(question.id);
    if (newer === undefined) this.#waiting.set(question.id, question);
    else newer.answers.push(...question.answers);
    void this.#gather();
  }
}

const answerAll = (question: Question, found: JobLookup): void => {
  for (const answer of question.answers) answer(found);
};
