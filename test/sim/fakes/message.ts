/** Messages of the simulated external systems, with the field names of their wire protocols. */

/** A decoded message body; its keys are the field names on the wire. */
export type Body = Record<string, unknown>;

/** The response of a fake to one request. */
export interface FakeResponse {
  readonly status: number;
  readonly body?: unknown;
}
