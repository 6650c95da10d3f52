import http from "node:http";
import { decode, encode } from "../protocol/cbor.js";

/** What became of a call. `lost`: it may have been carried out, or may yet be. */
export type Reply =
  | {
      readonly kind: "answer";
      readonly status: number;
      readonly body: unknown;
      readonly retryAfterS?: number;
    }
  | { readonly kind: "unsent" }
  | { readonly kind: "lost" };

/** Calls of other hosts, over HTTP or, in tests, over a simulated network. */
export interface Calls {
  readonly call: (
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Reply>;
  readonly raw: (
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ) => Promise<Reply>;
  readonly close: () => void;
}

/** Keep-alive calls to one kind of host, capped so that no kind takes all sockets. */
export class Caller implements Calls {
  readonly #agent: http.Agent;

  constructor(maxSocketsPerHost: number, maxTotal: number) {
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: maxSocketsPerHost,
      maxTotalSockets: maxTotal,
      maxFreeSockets: maxTotal,
      scheduling: "lifo",
    });
  }

  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Reply> {
    return this.raw(
      address,
      method,
      path,
      body === undefined ? undefined : encode(body),
      timeoutMs,
    ).then((r) => {
      if (r.kind !== "answer" || r.body === undefined) return r;
      try {
        return { ...r, body: decode(r.body as Buffer) };
      } catch {
        // An unreadable answer proves nothing about what the other side did.
        return { kind: "lost" };
      }
    });
  }

  raw(
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ): Promise<Reply> {
    return new Promise((resolve) => {
      const at = address.lastIndexOf(":");
      let settled = false;
      const settle = (r: Reply): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(r);
      };
      const req = http.request({
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        method,
        path,
        agent: this.#agent,
        headers:
          payload === undefined
            ? {}
            : { "content-type": "application/cbor", "content-length": payload.byteLength },
      });
      const giveUp = (): void => {
        settle({ kind: "lost" });
        req.destroy();
      };
      // A process that fell behind sees its timers before the answers that came in time: what
      // lies ready is read first, or it would take its own lateness for the other side's silence.
      const timer = setTimeout(() => setImmediate(() => setImmediate(giveUp)), timeoutMs);
      req.on("response", (res) => {
        const chunks: Buffer[] = [];
        res.on("data", (c: Buffer) => chunks.push(c));
        res.on("error", () => settle({ kind: "lost" }));
        res.on("aborted", () => settle({ kind: "lost" }));
        res.on("end", () => {
          const retry = Number(res.headers["retry-after"]);
          const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
          settle({
            kind: "answer",
            status: res.statusCode ?? 0,
            body: bytes === undefined || bytes.length === 0 ? undefined : bytes,
            ...(Number.isFinite(retry) ? { retryAfterS: retry } : {}),
          });
        });
      });
      req.on("error", (e: NodeJS.ErrnoException) => {
        // Only a refused connection proves that nothing was sent.
        settle({ kind: e.code === "ECONNREFUSED" ? "unsent" : "lost" });
      });
      req.end(payload);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
