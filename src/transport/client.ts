import http from "node:http";
import type { Duplex } from "node:stream";
import { decode, encode } from "../protocol/cbor.js";

/** What became of a call. `lost`: it may have been carried out, or may yet be. */
export type CallResult =
  | {
      readonly kind: "answer";
      readonly status: number;
      readonly body: unknown;
      readonly retryAfterS?: number;
    }
  /** Certainly not carried out; `own`: for want of a socket or a turn here, not by the other side. */
  | { readonly kind: "unsent"; readonly own?: boolean }
  | { readonly kind: "lost" };

/** Calls of other hosts, over HTTP or, in tests, over a simulated network. */
export interface HttpClient {
  readonly call: (
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<CallResult>;
  readonly callRaw: (
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ) => Promise<CallResult>;
  readonly close: () => void;
}

/** Errors that mean that no connection was made, and those of them that are our own. */
const OWN_ERRORS: ReadonlySet<string> = new Set(["EMFILE", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL"]);

/**
 * Keeps connections, but no more of them idle than it may: the one unused for longest is closed.
 * (Node's own bound is for each host. Machines come and go by the hundred, and those gone never
 * close theirs: their connections took the whole part, and calls to new machines never went out.)
 */
class IdleBounded extends http.Agent {
  readonly #idle = new Set<Duplex>();
  readonly #watched = new WeakSet<Duplex>();

  constructor(
    maxPerHost: number,
    private readonly mostIdle: number,
  ) {
    super({ keepAlive: true, maxSockets: maxPerHost, scheduling: "lifo" });
  }

  get idle(): number {
    return this.#idle.size;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The declared result is nothing; it is what tells the agent whether to keep the socket.
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    if (!this.#watched.has(socket)) {
      this.#watched.add(socket);
      socket.once("close", () => this.#idle.delete(socket));
    }
    this.#idle.add(socket);
    if (this.#idle.size > this.mostIdle) {
      const [oldest] = this.#idle;
      if (oldest !== undefined) {
        this.#idle.delete(oldest);
        oldest.destroy();
      }
    }
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    this.#idle.delete(socket);
    super.reuseSocket(socket, request);
  }
}

interface Turn {
  readonly go: () => void;
}

/** Keep-alive calls to one kind of host, capped so that no kind takes all sockets. */
export class PooledHttpClient implements HttpClient {
  readonly #agent: IdleBounded;
  readonly #waiting = new Set<Turn>();
  #busy = 0;

  constructor(
    maxPerHost: number,
    private readonly mostBusy: number,
    mostIdle = mostBusy,
  ) {
    this.#agent = new IdleBounded(maxPerHost, mostIdle);
  }

  get idle(): number {
    return this.#agent.idle;
  }

  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<CallResult> {
    return this.callRaw(
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

  callRaw(
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ): Promise<CallResult> {
    return new Promise((resolve) => {
      const send = (): void => {
        this.#busy++;
        this.#send(address, method, path, payload, timeoutMs).then((r) => {
          this.#busy--;
          resolve(r);
          const [next] = this.#waiting;
          if (next === undefined) return;
          this.#waiting.delete(next);
          next.go();
        });
      };
      if (this.#busy < this.mostBusy) {
        send();
        return;
      }
      // Waits for its turn, and its time runs from then on; nothing of it is on its way before.
      const turn = { go: () => {} };
      const timer = setTimeout(() => {
        this.#waiting.delete(turn);
        resolve({ kind: "unsent", own: true });
      }, timeoutMs);
      turn.go = () => {
        clearTimeout(timer);
        send();
      };
      this.#waiting.add(turn);
    });
  }

  #send(
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ): Promise<CallResult> {
    return new Promise((resolve) => {
      const at = address.lastIndexOf(":");
      let settled = false;
      const settle = (r: CallResult): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(r);
      };
      let req: http.ClientRequest;
      try {
        req = http.request({
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
      } catch {
        // An address that can't be one, out of a report perhaps.
        resolve({ kind: "unsent" });
        return;
      }
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
        // Only where no connection was made it is certain that nothing was sent.
        if (OWN_ERRORS.has(e.code ?? "")) settle({ kind: "unsent", own: true });
        else settle({ kind: e.code === "ECONNREFUSED" ? "unsent" : "lost" });
      });
      req.end(payload);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
