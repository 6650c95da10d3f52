import { TokenBucket } from "../../storage/token-bucket.js";
import type { CallResult, HttpClient } from "../../transport/client.js";
import { monotonicNow } from "../../transport/clock.js";

/** How long a call of the cloud may take. */
export const CLOUD_CALL_MS = 5000;
/** What part of the cloud's limit is used, and how large a burst: others may call as well. */
const USABLE = 0.9;
const BURST = 1.35;

export type CloudResponse = Extract<CallResult, { kind: "answer" }>;

/** Calls of the cloud within its limit of requests. */
export class CloudClient {
  readonly #budget: TokenBucket;

  constructor(
    private readonly calls: HttpClient,
    private readonly address: string,
    rps: number,
  ) {
    this.#budget = new TokenBucket(rps * USABLE, rps * BURST, monotonicNow());
  }

  /** Undefined if the limit stood in the way, or no answer came: the call may have been carried out. */
  async call(method: string, path: string, body?: unknown): Promise<CloudResponse | undefined> {
    if (!this.#budget.take(1, monotonicNow())) return undefined;
    const reply = await this.calls.call(this.address, method, path, body, CLOUD_CALL_MS);
    if (reply.kind !== "answer") return undefined;
    if (reply.status === 429) this.#budget.drain(monotonicNow());
    return reply;
  }
}
