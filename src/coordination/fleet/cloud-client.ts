/**
 * Calls of the cloud within its limit of requests.
 *
 * Owns the leader's budget of calls. What must hold: a call that is over budget isn't sent, and one
 * without an answer may have been carried out all the same; callers repeat under the same name.
 */
import { TokenBucket } from "../../storage/token-bucket.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";

/** How long a call of the cloud may take. */
export const CLOUD_CALL_TIMEOUT_MS = 5000;
/** What fraction of the cloud's limit is used, and how large a burst: others may call as well. */
const USABLE_RATE_FRACTION = 0.9;
const BURST_FACTOR = 1.35;

/** An answer of the cloud, of whatever status. */
export type CloudResponse = Extract<CallResult, { kind: "answer" }>;

/** The leader's way to the cloud. */
export class CloudClient {
  readonly #budget: TokenBucket;

  /**
   * @param address of the cloud
   * @param rps its limit, in requests per second
   */
  constructor(
    private readonly calls: HttpClient,
    private readonly address: string,
    rps: number,
  ) {
    this.#budget = new TokenBucket(rps * USABLE_RATE_FRACTION, rps * BURST_FACTOR, monotonicNow());
  }

  /** Undefined if the budget stood in the way, or no answer came: it may have been carried out. */
  async call(method: string, path: string, body?: unknown): Promise<CloudResponse | undefined> {
    if (!this.#budget.take(1, monotonicNow())) return undefined;
    const reply = await this.calls.call(this.address, method, path, body, CLOUD_CALL_TIMEOUT_MS);
    if (reply.kind !== "answer") return undefined;
    if (reply.status === 429) this.#budget.drain(monotonicNow());
    return reply;
  }
}
