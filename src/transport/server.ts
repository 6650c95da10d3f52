import http from "node:http";
import type { Logger } from "../observability/log.js";
import { decode, encode } from "../protocol/cbor.js";

export interface HttpResponse {
  readonly status: number;
  readonly body?: unknown;
  readonly retryAfterS?: number;
}

export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** The body's bytes; empty if there is none. */
  readonly bytes: Buffer;
}

export type RequestHandler = (req: HttpRequest) => HttpResponse | Promise<HttpResponse>;

/** The protocol's bound on a request body. */
export const MAX_BODY_BYTES = 64 * 1024;

export const decodeBody = (
  bytes: Buffer,
): { readonly ok: true; readonly value: unknown } | { readonly ok: false } => {
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
const respond = (res: http.ServerResponse, answer: HttpResponse, close: boolean): void => {
  const bytes = bodyBytes(answer.body);
  const headers = [
    ...["content-type", "application/cbor", "content-length", String(bytes.byteLength)],
    ...["connection", close ? "close" : "keep-alive"],
  ];
  if (answer.retryAfterS !== undefined)
    headers.push("retry-after", String(Math.ceil(answer.retryAfterS)));
  res.sendDate = false;
  res.writeHead(answer.status, headers);
  res.end(bytes.toString("latin1"), "latin1");
};

/**
 * A request whose body is gathered as the parser delivers it. The stream that Node would put
 * between costs three more turns of the queue for each report.
 */
class BodyRequest extends http.IncomingMessage {
  #chunks: Buffer[] = [];
  #size = 0;
  /** Called once with the whole body, or with nothing once it is larger than is taken. */
  onBody: ((bytes: Buffer | undefined) => void) | undefined;

  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      const [first] = this.#chunks;
      this.#deliver(this.#chunks.length === 1 ? first : Buffer.concat(this.#chunks));
      return false;
    }
    this.#size += chunk.length;
    if (this.#size > MAX_BODY_BYTES) this.#deliver(undefined);
    else this.#chunks.push(chunk);
    return true;
  }

  #deliver(bytes: Buffer | undefined): void {
    const { onBody } = this;
    this.onBody = undefined;
    this.#chunks = [];
    onBody?.(bytes);
  }
}
/** What Node's server asks of a request before it lets go of it: nothing is left in a stream. */
Object.defineProperties(BodyRequest.prototype, {
  readableEnded: {
    get(this: BodyRequest): boolean {
      return this.complete;
    },
  },
  _consumed: { value: true, writable: true },
});

/**
 * From these parts of the connections on, answers close theirs: workers' first, who come back with
 * their next report, then everybody's. So all hosts of a fleet can be served, one report after the
 * other, by a survivor that has not a socket for each.
 */
const CLOSE_WORKERS_PART = 0.75;
const CLOSE_ALL_PART = 0.9;
/**
 * Machines that vanish never close their connections, and in a fleet that changes all the time these
 * took up all that are let in. Whoever lives reports or asks many times as often.
 */
const SILENT_CONNECTION_MS = 120_000;
const WORKERS_PATH = "/agent/beat";

/** An HTTP server whose handler can't end the process, whatever comes in. */
export const makeServer = (
  handler: RequestHandler,
  maxConnections: number,
  log: Logger,
): http.Server => {
  let open = 0;
  const crowded = (path: string): boolean =>
    open > maxConnections * (path === WORKERS_PATH ? CLOSE_WORKERS_PART : CLOSE_ALL_PART);
  // biome-ignore lint/style/useNamingConvention: Node's name of the option.
  const server = http.createServer({ IncomingMessage: BodyRequest }, (req, res) => {
    const path = req.url ?? "";
    const refuse = (): void => {
      // Not read whole: the connection is closed once the answer is out.
      respond(res, { status: 413, body: { error: "body over 64 KiB" } }, true);
      res.once("finish", () => req.destroy());
    };
    const failed = (e: unknown): void => {
      log.error("handler failed", { path, error: String(e) });
      if (!res.headersSent) respond(res, { status: 503, retryAfterS: 1 }, false);
    };
    if (Number(req.headers["content-length"] ?? 0) > MAX_BODY_BYTES) {
      refuse();
      return;
    }
    req.on("error", () => undefined);
    req.onBody = (bytes) => {
      if (bytes === undefined) {
        refuse();
        return;
      }
      try {
        const out = handler({ method: req.method ?? "", path, bytes });
        if (out instanceof Promise) out.then((a) => respond(res, a, crowded(path))).catch(failed);
        else respond(res, out, crowded(path));
      } catch (e) {
        failed(e);
      }
    };
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.timeout = SILENT_CONNECTION_MS;
  server.maxConnections = maxConnections;
  server.on("connection", (socket) => {
    open++;
    socket.once("close", () => open--);
  });
  server.on("clientError", (_e, socket) => socket.destroy());
  return server;
};
