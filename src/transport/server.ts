/**
 * The HTTP server: it gathers bodies, calls a handler, writes the answer, and closes connections
 * when too many are open.
 *
 * It owns its connections and their count. A handler's failure is answered with 503 and logged: it
 * ends neither the connection nor the process.
 */
import http from "node:http";
import { errorFields } from "../observability/error-fields.js";
import type { Logger } from "../observability/log.js";
import { decode, encode } from "../protocol/cbor.js";
import { HEARTBEAT_PATH } from "../protocol/workers.js";
import { BodyRequest, MAX_BODY_BYTES } from "./body-request.js";

export { MAX_BODY_BYTES } from "./body-request.js";

/** What a handler answers. */
export interface HttpResponse {
  readonly status: number;
  /** Bytes go out as they are, anything else as CBOR; undefined for none. */
  readonly body?: unknown;
  /** Seconds after which the other side should ask again; rounded up to whole ones. */
  readonly retryAfterS?: number;
}

/** What a handler is given. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** The body's bytes; empty if there is none. */
  readonly bytes: Buffer;
}

/** Answers at once where it can: a Promise costs turns of the queue. */
export type RequestHandler = (request: HttpRequest) => HttpResponse | Promise<HttpResponse>;

/** A body's value, or that its bytes aren't CBOR. */
export type DecodedBody = { readonly ok: true; readonly value: unknown } | { readonly ok: false };

/** Decodes a request's body without throwing. */
export const decodeBody = (bytes: Buffer): DecodedBody => {
  try {
    return { ok: true, value: decode(bytes) };
  } catch {
    return { ok: false };
  }
};

const NO_BODY = Buffer.alloc(0);

const bodyBytes = (body: unknown): Buffer => {
  if (body === undefined) return NO_BODY;
  return body instanceof Uint8Array
    ? Buffer.from(body.buffer, body.byteOffset, body.byteLength)
    : encode(body);
};

/**
 * Head and body go out as one string, in one write: with a buffer for the body Node's stream gathers
 * two, and a short answer costs half as much again.
 */
const respond = (response: http.ServerResponse, answer: HttpResponse, close: boolean): void => {
  const bytes = bodyBytes(answer.body);
  const headers = [
    ...["content-type", "application/cbor", "content-length", String(bytes.byteLength)],
    ...["connection", close ? "close" : "keep-alive"],
  ];
  if (answer.retryAfterS !== undefined)
    headers.push("retry-after", String(Math.ceil(answer.retryAfterS)));
  response.sendDate = false;
  response.writeHead(answer.status, headers);
  response.end(bytes.toString("latin1"), "latin1");
};

/** The body was not read whole: the connection is closed once the answer is out. */
const refuseLargeBody = (request: BodyRequest, response: http.ServerResponse): void => {
  respond(response, { status: 413, body: { error: "body over 64 KiB" } }, true);
  response.once("finish", () => request.destroy());
};

/**
 * From these parts of the connections on, answers close theirs: workers' first, who come back with
 * their next heartbeat, then everybody's. So all hosts of a fleet can be served, one heartbeat after
 * the other, by a survivor that has not a socket for each.
 */
const CLOSE_WORKERS_PART = 0.75;
const CLOSE_ALL_PART = 0.9;
/**
 * Machines that vanish never close their connections, and in a fleet that changes all the time these
 * took up all that are let in. Whoever lives sends heartbeats or requests many times as often.
 */
const SILENT_CONNECTION_MS = 120_000;

/** Whether a path's answers close their connections while so many are open. */
const isCrowded = (openConnections: number, maxConnections: number, path: string): boolean => {
  const part = path === HEARTBEAT_PATH ? CLOSE_WORKERS_PART : CLOSE_ALL_PART;
  return openConnections > maxConnections * part;
};

/** Calls the handler once the body is there, and answers whatever becomes of it. */
const serve = (
  request: BodyRequest,
  response: http.ServerResponse,
  handler: RequestHandler,
  closes: (path: string) => boolean,
  log: Logger,
): void => {
  const path = request.url ?? "";
  const answer = (result: HttpResponse): void => respond(response, result, closes(path));
  const fail = (error: unknown): void => {
    log.error("request handler failed", { path, ...errorFields(error) });
    if (!response.headersSent) respond(response, { status: 503, retryAfterS: 1 }, false);
  };
  if (Number(request.headers["content-length"] ?? 0) > MAX_BODY_BYTES) {
    refuseLargeBody(request, response);
    return;
  }
  // An aborted request needs no answer, and without a listener its error would end the process.
  request.on("error", () => undefined);
  request.onBody = (bytes) => {
    if (bytes === undefined) {
      refuseLargeBody(request, response);
      return;
    }
    try {
      const result = handler({ method: request.method ?? "", path, bytes });
      if (result instanceof Promise) result.then(answer).catch(fail);
      else answer(result);
    } catch (error) {
      fail(error);
    }
  };
};

/** An HTTP server whose handler can't end the process, whatever comes in. It doesn't listen yet. */
export const makeServer = (
  handler: RequestHandler,
  maxConnections: number,
  log: Logger,
): http.Server => {
  let open = 0;
  const closes = (path: string): boolean => isCrowded(open, maxConnections, path);
  const server = http.createServer(
    // biome-ignore lint/style/useNamingConvention: Node's name of the option.
    { IncomingMessage: BodyRequest },
    (request, response) => serve(request, response, handler, closes, log),
  );
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.timeout = SILENT_CONNECTION_MS;
  server.maxConnections = maxConnections;
  server.on("connection", (socket) => {
    open++;
    socket.once("close", () => open--);
  });
  server.on("clientError", (_error, socket) => socket.destroy());
  return server;
};
