/** Cache of final job records. These records never change, so cached entries never become stale. */
import type { JobId } from "@umberfold/ids";
import type { FinalJob } from "./job-records.js";

/** A bounded cache of final records with first-in, first-out eviction. */
export class FinalJobCache {
  readonly #finals = new Map<JobId, FinalJob>();

  constructor(private readonly maxEntries: number) {}

  /** Returns undefined if the record isn't cached; the store may hold it nevertheless. */
  get(id: JobId): FinalJob | undefined {
    return this.#finals.get(id);
  }

  /** Adds a final record, and evicts the oldest entry if the cache is full. */
  put(id: JobId, final: FinalJob): void {
    if (this.#finals.size >= this.maxEntries) {
      const oldest = this.#finals.keys().next().value;
      if (oldest !== undefined) this.#finals.delete(oldest);
    }
    this.#finals.set(id, final);
  }
}
