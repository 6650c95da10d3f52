/** Final records that were read. They never change, so they may be answered from memory for ever. */
import type { JobId } from "@umberfold/ids";
import type { FinalJob } from "./job-records.js";

/** A bounded memory of final records: the one remembered first is forgotten first. */
export class FinalJobCache {
  readonly #finals = new Map<JobId, FinalJob>();

  constructor(private readonly maxEntries: number) {}

  /** Undefined if it isn't remembered, which says nothing of the job. */
  get(id: JobId): FinalJob | undefined {
    return this.#finals.get(id);
  }

  /** Remembers a final record, and forgets the oldest if there are too many. */
  put(id: JobId, final: FinalJob): void {
    if (this.#finals.size >= this.maxEntries) {
      const oldest = this.#finals.keys().next().value;
      if (oldest !== undefined) this.#finals.delete(oldest);
    }
    this.#finals.set(id, final);
  }
}
