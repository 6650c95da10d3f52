/** Messages of the simulated outside systems, in the words of their published protocol. */

/** A decoded body. */
export type Body = Record<string, unknown>;

/** An answer of a stand-in. */
export interface Out {
  readonly status: number;
  readonly body?: unknown;
}
