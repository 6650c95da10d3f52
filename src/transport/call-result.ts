/**
 * What a call of another host came to, in three kinds that differ in what they prove.
 *
 * Nothing here has state. Whoever sends a call that must not be repeated has to tell `unsent`, which
 * may be tried again at once, from `lost`, which may have been carried out.
 */

/** The other side answered; whatever the status says, the request arrived. */
export interface AnsweredCall {
  readonly kind: "answer";
  readonly status: number;
  /** Decoded by `call`, bytes from `callRaw`; undefined if the answer has no body. */
  readonly body: unknown;
  /** Seconds after which the other side wants to be asked again. */
  readonly retryAfterS?: number;
}

/** Certainly not carried out: no byte of it was sent. */
export interface UnsentCall {
  readonly kind: "unsent";
  /** For want of a socket or a turn here, which says nothing about the other side. */
  readonly own?: boolean;
}

/** No answer that could be read: it may have been carried out, or may yet be. */
export interface LostCall {
  readonly kind: "lost";
}

/** What became of a call. A call never rejects. */
export type CallResult = AnsweredCall | UnsentCall | LostCall;
