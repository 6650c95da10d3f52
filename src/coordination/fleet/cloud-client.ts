import { Budget } from "../../storage/token-bucket.js";
import type { Calls, Reply } from "../../transport/client.js";
import { steadyNow } from "../../transport/clock.js";

/** How long a call of the cloud may take. */
export const CLOUD_CALL_MS = 5000;
/** What part of the cloud's limit is used, and how large a burst: others may call as well. */
const USABLE = 0.9;
const BURST = 1.35;

export type CloudAnswer = Extract<Reply, { kind: "answer" }>;

/** Calls of the cloud within its limit of requests. */
export class Cloud {
  readonly #budget: Budget;

  constructor(
    private readonly calls: Calls,
    private readonly address: string,
    rps: number,
  ) {
    this.#budget = new Budget(rps * USABLE, rps * BURST, steadyNow());
  }

  /** Undefined if the limit stood in the way, or no answer came: the call may have been carried out. */
  async call(method: string, path: string, body?: unknown): Promise<CloudAnswer | undefined> {
    if (!this.#budget.take(1, steadyNow())) return undefined;
    const reply = await this.calls.call(this.address, method, path, body, CLOUD_CALL_MS);
    if (reply.kind !== "answer") return undefined;
    if (reply.status === 429) this.#budget.drain(steadyNow());
    return reply;
  }
}
