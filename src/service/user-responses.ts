/** The responses to users that contain no job status, with the meaning of each HTTP status. */
import type { HttpResponse } from "../transport/server.js";

/** The `retry-after` value of a response that asks the user to retry. */
const RETRY_AFTER_S = 1;

/** The request body is not a CBOR item. */
export const NOT_CBOR: HttpResponse = { status: 400, body: { error: "not CBOR" } };

/** The state store has no job with this id, or the id is malformed. */
export const UNKNOWN_JOB: HttpResponse = { status: 404, body: { error: "unknown job" } };

/** The submission is malformed; a retry would be refused as well. */
export const malformed = (reason: string): HttpResponse => ({
  status: 400,
  body: { error: reason },
});

/** No task of the job could ever run with the current settings and machine types. */
export const neverRuns = (reason: string): HttpResponse => ({
  status: 422,
  body: { error: reason },
});

/** The result could not be determined (503), or the write limit was reached (429). */
export const tryAgain = (status: 429 | 503): HttpResponse => ({
  status,
  retryAfterS: RETRY_AFTER_S,
  body: { error: "try again" },
});

/** The response to the load balancer's health check: whether it may send users here. */
export const readiness = (ready: boolean): HttpResponse =>
  ready ? { status: 200 } : { status: 503, retryAfterS: RETRY_AFTER_S };
