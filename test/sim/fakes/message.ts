/** Messages of the simulated outside systems, in the words of their published protocol. */
export type Body = Record<string, unknown>;

export interface Out {
  readonly status: number;
  readonly body?: unknown;
}
