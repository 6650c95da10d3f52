/**
 * What crosses the simulated network, for whoever wants to look on: the digest of a day and its
 * trace in text.
 */

/** Who calls whom for what. */
export interface WireCall {
  /** The calls of a day are numbered from one, in the order in which they are sent. */
  readonly number: number;
  /** A controller by its index, a worker by its machine, or a user. */
  readonly caller: string;
  readonly target: string;
  readonly method: string;
  readonly path: string;
  /** The bytes that are sent. */
  readonly body: Uint8Array | undefined;
}

/** What the caller gets: an answer with its bytes, or nothing within its timeout. */
export type WireReply =
  | { readonly kind: "answer"; readonly status: number; readonly body: Uint8Array | undefined }
  | { readonly kind: "lost" };

/** Is told of each call and each reply at its simulated time; it must not act on the simulation. */
export interface WireObserver {
  readonly sent: (at: number, call: WireCall) => void;
  readonly replied: (at: number, call: WireCall, reply: WireReply) => void;
}
