import http from "node:http";
import type { Logger } from "../observability/log.js";
import { decode, encode } from "../protocol/cbor.js";

export interface Answer {
  readonly status: number;
  readonly body?: unknown;
  readonly retryAfterS?: number;
}

export interface Request {
  readonly method: string;
  readonly path: string;
  /** The body's bytes; empty if there is none. */
  readonly bytes: Buffer;
}

export type Handler = (req: Request) => Answer | Promise<Answer>;

/** The protocol's bound on a request body. */
export const MAX_BODY = 64 * 1024;

export const decodeBody = (
  bytes: Buffer,
): { readonly ok: true; readonly value: unknown } | { readonly ok: false } => {
  try {
    return { ok: true, value: decode(bytes) };
  } catch {
    return { ok: false };
  }
};

const respond = (res: http.ServerResponse, answer: Answer, close: boolean): void => {
  const bytes =
    answer.body === undefined
      ? undefined
      : answer.body instanceof Uint8Array
        ? answer.body
        : encode(answer.body);
  const headers: Record<string, string | number> = {
    "content-type": "application/cbor",
    "content-length": bytes?.byteLength ?? 0,
  };
  if (answer.retryAfterS !== undefined) headers["retry-after"] = Math.ceil(answer.retryAfterS);
  if (close) headers.connection = "close";
  res.writeHead(answer.status, headers);
  res.end(bytes);
};

/**
 * From these parts of the connections on, answers close theirs: workers' first, who come back with
 * their next report, then everybody's. So all hosts of a fleet can be served, one report after the
 * other, by a survivor that has not a socket for each.
 */
const CLOSE_WORKERS_PART = 0.75;
const CLOSE_ALL_PART = 0.9;
const WORKERS_PATH = "/agent/beat";

/** An HTTP server whose handler can't end the process, whatever comes in. */
export const makeServer = (handler: Handler, maxConnections: number, log: Logger): http.Server => {
  let open = 0;
  const crowded = (path: string): boolean =>
    open > maxConnections * (path === WORKERS_PATH ? CLOSE_WORKERS_PART : CLOSE_ALL_PART);
  const server = http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let refused = false;
    const refuse = (): void => {
      refused = true;
      chunks.length = 0;
      // Not read whole: the connection is closed once the answer is out.
      respond(res, { status: 413, body: { error: "body over 64 KiB" } }, true);
      res.once("finish", () => req.destroy());
    };
    if (Number(req.headers["content-length"] ?? 0) > MAX_BODY) {
      refuse();
      return;
    }
    req.on("data", (c: Buffer) => {
      if (refused) return;
      size += c.length;
      if (size > MAX_BODY) refuse();
      else chunks.push(c);
    });
    req.on("error", () => undefined);
    req.on("end", () => {
      if (refused) return;
      const failed = (e: unknown): void => {
        log.error("handler failed", { path: req.url ?? "", error: String(e) });
        if (!res.headersSent) respond(res, { status: 503, retryAfterS: 1 }, false);
      };
      try {
        const out = handler({
          method: req.method ?? "",
          path: req.url ?? "",
          bytes: chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks),
        });
        const path = req.url ?? "";
        if (out instanceof Promise) out.then((a) => respond(res, a, crowded(path))).catch(failed);
        else respond(res, out, crowded(path));
      } catch (e) {
        failed(e);
      }
    });
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.timeout = 0;
  server.maxConnections = maxConnections;
  server.on("connection", (socket) => {
    open++;
    socket.once("close", () => open--);
  });
  server.on("clientError", (_e, socket) => socket.destroy());
  return server;
};
