/**
 * The HTTP server: collects request bodies, calls a handler, writes its response, and closes
 * connections when too many are open.
 *
 * It owns its connections and their count. If a handler fails, the server logs the error and
 * responds with 503; neither the connection nor the process ends.
 */
import http from "node:http";
import { errorFields } from "../observability/error-fields.js";
import type { Logger } from "../observability/log.js";
import { decode, encode } from "../protocol/cbor.js";
import { HEARTBEAT_PATH } from "../protocol/workers.js";
import { BodyRequest, MAX_BODY_BYTES } from "./body-request.js";

export { MAX_BODY_BYTES } from "./body-request.js";

/** The response of a handler. */
export interface HttpResponse {
  readonly status: number;
  /** Bytes are sent unchanged, anything else as CBOR; undefined for no body. */
  readonly body?: unknown;
  /** The `retry-after` header in seconds, rounded up to whole seconds; omitted if undefined. */
  readonly retryAfterS?: number;
}

/** A request as passed to a handler. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** The undecoded body; empty if there is none. */
  readonly bytes: Buffer;
}

/**
 * Handles a request. Should respond synchronously where it can: a Promise takes more turns of the
 * callback queue.
 */
export type RequestHandler = (request: HttpRequest) => HttpResponse | Promise<HttpResponse>;

/** The value of a body; `ok` is false if its bytes are not CBOR. */
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
 * Sends head and body as one string, in a single write. With a Buffer as body, Node's stream has to
 * combine two chunks, which makes a short response cost half as much again.
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

/**
 * Responds with 413. The rest of the body stays unread, so the connection is closed once the
 * response has been sent.
 */
const refuseLargeBody = (request: BodyRequest, response: http.ServerResponse): void => {
  respond(response, { status: 413, body: { error: "body over 64 KiB" } }, true);
  response.once("finish", () => request.destroy());
};

/**
 * Fractions of the maximum number of connections above which a response closes its connection:
 * first only those of workers, which reconnect for their next heartbeat, then all. So after a
 * failover one controller can serve all machines in turn, although it has fewer sockets than
 * machines.
 */
const CLOSE_WORKER_CONNECTIONS_FRACTION = 0.75;
const CLOSE_ALL_CONNECTIONS_FRACTION = 0.9;
/**
 * Machines that fail or are returned don't close their connections. In a fleet that changes all the
 * time such connections used up the maximum number of connections. Live hosts send heartbeats or
 * requests many times within this timeout.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 120_000;

/** Whether the response to a request for this path must close its connection. */
const mustCloseConnection = (
  openConnections: number,
  maxConnections: number,
  path: string,
): boolean => {
  const fraction =
    path === HEARTBEAT_PATH ? CLOSE_WORKER_CONNECTIONS_FRACTION : CLOSE_ALL_CONNECTIONS_FRACTION;
  return openConnections > maxConnections * fraction;
};

/** Calls the handler once the body is complete, and sends its response or, if it fails, a 503. */
const serve = (
  request: BodyRequest,
  response: http.ServerResponse,
  handler: RequestHandler,
  mustClose: (path: string) => boolean,
  log: Logger,
): void => {
  const path = request.url ?? "";
  const answer = (result: HttpResponse): void => respond(response, result, mustClose(path));
  const fail = (error: unknown): void => {
    log.error("request handler failed", { path, ...errorFields(error) });
    if (!response.headersSent) respond(response, { status: 503, retryAfterS: 1 }, false);
  };
  if (Number(request.headers["content-length"] ?? 0) > MAX_BODY_BYTES) {
    refuseLargeBody(request, response);
    return;
  }
  // An aborted request needs no response; without a listener, its error would end the process.
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

/**
 * Creates an HTTP server that doesn't listen yet. No request and no handler error ends the process.
 */
export const makeServer = (
  handler: RequestHandler,
  maxConnections: number,
  log: Logger,
): http.Server => {
  let openConnections = 0;
  const mustClose = (path: string): boolean =>
    mustCloseConnection(openConnections, maxConnections, path);
  const server = http.createServer(
    // biome-ignore lint/style/useNamingConvention: the option is named by Node.
    { IncomingMessage: BodyRequest },
    (request, response) => serve(request, response, handler, mustClose, log),
  );
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.timeout = IDLE_CONNECTION_TIMEOUT_MS;
  server.maxConnections = maxConnections;
  server.on("connection", (socket) => {
    openConnections++;
    socket.once("close", () => openConnections--);
  });
  server.on("clientError", (_error, socket) => socket.destroy());
  return server;
};
