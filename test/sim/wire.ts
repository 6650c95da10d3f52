/**
 * Calls and replies on the simulated network as observers see them. Observers are the digest of a
 * day and its text trace.
 */

/** One call. */
export interface WireCall {
  /** Calls are numbered from one, in the order in which they are sent. */
  readonly number: number;
  /** The index of a controller, `worker <machine id>`, or `user`. */
  readonly caller: string;
  readonly target: string;
  readonly method: string;
  readonly path: string;
  /** The encoded body. */
  readonly body: Uint8Array | undefined;
}

/** What the caller gets: a response, or nothing within its timeout. */
export type WireReply =
  | { readonly kind: "answer"; readonly status: number; readonly body: Uint8Array | undefined }
  | { readonly kind: "lost" };

/** Receives each call and reply with its simulated time; must not affect the simulation. */
export interface WireObserver {
  readonly sent: (at: number, call: WireCall) => void;
  readonly replied: (at: number, call: WireCall, reply: WireReply) => void;
}
