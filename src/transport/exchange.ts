/**
 * Sends one HTTP request and returns its result.
 *
 * Each exchange settles once: by its answer, by an error or by its timeout, whichever comes first.
 * A failure is `unsent` only if no connection was established, and `lost` otherwise.
 */
import http from "node:http";
import type { CallResult } from "./call-result.js";

/** A request to be sent. Its timeout starts when it is handed to the connection pool. */
export interface OutgoingRequest {
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** CBOR or protocol buffers; undefined for a request without a body. */
  readonly payload: Uint8Array | undefined;
  readonly timeoutMs: number;
}

/** This process has no free socket, port or buffer: no connection was made, for a local cause. */
const LOCAL_ERROR_CODES: ReadonlySet<string> = new Set([
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "EADDRNOTAVAIL",
]);

const LOST_CALL: CallResult = { kind: "lost" };

/** Throws on an invalid address. */
const createRequest = (agent: http.Agent, request: OutgoingRequest): http.ClientRequest => {
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

/** Only without a connection is it certain that nothing was sent. */
const resultOfError = ({ code = "" }: NodeJS.ErrnoException): CallResult => {
  if (LOCAL_ERROR_CODES.has(code)) return { kind: "unsent", isLocal: true };
  return code === "ECONNREFUSED" ? { kind: "unsent" } : LOST_CALL;
};

const answeredCall = (response: http.IncomingMessage, chunks: readonly Buffer[]): CallResult => {
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
  response.on("error", () => settle(LOST_CALL));
  response.on("aborted", () => settle(LOST_CALL));
  response.on("end", () => settle(answeredCall(response, chunks)));
};

/** Sends a request. The body of its answer is not decoded. Never rejects. */
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
      outgoing = createRequest(agent, request);
    } catch {
      // The address is invalid; it may come from a worker's status.
      resolve({ kind: "unsent" });
      return;
    }
    const abandon = (): void => {
      settle(LOST_CALL);
      outgoing.destroy();
    };
    // If the event loop was blocked, the timer runs before answers that arrived in time are read.
    // Reading those first prevents mistaking a local delay for an unresponsive host.
    const timer = setTimeout(() => setImmediate(() => setImmediate(abandon)), request.timeoutMs);
    outgoing.on("response", (response) => readResponse(response, settle));
    outgoing.on("error", (error: NodeJS.ErrnoException) => settle(resultOfError(error)));
    outgoing.end(request.payload);
  });
