/**
 * Calls of other hosts: the interface that all parts use, and its implementation over HTTP.
 *
 * A client serves one kind of host (state store, cloud, workers, peers). It owns that kind's
 * connections and the queue of calls that wait for one. Invariant: never more calls are on their way
 * than `maxBusy`, and a call that waits has sent nothing.
 */
import { decode, encode } from "../protocol/cbor.js";
import { BoundedAgent } from "./bounded-agent.js";
import type { CallResult } from "./call-result.js";
import { exchange, type OutgoingRequest } from "./exchange.js";

export type { CallResult } from "./call-result.js";

/** Calls of other hosts, over HTTP or, in tests, over a simulated network. No call rejects. */
export interface HttpClient {
  /** Encodes the body and decodes the answer's; an answer that can't be decoded counts as lost. */
  readonly call: (
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<CallResult>;
  /** Sends bytes as they are, and gives the answer's body as bytes. */
  readonly callRaw: (
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ) => Promise<CallResult>;
  /** Closes all connections; calls on their way end as lost. */
  readonly close: () => void;
}

/** A call that waits until another has ended. */
interface WaitingCall {
  start: () => void;
}

const decodedAnswer = (result: CallResult): CallResult => {
  if (result.kind !== "answer" || result.body === undefined) return result;
  try {
    return { ...result, body: decode(result.body as Buffer) };
  } catch {
    // An unreadable answer proves nothing about what the other side did.
    return { kind: "lost" };
  }
};

/** Keep-alive calls to one kind of host, capped so that no kind takes all sockets. */
export class PooledHttpClient implements HttpClient {
  readonly #agent: BoundedAgent;
  /** In the order of the calls. */
  readonly #waiting = new Set<WaitingCall>();
  #busy = 0;

  constructor(
    maxPerHost: number,
    private readonly maxBusy: number,
    maxIdle = maxBusy,
  ) {
    this.#agent = new BoundedAgent(maxPerHost, maxIdle);
  }

  /** How many connections are kept without a call on them. */
  get idle(): number {
    return this.#agent.idle;
  }

  /** See `HttpClient`. */
  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<CallResult> {
    const payload = body === undefined ? undefined : encode(body);
    return this.callRaw(address, method, path, payload, timeoutMs).then(decodedAnswer);
  }

  /** See `HttpClient`. A call that gets no turn within the timeout ends as `unsent`, by our own fault. */
  callRaw(
    address: string,
    method: string,
    path: string,
    payload: Uint8Array | undefined,
    timeoutMs: number,
  ): Promise<CallResult> {
    const request = { address, method, path, payload, timeoutMs };
    return new Promise((resolve) => {
      if (this.#busy < this.maxBusy) this.#send(request, resolve);
      else this.#enqueue(request, resolve);
    });
  }

  /** See `HttpClient`. */
  close(): void {
    this.#agent.destroy();
  }

  #send(request: OutgoingRequest, resolve: (result: CallResult) => void): void {
    this.#busy++;
    // Never rejects: an exchange that fails is a result.
    exchange(this.#agent, request).then((result) => {
      this.#busy--;
      resolve(result);
      this.#startNext();
    });
  }

  /** Its timeout runs anew once it has its turn; nothing of it is on its way before. */
  #enqueue(request: OutgoingRequest, resolve: (result: CallResult) => void): void {
    const waiting: WaitingCall = { start: () => undefined };
    const timer = setTimeout(() => {
      this.#waiting.delete(waiting);
      resolve({ kind: "unsent", own: true });
    }, request.timeoutMs);
    waiting.start = () => {
      clearTimeout(timer);
      this.#send(request, resolve);
    };
    this.#waiting.add(waiting);
  }

  #startNext(): void {
    const [next] = this.#waiting;
    if (next === undefined) return;
    this.#waiting.delete(next);
    next.start();
  }
}
