/**
 * The result of a call to another host, in three kinds by what is known about the request.
 *
 * Stateless. A caller whose request is not idempotent must distinguish `unsent`, which can be
 * retried immediately, from `lost`, where the request may have been executed.
 */

/** The other host answered. Whatever the status, it received the request. */
export interface AnsweredCall {
  readonly kind: "answer";
  readonly status: number;
  /** A decoded value from `call`, bytes from `callRaw`; undefined if the answer has no body. */
  readonly body: unknown;
  /** The delay in seconds that the `retry-after` header of the answer requests. */
  readonly retryAfterS?: number;
}

/** The request was certainly not executed: no byte of it was sent. */
export interface UnsentCall {
  readonly kind: "unsent";
  /**
   * Whether the cause is in this process: no free socket or port, or no free slot in the client
   * before the timeout. Such a result is no evidence about the other host.
   */
  readonly isLocal?: boolean;
}

/** No readable answer arrived: the request may have been executed, or may still be executed. */
export interface LostCall {
  readonly kind: "lost";
}

/** The result of a call. The Promise of a call never rejects. */
export type CallResult = AnsweredCall | UnsentCall | LostCall;
