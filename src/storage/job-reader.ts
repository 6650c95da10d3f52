import { type JobId, KEY_ABSENT, type MonotonicMs, type Revision } from "@umberfold/ids";
import type { Condition } from "../protocol/store.js";
import { monotonicNow, sleep } from "../transport/clock.js";
import {
  type AcceptedJob,
  type FinalJob,
  keys,
  parseAcceptedJob,
  parseFinalJob,
} from "./records.js";
import type { Replica } from "./replica.js";
import type { StateStore } from "./state-store.js";

/** What the state service holds of a job. */
export type JobLookup =
  | {
      readonly kind: "live";
      readonly job: AcceptedJob;
      readonly rev: Revision;
      /** When the request was sent that proved it: no older than that. */
      readonly askedAt: MonotonicMs;
    }
  | { readonly kind: "final"; readonly job: FinalJob }
  | { readonly kind: "none" }
  | { readonly kind: "unavailable" };

/** Final states never change, so they may be answered from memory for ever. */
const FINALS_KEPT = 20_000;
/** How long questions gather before they are sent together. */
const GATHER_MS = 20;
/** Comparisons in flight at a time: one without an answer must not hold all questions up. */
const MOST_IN_FLIGHT = 3;
/** How long a comparison waits for its part of the state service's requests. */
const PATIENCE_MS = 250;
const LOOK_AGAIN_MS = 25;
/** Jobs that may wait for a comparison, in comparisons: those beyond are refused at once. */
const MOST_BATCHES = 6;
/** How often a job joins another comparison after one that failed for others' sake. */
const MOST_TRIES = 3;

/** All who ask about one job and wait for the next comparison. */
interface Question {
  readonly id: JobId;
  readonly answers: ((found: JobLookup) => void)[];
  tries: number;
}

/** What one question claims of the state service, and the answer if that is true. */
interface Claim {
  readonly question: Question;
  readonly conditions: readonly Condition[];
  readonly known: { readonly job: AcceptedJob; readonly rev: Revision } | undefined;
}

const UNAVAILABLE: JobLookup = { kind: "unavailable" };
const NONE: JobLookup = { kind: "none" };

/**
 * Reads of jobs that never answer anything older than what the state service holds, at a cost that
 * does not grow with the number of questions.
 *
 * Questions gather, and one transaction that only compares proves for many jobs at once that what
 * the replica holds of them is current. A question joins only a comparison that is sent after it was
 * asked: one under way could prove a state older than what another controller has told meanwhile.
 */
export class JobReader {
  readonly #finals = new Map<JobId, FinalJob>();
  readonly #finalReads = new Map<JobId, Promise<JobLookup>>();
  /** In the order in which they were first asked about. */
  readonly #waiting = new Map<JobId, Question>();
  #inFlight = 0;
  #gathering = false;
  readonly counters = { compared: 0, comparisons: 0, changed: 0, refused: 0 };

  constructor(
    private readonly store: StateStore,
    private readonly replica: Replica,
    /** The most conditions that a transaction takes. */
    private readonly mostConditions: number,
  ) {}

  /** A final state that is known here, which needs no request. */
  finalOf(id: JobId): FinalJob | undefined {
    return this.#finals.get(id);
  }

  /** What the state service held of a job at some moment after this call. */
  async read(id: JobId): Promise<JobLookup> {
    const known = this.#finals.get(id);
    if (known !== undefined) return { kind: "final", job: known };
    if (!this.replica.accepted.has(id)) {
      const final = await this.#sharedFinal(id);
      if (final.kind !== "none") return final;
    }
    return this.#compare(id);
  }

  #remember(id: JobId, final: FinalJob): void {
    if (this.#finals.size >= FINALS_KEPT) {
      const oldest = this.#finals.keys().next().value;
      if (oldest !== undefined) this.#finals.delete(oldest);
    }
    this.#finals.set(id, final);
  }

  /** A read of a final record may be shared by all who ask: what it finds is true for ever. */
  #sharedFinal(id: JobId): Promise<JobLookup> {
    const reading = this.#finalReads.get(id);
    if (reading !== undefined) return reading;
    const read = this.#readFinal(id).finally(() => this.#finalReads.delete(id));
    this.#finalReads.set(id, read);
    return read;
  }

  async #readFinal(id: JobId): Promise<JobLookup> {
    if (!(await this.#admitted())) return UNAVAILABLE;
    const read = await this.store.get(keys.final(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return { kind: "none" };
    const job = parseFinalJob(read.item.value);
    if (job === undefined) return UNAVAILABLE;
    this.#remember(id, job);
    return { kind: "final", job };
  }

  /** Live first, then final: jobs move only that way, so only both absent means unknown. */
  async #readAnew(id: JobId): Promise<JobLookup> {
    if (!(await this.#admitted())) return UNAVAILABLE;
    const askedAt = monotonicNow();
    const read = await this.store.get(keys.live(id));
    if (read.kind === "unavailable") return UNAVAILABLE;
    if (read.kind === "absent") return this.#readFinal(id);
    this.replica.apply({ kind: "put", ...read.item });
    const job = parseAcceptedJob(id, read.item.value);
    if (job === undefined) return UNAVAILABLE;
    return { kind: "live", job, rev: read.item.rev, askedAt };
  }

  /** Waits a little for a part of the state service's requests; false if there is none. */
  async #admitted(): Promise<boolean> {
    const until = monotonicNow() + PATIENCE_MS;
    while (!this.store.mayRead()) {
      if (monotonicNow() >= until) return false;
      await sleep(LOOK_AGAIN_MS);
    }
    return true;
  }

  #compare(id: JobId): Promise<JobLookup> {
    const question = this.#waiting.get(id) ?? { id, answers: [], tries: 0 };
    if (question.answers.length === 0 && this.#crowded()) {
      this.counters.refused++;
      return Promise.resolve(UNAVAILABLE);
    }
    this.#waiting.set(id, question);
    void this.#gather();
    return new Promise((answer) => question.answers.push(answer));
  }

  #crowded(): boolean {
    return this.#waiting.size >= MOST_BATCHES * this.mostConditions;
  }

  async #gather(): Promise<void> {
    if (this.#gathering || this.#inFlight >= MOST_IN_FLIGHT) return;
    this.#gathering = true;
    await sleep(GATHER_MS);
    const admitted = await this.#admitted();
    this.#gathering = false;
    const claims = this.#nextClaims();
    if (claims.length === 0) return;
    if (!admitted) {
      this.counters.refused += claims.length;
      for (const { question } of claims) answerAll(question, UNAVAILABLE);
    } else {
      this.#inFlight++;
      void this.#settle(claims).finally(() => {
        this.#inFlight--;
        if (this.#waiting.size > 0) void this.#gather();
      });
    }
    if (this.#waiting.size > 0) void this.#gather();
  }

  /** As many of the questions as one transaction takes, those first that have waited longest. */
  #nextClaims(): readonly Claim[] {
    const claims: Claim[] = [];
    let conditions = 0;
    for (const question of this.#waiting.values()) {
      const claim = this.#claim(question);
      if (conditions + claim.conditions.length > this.mostConditions) break;
      conditions += claim.conditions.length;
      claims.push(claim);
    }
    for (const { question } of claims) this.#waiting.delete(question.id);
    return claims;
  }

  #claim(question: Question): Claim {
    const { id } = question;
    const accepted = this.replica.accepted.get(id);
    if (accepted === undefined) {
      const absent = [keys.live(id), keys.final(id)].map((key) => ({ key, rev: KEY_ABSENT }));
      return { question, conditions: absent, known: undefined };
    }
    const { value: job, rev } = accepted;
    return { question, conditions: [{ key: keys.live(id), rev }], known: { job, rev } };
  }

  async #settle(claims: readonly Claim[]): Promise<void> {
    const askedAt = monotonicNow();
    this.counters.comparisons++;
    this.counters.compared += claims.length;
    const conditions = new Map(claims.flatMap((c) => c.conditions.map((x) => [x.key, x] as const)));
    const result = await this.store.compare([...conditions.values()]);
    const failed = new Set(result.kind === "conflict" ? result.failed : []);
    for (const { question, known, conditions: own } of claims) {
      if (result.kind === "current")
        answerAll(question, known === undefined ? NONE : { kind: "live", ...known, askedAt });
      else if (result.kind === "unavailable") answerAll(question, UNAVAILABLE);
      else if (own.some((c) => failed.has(c.key))) this.#changed(question);
      else this.#again(question);
    }
  }

  /** What the replica holds is not current: the job is read by itself. */
  #changed(question: Question): void {
    this.counters.changed++;
    this.#readAnew(question.id).then(
      (found) => answerAll(question, found),
      () => answerAll(question, UNAVAILABLE),
    );
  }

  /** Not named among what has changed, which alone proves nothing: it joins the next comparison. */
  #again(question: Question): void {
    question.tries++;
    if (question.tries >= MOST_TRIES) {
      this.#changed(question);
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
