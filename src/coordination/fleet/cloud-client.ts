/**
 * Client of the cloud's API that stays within the cloud's rate limit.
 *
 * Owns the token bucket of the leader's calls. A call that exceeds the budget is not sent. A call
 * without a response may have taken effect, so callers repeat it with the same request name.
 */
import { TokenBucket } from "../../storage/token-bucket.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";

/** Timeout of one call to the cloud. */
export const CLOUD_CALL_TIMEOUT_MS = 5000;
/** Fraction of the cloud's rate limit that the leader uses; the rest is left for other callers. */
const USABLE_RATE_FRACTION = 0.9;
/** Capacity of the token bucket, in seconds of calls at the cloud's rate limit. */
const BURST_FACTOR = 1.35;

/** A response of the cloud, with any status code. */
export type CloudResponse = Extract<CallResult, { kind: "answer" }>;

/** Sends the leader's calls to the cloud. */
export class CloudClient {
  readonly #rateLimiter: TokenBucket;

  /**
   * @param address host and port of the cloud's API
   * @param rps the cloud's rate limit, in requests per second
   */
  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    rps: number,
  ) {
    this.#rateLimiter = new TokenBucket(
      rps * USABLE_RATE_FRACTION,
      rps * BURST_FACTOR,
      monotonicNow(),
    );
  }

  /**
   * Sends one call. Returns undefined if the budget is exhausted, so that nothing was sent, or if
   * no response arrived, in which case the call may have taken effect. A 429 empties the budget.
   */
  async call(method: string, path: string, body?: unknown): Promise<CloudResponse | undefined> {
    if (!this.#rateLimiter.take(1, monotonicNow())) return undefined;
    const result = await this.http.call(this.address, method, path, body, CLOUD_CALL_TIMEOUT_MS);
    if (result.kind !== "answer") return undefined;
    if (result.status === 429) this.#rateLimiter.drain(monotonicNow());
    return result;
  }
}
