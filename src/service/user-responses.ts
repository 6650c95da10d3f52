/** The answers to users that say nothing of a job: each with its status and what it stands for. */
import type { HttpResponse } from "../transport/server.js";

/** A refused user is asked to come back after this long. */
const RETRY_AFTER_S = 1;

/** The body is no CBOR item. */
export const NOT_CBOR: HttpResponse = { status: 400, body: { error: "not CBOR" } };

/** No such job, as read from the state store; or the id can't be one. */
export const UNKNOWN_JOB: HttpResponse = { status: 404, body: { error: "unknown job" } };

/** The submission's form is wrong: it would be refused at any time. */
export const malformed = (reason: string): HttpResponse => ({
  status: 400,
  body: { error: reason },
});

/** No task of the job could ever run under the present settings and machine types. */
export const neverRuns = (reason: string): HttpResponse => ({
  status: 422,
  body: { error: reason },
});

/** What was asked could not be made sure of (503), or there is no room for it (429). */
export const tryAgain = (status: 429 | 503): HttpResponse => ({
  status,
  retryAfterS: RETRY_AFTER_S,
  body: { error: "try again" },
});

/** Whether the load balancer may send users here. */
export const readiness = (ready: boolean): HttpResponse =>
  ready ? { status: 200 } : { status: 503, retryAfterS: RETRY_AFTER_S };
