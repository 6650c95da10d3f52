/**
 * One request over HTTP and what became of it.
 *
 * Each exchange settles once: by its answer, by an error or by its timeout, whichever comes first.
 * The kinds of results are kept apart by what is certain: `unsent` only where no connection was made.
 */
import http from "node:http";
import type { CallResult } from "./call-result.js";

/** A request to be sent. The timeout runs from the moment at which it is handed to a connection. */
export interface OutgoingRequest {
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** CBOR or protocol buffers; undefined for a request without a body. */
  readonly payload: Uint8Array | undefined;
  readonly timeoutMs: number;
}

/** Errors for want of a socket or a port here: no connection was made, and the fault is ours. */
const OWN_ERRORS: ReadonlySet<string> = new Set(["EMFILE", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL"]);

const LOST: CallResult = { kind: "lost" };

/** Throws on an address that can't be one. */
const openRequest = (agent: http.Agent, request: OutgoingRequest): http.ClientRequest => {
  const { address, method, path, payload } = request;
  const colon = address.lastIndexOf(":");
  return http.request({
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    method,
    path,
    agent,
    headers:
      payload === undefined
        ? {}
        : { "content-type": "application/cbor", "content-length": payload.byteLength },
  });
};

/** Only where no connection was made it is certain that nothing was sent. */
const resultOfError = ({ code = "" }: NodeJS.ErrnoException): CallResult => {
  if (OWN_ERRORS.has(code)) return { kind: "unsent", own: true };
  return code === "ECONNREFUSED" ? { kind: "unsent" } : LOST;
};

const answerOf = (response: http.IncomingMessage, chunks: readonly Buffer[]): CallResult => {
  const retryAfterS = Number(response.headers["retry-after"]);
  const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  return {
    kind: "answer",
    status: response.statusCode ?? 0,
    body: bytes === undefined || bytes.length === 0 ? undefined : bytes,
    ...(Number.isFinite(retryAfterS) ? { retryAfterS } : {}),
  };
};

const readResponse = (
  response: http.IncomingMessage,
  settle: (result: CallResult) => void,
): void => {
  const chunks: Buffer[] = [];
  response.on("data", (chunk: Buffer) => chunks.push(chunk));
  response.on("error", () => settle(LOST));
  response.on("aborted", () => settle(LOST));
  response.on("end", () => settle(answerOf(response, chunks)));
};

/** Sends a request; the body of an answer is its bytes. Never rejects. */
export const exchange = (agent: http.Agent, request: OutgoingRequest): Promise<CallResult> =>
  new Promise((resolve) => {
    let settled = false;
    const settle = (result: CallResult): void => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    let outgoing: http.ClientRequest;
    try {
      outgoing = openRequest(agent, request);
    } catch {
      // An address that can't be one, out of a worker's status perhaps.
      resolve({ kind: "unsent" });
      return;
    }
    const giveUp = (): void => {
      settle(LOST);
      outgoing.destroy();
    };
    // A process that fell behind sees its timers before the answers that came in time: what
    // lies ready is read first, or it would take its own lateness for the other side's silence.
    const timer = setTimeout(() => setImmediate(() => setImmediate(giveUp)), request.timeoutMs);
    outgoing.on("response", (response) => readResponse(response, settle));
    outgoing.on("error", (error: NodeJS.ErrnoException) => settle(resultOfError(error)));
    outgoing.end(request.payload);
  });
